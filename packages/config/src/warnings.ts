/** Warnings: file sets that are valid but will not do what is likely meant. */
import {ServiceState} from './file_set.js';
import type {BackendServer, FileSet} from './file_set.js';
import type {CheckError} from './schema_check.js';

/** A warning has the form of an error; the set stays valid. */
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
  const lowest = Math.max(...tiers);
  return Array.from({length: lowest}, (_, index) => index + 1)
    .filter(tier => !tiers.includes(tier))
    .map(tier => ({
      file: 'classes.json',
      path: '/classes',
      expected: `a class of tier ${tier}, as there are lower ones`,
      advice: 'Leave it if the gap is meant; else correct the tiers.',
    }));
};

function describeLoss(set: FileSet, holders: BackendServer[]): string {
  if (holders.length === 0) {
    return 'no backend server holds it';
  }
  const out = new Set(
    holders
      .map(server => server.dataCentre)
      .filter(id => set.dataCentres.get(id)?.state === ServiceState.OUT),
  );
  return out.size > 0
    ? `its only copies are out with ${[...out].sort().join(', ')}`
    : 'all servers that hold it are out';
}

const warnOfUnservedModels: WarningRule = set => {
  const servers = [...set.servers.values()];
  return set.files['models.json'].models.flatMap((model, index) => {
    const holders = servers.filter(item => item.models.includes(model.name));
    return holders.some(item => isServing(set, item))
      ? []
      : [
          {
            file: 'models.json',
            path: `/models/${index}`,
            expected: `a server in service for "${model.name}": ${describeLoss(set, holders)}`,
            advice: 'Every request for it is refused; bring one server in.',
          },
        ];
  });
};

const warnOfLongAnswers: WarningRule = set => {
  const models = [...set.models.values()];
  return set.files['classes.json'].classes.flatMap((item, index) =>
    models.some(model => model.contextTokens > item.maximumOutputTokens)
      ? []
      : [
          {
            file: 'classes.json',
            path: `/classes/${index}/maximumOutputTokens`,
            expected: 'less than the context of some model',
            advice: 'Lower it; engines cannot make such an answer.',
          },
        ],
  );
};

const warnOfSmallServers: WarningRule = set =>
  set.files['backend-servers.json'].backendServers.flatMap((server, index) => {
    const longest = Math.max(
      ...[...set.classes.values()].map(item => item.maximumOutputTokens),
    );
    return server.capacity.tokens >= longest
      ? []
      : [
          {
            file: 'backend-servers.json',
            path: `/backendServers/${index}/capacity/tokens`,
            expected: `at least ${longest}, the longest answer of a class`,
            advice: 'Raise the tokens, or lower maximumOutputTokens.',
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
          expected: `the digest of the set that revision ${revision} was made from`,
          advice: 'Bundle with --based-on, so that no other change is undone.',
        },
      ];
};

const rules: readonly WarningRule[] = [
  warnOfMissingShares,
  warnOfTierGaps,
  warnOfUnservedModels,
  warnOfLongAnswers,
  warnOfSmallServers,
  warnOfSmallBursts,
  warnOfMissingBase,
];

/** Lists what in a valid file set is likely not meant. */
export function listWarnings(set: FileSet): CheckWarning[] {
  return rules.flatMap(rule => rule(set));
}
