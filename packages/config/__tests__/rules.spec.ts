import {cpSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  ConfigError,
  checkAgainstBase,
  checkFiles,
  createFileSet,
  createFileSetOnBase,
  listWarnings,
  loadFileSet,
  loadSettings,
} from '../src/index.js';
import type {FileSet, FileSetFiles} from '../src/index.js';

const examples = new URL('../../../../examples/', import.meta.url);
const tunis = fileURLToPath(new URL('tunis', examples));
const montevideo = fileURLToPath(new URL('montevideo', examples));

type Change = (files: FileSetFiles) => void;

function applyChange(change: Change): Record<string, unknown> {
  const files = structuredClone(loadFileSet(tunis).files);
  change(files);
  return files as unknown as Record<string, unknown>;
}

function createChanged(change: Change): FileSet {
  return createFileSet(applyChange(change));
}

const getClasses = (files: FileSetFiles) => files['classes.json'].classes;
const getServers = (files: FileSetFiles) =>
  files['backend-servers.json'].backendServers;
const getServices = (files: FileSetFiles) =>
  files['plain-services.json'].plainServices;
const getCustomers = (files: FileSetFiles) => files['customers.json'].customers;

/** A rule, a change that violates it, and the file and path of the error. */
const errorCases: Array<[string, Change, string]> = [
  [
    'class names are unique',
    files => (getClasses(files)[1]!.name = getClasses(files)[0]!.name),
    'classes.json/classes/1/name',
  ],
  [
    'customer ids are unique',
    files => (getCustomers(files)[2]!.id = getCustomers(files)[0]!.id),
    'customers.json/customers/2/id',
  ],
  [
    'API keys are unique',
    files =>
      (getCustomers(files)[2]!.apiKeyDigest =
        getCustomers(files)[0]!.apiKeyDigest),
    'customers.json/customers/2/apiKeyDigest',
  ],
  [
    'server addresses are unique',
    files => (getServers(files)[3]!.address = getServers(files)[0]!.address),
    'backend-servers.json/backendServers/3/address',
  ],
  [
    'the models of a server are unique',
    files => getServers(files)[0]!.models.push('inspector'),
    'backend-servers.json/backendServers/0/models/1',
  ],
  [
    'the routes of a service are unique',
    files =>
      getServices(files)[0]!.routes.push(getServices(files)[0]!.routes[0]!),
    'plain-services.json/plainServices/0/routes/3',
  ],
  [
    'the data centre of a server exists',
    files => (getServers(files)[0]!.dataCentre = 'nowhere'),
    'backend-servers.json/backendServers/0/dataCentre',
  ],
  [
    'the models of a server exist',
    files => (getServers(files)[0]!.models = ['none']),
    'backend-servers.json/backendServers/0/models/0',
  ],
  [
    'ports are at most 65535',
    files => (getServers(files)[0]!.address = '10.0.0.1:70000'),
    'backend-servers.json/backendServers/0/address',
  ],
  [
    'startingRequests does not exceed the capacity',
    files => (getServers(files)[0]!.capacity.startingRequests = 99),
    'backend-servers.json/backendServers/0/capacity/startingRequests',
  ],
  [
    'minimum shares add up to at most 1',
    files => (getClasses(files)[0]!.minimumShare = 0.99),
    'classes.json/classes',
  ],
  [
    'completion targets do not exceed the maximum request duration',
    files => (getClasses(files)[0]!.targets.completionMs = 999_999),
    'classes.json/classes/0/targets/completionMs',
  ],
  [
    'first-token targets do not exceed completion targets',
    files => (getClasses(files)[0]!.targets.firstTokenMs = 15_001),
    'classes.json/classes/0/targets/firstTokenMs',
  ],
  [
    'service paths are normalized',
    files => (getServices(files)[0]!.routes[0]!.path = '/logs/../x'),
    'plain-services.json/plainServices/0/routes/0/path',
  ],
];

