/** Warns of valid file sets that probably do not have the intended effect. */
import {ServiceState} from './file_set.js';
import type {BackendServer, FileSet} from './file_set.js';
import type {CheckError} from './schema_check.js';

/** Has the shape of an error, but does not make the file set invalid. */
export type CheckWarning = CheckError;

type WarningRule = (set: FileSet) => CheckWarning[];

function isServing(set: FileSet, server: BackendServer): boolean {
  const dataCentre = set.dataCentres.get(server.dataCentre);
  return (
    server.state === ServiceState.IN && dataCentre?.state === ServiceState.IN
  );
}

const warnOfMissingShares: WarningRule = set =>
  set.files['classes.json'].classes.flatMap((item, index) =>
    item.minimumShare > 0
      ? []
      : [
          {
            file: 'classes.json',
            path: `/classes/${index}/minimumShare`,
            expected: `a share above 0: "${item.name}" can starve under load`,
            advice: 'Give the class a small minimum share, such as 0.02.',
          },
        ],
  );

const warnOfTierGaps: WarningRule = set => {
  const tiers = [...set.classes.values()].map(item => item.tier);
  const lowestTier = Math.max(...tiers);
  return Array.from({length: lowestTier}, (_, index) => index + 1)
    .filter(tier => !tiers.includes(tier))
    .map(tier => ({
      file: 'classes.json',
      path: '/classes',
      expected: `a class of tier ${tier}, as there are lower ones`,
      advice: 'Correct the tiers, unless the gap is intended.',
    }));
};

function describeUnavailability(
  set: FileSet,
  servers: BackendServer[],
): string {
  if (servers.length === 0) {
    return 'no backend server serves it';
  }
  const out = new Set(
    servers
      .map(server => server.dataCentre)
      .filter(id => set.dataCentres.get(id)?.state === ServiceState.OUT),
  );
  return out.size > 0
    ? `all its servers are out; data centres out: ${[...out].sort().join(', ')}`
    : 'all its servers are out';
}

const warnOfUnservedModels: WarningRule = set => {
  const servers = [...set.servers.values()];
  return set.files['models.json'].models.flatMap((model, index) => {
    const modelServers = servers.filter(item =>
      item.models.includes(model.name),
    );
    return modelServers.some(item => isServing(set, item))
      ? []
      : [
          {
            file: 'models.json',
            path: `/models/${index}`,
            expected: `a server in service for "${model.name}": ${describeUnavailability(set, modelServers)}`,
            advice: 'Requests for it are refused until a server is in service.',
          },
        ];
  });
};

const warnOfLongOutputs: WarningRule = set => {
  const models = [...set.models.values()];
  return set.files['classes.json'].classes.flatMap((item, index) =>
    models.some(model => model.contextTokens > item.maximumOutputTokens)
      ? []
      : [
          {
            file: 'classes.json',
            path: `/classes/${index}/maximumOutputTokens`,
            expected: 'less than the context length of some model',
            advice: 'Lower it; no model can generate that many tokens.',
          },
        ],
  );
};

const warnOfSmallServers: WarningRule = set =>
  set.files['backend-servers.json'].backendServers.flatMap((server, index) => {
    const maximumOutputTokens = Math.max(
      ...[...set.classes.values()].map(item => item.maximumOutputTokens),
    );
    return server.capacity.tokens >= maximumOutputTokens
      ? []
      : [
          {
            file: 'backend-servers.json',
            path: `/backendServers/${index}/capacity/tokens`,
            expected: `at least ${maximumOutputTokens}, the largest maximumOutputTokens of a class`,
            advice:
              'Raise the tokens, or lower maximumOutputTokens of the class.',
          },
        ];
  });

const warnOfSmallBursts: WarningRule = set =>
  set.files['customers.json'].customers.flatMap((customer, index) =>
    customer.burstTokens >= customer.tokensPerSecond
      ? []
      : [
          {
            file: 'customers.json',
            path: `/customers/${index}/burstTokens`,
            expected: 'at least the tokens of one second',
            advice: 'Raise burstTokens, or the rate is never reached.',
          },
        ],
  );

const warnOfMissingBase: WarningRule = set => {
  const {revision, basedOn} = set.files['service.json'];
  return revision === 1 || basedOn !== null
    ? []
    : [
        {
          file: 'service.json',
          path: '/basedOn',
          expected: `the digest of the set that revision ${revision} was derived from`,
          advice:
            'Bundle with --based-on, so that no concurrent change is overwritten.',
        },
      ];
};

const rules: readonly WarningRule[] = [
  warnOfMissingShares,
  warnOfTierGaps,
  warnOfUnservedModels,
  warnOfLongOutputs,
  warnOfSmallServers,
  warnOfSmallBursts,
  warnOfMissingBase,
];

/** Lists the warnings of a valid file set. */
export function listWarnings(set: FileSet): CheckWarning[] {
  return rules.flatMap(rule => rule(set));
}
