/** Rules of a file set that JSON schemas cannot express, such as references. */
import type {FileSetFiles} from './file_set.js';
import type {CheckError} from './schema_check.js';

type Rule = (files: FileSetFiles) => CheckError[];

/** A field whose values must be unique within a list of a file. */
interface UniqueField {
  file: keyof FileSetFiles;
  list: string;
  field: string;
}

const uniqueFields: readonly UniqueField[] = [
  {file: 'classes.json', list: 'classes', field: 'name'},
  {file: 'customers.json', list: 'customers', field: 'id'},
  {file: 'customers.json', list: 'customers', field: 'apiKeyDigest'},
  {file: 'models.json', list: 'models', field: 'name'},
  {file: 'data-centres.json', list: 'dataCentres', field: 'id'},
  {file: 'backend-servers.json', list: 'backendServers', field: 'id'},
  {file: 'backend-servers.json', list: 'backendServers', field: 'address'},
  {file: 'plain-services.json', list: 'plainServices', field: 'name'},
];

const MAXIMUM_PORT = 65_535;

/** Reports every value after its first occurrence in the list at `path`. */
function findDuplicates(
  file: string,
  path: string,
  values: readonly string[],
  pathSuffix: string,
): CheckError[] {
  const firstIndexes = new Map<string, number>();
  const errors: CheckError[] = [];
  values.forEach((value, index) => {
    const firstIndex = firstIndexes.get(value);
    if (firstIndex === undefined) {
      firstIndexes.set(value, index);
      return;
    }
    errors.push({
      file,
      path: `${path}/${index}${pathSuffix}`,
      expected: `a unique value, but "${value}" is also the value at ${path}/${firstIndex}`,
      advice: 'Change or remove one of the two.',
    });
  });
  return errors;
}

const checkUniqueFields: Rule = files =>
  uniqueFields.flatMap(({file, list, field}) => {
    const items = (
      files[file] as unknown as Record<string, Array<Record<string, string>>>
    )[list]!;
    const values = items.map(item => item[field]!);
    return findDuplicates(file, `/${list}`, values, `/${field}`);
  });

const checkUniqueWithinItems: Rule = files => [
  ...files['backend-servers.json'].backendServers.flatMap((server, index) =>
    findDuplicates(
      'backend-servers.json',
      `/backendServers/${index}/models`,
      server.models,
      '',
    ),
  ),
  ...files['plain-services.json'].plainServices.flatMap((service, index) => [
    ...findDuplicates(
      'plain-services.json',
      `/plainServices/${index}/addresses`,
      service.addresses,
      '',
    ),
    ...findDuplicates(
      'plain-services.json',
      `/plainServices/${index}/routes`,
      service.routes.map(route => `${route.method} ${route.path}`),
      '',
    ),
  ]),
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

function isPort(address: string): boolean {
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  return port >= 1 && port <= MAXIMUM_PORT;
}

function checkPort(file: string, path: string, address: string): CheckError[] {
  return isPort(address)
    ? []
    : [
        {
          file,
          path,
          expected: `a port from 1 to ${MAXIMUM_PORT}, not "${address}"`,
          advice: 'Correct the port.',
        },
      ];
}

const checkPorts: Rule = files => [
  ...files['backend-servers.json'].backendServers.flatMap((server, index) =>
    checkPort(
      'backend-servers.json',
      `/backendServers/${index}/address`,
      server.address,
    ),
  ),
  ...files['plain-services.json'].plainServices.flatMap((service, index) =>
    service.addresses.flatMap((address, addressIndex) =>
      checkPort(
        'plain-services.json',
        `/plainServices/${index}/addresses/${addressIndex}`,
        address,
      ),
    ),
  ),
];

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

const checkMinimumShares: Rule = files => {
  const totalShare = files['classes.json'].classes.reduce(
    (total, item) => total + item.minimumShare,
    0,
  );
  return totalShare <= 1
    ? []
    : [
        {
          file: 'classes.json',
          path: '/classes',
          expected: `minimum shares that add up to at most 1, not ${totalShare}`,
          advice: 'Lower some of the minimum shares.',
        },
      ];
};

const checkTargets: Rule = files => {
  const {maximumRequestMs} = files['service.json'];
  return files['classes.json'].classes.flatMap((item, index) => {
    const {firstTokenMs, completionMs} = item.targets;
    const path = `/classes/${index}/targets`;
    const errors: CheckError[] = [];
    if (completionMs > maximumRequestMs) {
      errors.push({
        file: 'classes.json',
        path: `${path}/completionMs`,
        expected: `at most ${maximumRequestMs}, maximumRequestMs of service.json`,
        advice: 'Lower the target, or raise maximumRequestMs.',
      });
    }
    if (firstTokenMs > completionMs) {
      errors.push({
        file: 'classes.json',
        path: `${path}/firstTokenMs`,
        expected: `at most ${completionMs}, completionMs of the class`,
        advice: 'Lower firstTokenMs, or raise completionMs.',
      });
    }
    return errors;
  });
};

const checkServicePaths: Rule = files =>
  files['plain-services.json'].plainServices.flatMap((service, index) =>
    service.routes.flatMap((route, routeIndex) => {
      const {pathname} = new URL(route.path, 'http://service');
      return pathname === route.path
        ? []
        : [
            {
              file: 'plain-services.json',
              path: `/plainServices/${index}/routes/${routeIndex}/path`,
              expected: `a plain path such as "${pathname}"`,
              advice:
                'Write the path without a query, dot segments or characters to escape.',
            },
          ];
    }),
  );

const rules: readonly Rule[] = [
  checkUniqueFields,
  checkUniqueWithinItems,
  checkServerReferences,
  checkPorts,
  checkCapacities,
  checkMinimumShares,
  checkTargets,
  checkServicePaths,
];

/**
 * Checks the rules across files; an empty list means valid. The files must match
 * their schemas.
 */
export function checkAcrossFiles(files: FileSetFiles): CheckError[] {
  return rules.flatMap(rule => rule(files));
}