/** A configuration mistake, a change that makes it, and the warned path. */
const warningCases: Array<[string, Change, string]> = [
  [
    'a class without a minimum share',
    files => (getClasses(files)[1]!.minimumShare = 0),
    'classes.json/classes/1/minimumShare',
  ],
  [
    'a model that no server serves',
    files =>
      files['models.json'].models.push({
        ...files['models.json'].models[0]!,
        name: 'writer',
      }),
    'models.json/models/1',
  ],
  [
    'a model whose only server is in a data centre that is out',
    files => {
      files['backend-servers.json'].backendServers = getServers(files).slice(
        0,
        1,
      );
      files['data-centres.json'].dataCentres[0]!.state = 'out';
    },
    'models.json/models/0',
  ],
  [
    'an output limit beyond the context length of all models',
    files => (files['models.json'].models[0]!.contextTokens = 1000),
    'classes.json/classes/2/maximumOutputTokens',
  ],
  [
    'a server whose token capacity is below an output limit',
    files => (getServers(files)[4]!.capacity.tokens = 1999),
    'backend-servers.json/backendServers/4/capacity/tokens',
  ],
  [
    'a burst smaller than the tokens of one second',
    files => (getCustomers(files)[0]!.burstTokens = 1),
    'customers.json/customers/0/burstTokens',
  ],
  [
    'a later revision without a base',
    files => (files['service.json'].revision = 2),
    'service.json/basedOn',
  ],
];

function formatPaths(items: ReadonlyArray<{file: string; path: string}>) {
  return items.map(({file, path}) => `${file}${path}`);
}

function listErrors(load: () => unknown) {
  try {
    load();
  } catch (error) {
    assert.instance(error, ConfigError);
    return (error as ConfigError).errors;
  }
  return [];
}

function useDirectory(body: (directory: string) => void): void {
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-config-'));
  try {
    cpSync(tunis, directory, {recursive: true});
    body(directory);
  } finally {
    rmSync(directory, {recursive: true, force: true});
  }
}

describe('file set rules', () => {
  describe('errors', () => {
    for (const [name, change, path] of errorCases) {
      it(name, () => {
        const errors = checkFiles(applyChange(change));
        assert.equal(formatPaths(errors), [path]);
        assert.ok(errors.every(error => error.advice.length > 0));
      });
    }

    it('are reported for all files, also malformed, missing and unknown ones', () =>
      useDirectory(directory => {
        writeFileSync(join(directory, 'models.json'), '{\n  "models" x\n}');
        writeFileSync(join(directory, 'model.json'), '{}');
        writeFileSync(join(directory, 'classes.json'), '{"clases": []}');
        writeFileSync(join(directory, 'README.md'), 'notes');
        rmSync(join(directory, 'customers.json'));
        const errors = listErrors(() => loadFileSet(directory));
        assert.equal([...new Set(errors.map(error => error.file))].sort(), [
          'classes.json',
          'customers.json',
          'model.json',
          'models.json',
        ]);
        assert.match(errors[0]!.expected, 'line 2, column 12');
      }));
  });

  describe('warnings', () => {
    for (const [name, change, path] of warningCases) {
      it(name, () => {
        assert.ok(
          formatPaths(listWarnings(createChanged(change))).includes(path),
        );
      });
    }

    it('are limited to the unused tier of Tunis for the examples', () => {
      assert.equal(formatPaths(listWarnings(loadFileSet(tunis))), [
        'classes.json/classes',
      ]);
      assert.equal(listWarnings(loadFileSet(montevideo)), []);
    });
  });

  describe('base', () => {
    const base = loadFileSet(tunis);

    it('requires the same name, a greater revision and its digest', () => {
      const errors = checkAgainstBase(
        createChanged(files => (files['service.json'].name = 'other')),
        base,
      );
      assert.equal(
        errors.map(error => error.path),
        ['/name', '/revision', '/basedOn'],
      );
    });

    it('accepts a greater revision that contains its digest', () => {
      const next = createChanged(files => (files['service.json'].revision = 2));
      assert.equal(checkAgainstBase(createFileSetOnBase(next, base), base), []);
    });
  });
});

describe('settings rules', () => {
  it('report every setting that violates a rule', () =>
    useDirectory(directory => {
      const path = join(directory, 'settings.json');
      const address = {host: '127.0.0.1', port: 8080};
      const settings = {
        instance: {id: 'a', dataCentre: 'b'},
        callers: address,
        peers: address,
        platform: {address: '127.0.0.1:8500'},
        ticketKey: 'a'.repeat(32),
        timing: {heartbeatMs: 1000, leaseMs: 1000},
        limits: {maximumBufferedBytes: 1, maximumConnections: 1},
      };
      writeFileSync(path, JSON.stringify(settings));
      assert.equal(
        listErrors(() => loadSettings(path)).map(error => error.path),
        [
          '/timing/leaseMs',
          '/limits/maximumBufferedBytes',
          '/limits/maximumConnections',
          '/peers',
        ],
      );
    }));

  it('accept the example', () => {
    const path = fileURLToPath(new URL('settings.json', examples));
    assert.is(loadSettings(path).instance.id, 'tunis-entry-1');
  });
});
