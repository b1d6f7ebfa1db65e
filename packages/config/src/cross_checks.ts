/** Rules that span several files of a set. */
import type {FileSetFiles} from './file_set.js';
import type {CheckError} from './schema_check.js';

type Rule = (files: FileSetFiles) => CheckError[];

function findDuplicates(
  file: string,
  list: string,
  keys: readonly string[],
): CheckError[] {
  const seen = new Set<string>();
  const errors: CheckError[] = [];
  keys.forEach((key, index) => {
    if (seen.has(key)) {
      errors.push({
        file,
        path: `/${list}/${index}`,
        expected: `a unique name, but "${key}" stands twice`,
        advice: 'Rename or remove one of the two.',
      });
    }
    seen.add(key);
  });
  return errors;
}

const checkUniqueNames: Rule = files => [
  ...findDuplicates(
    'classes.json',
    'classes',
    files['classes.json'].classes.map(item => item.name),
  ),
  ...findDuplicates(
    'customers.json',
    'customers',
    files['customers.json'].customers.map(item => item.id),
  ),
  ...findDuplicates(
    'models.json',
    'models',
    files['models.json'].models.map(item => item.name),
  ),
  ...findDuplicates(
    'data-centres.json',
    'dataCentres',
    files['data-centres.json'].dataCentres.map(item => item.id),
  ),
  ...findDuplicates(
    'backend-servers.json',
    'backendServers',
    files['backend-servers.json'].backendServers.map(item => item.id),
  ),
  ...findDuplicates(
    'plain-services.json',
    'plainServices',
    files['plain-services.json'].plainServices.map(item => item.name),
  ),
];

const checkServerReferences: Rule = files => {
  const dataCentres = new Set(
    files['data-centres.json'].dataCentres.map(item => item.id),
  );
  const models = new Set(files['models.json'].models.map(item => item.name));
  const errors: CheckError[] = [];
  files['backend-servers.json'].backendServers.forEach((server, index) => {
    if (!dataCentres.has(server.dataCentre)) {
      errors.push({
        file: 'backend-servers.json',
        path: `/backendServers/${index}/dataCentre`,
        expected: `a data centre of data-centres.json, not "${server.dataCentre}"`,
        advice: 'Correct the name, or add the data centre.',
      });
    }
    server.models.forEach((model, modelIndex) => {
      if (!models.has(model)) {
        errors.push({
          file: 'backend-servers.json',
          path: `/backendServers/${index}/models/${modelIndex}`,
          expected: `a model of models.json, not "${model}"`,
          advice: 'Correct the name, or add the model.',
        });
      }
    });
  });
  return errors;
};

const checkCapacities: Rule = files =>
  files['backend-servers.json'].backendServers.flatMap((server, index) =>
    server.capacity.startingRequests <= server.capacity.requests
      ? []
      : [
          {
            file: 'backend-servers.json',
            path: `/backendServers/${index}/capacity/startingRequests`,
            expected: 'at most the value of "requests"',
            advice: 'Lower startingRequests, or raise requests.',
          },
        ],
  );

const checkShares: Rule = files => {
  const sum = files['classes.json'].classes.reduce(
    (total, item) => total + item.minimumShare,
    0,
  );
  return sum <= 1
    ? []
    : [
        {
          file: 'classes.json',
          path: '/classes',
          expected: `minimum shares that add up to at most 1, not ${sum}`,
          advice: 'Lower some of the minimum shares.',
        },
      ];
};

const rules: readonly Rule[] = [
  checkUniqueNames,
  checkServerReferences,
  checkCapacities,
  checkShares,
];

/** Checks the rules between files; an empty list means valid. */
export function checkAcrossFiles(files: FileSetFiles): CheckError[] {
  return rules.flatMap(rule => rule(files));
}
