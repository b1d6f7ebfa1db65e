import {fileURLToPath} from 'node:url';
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {
  ConfigError,
  checkFiles,
  decodeBundle,
  encodeBundle,
  isNewer,
  loadFileSet,
} from '../src/index.js';

const tunis = fileURLToPath(
  new URL('../../../../examples/tunis', import.meta.url),
);

describe('file set', () => {
  describe('bundle', () => {
    it('gives back the same version', () => {
      const set = loadFileSet(tunis);
      assert.equal(decodeBundle(encodeBundle(set)).version, set.version);
    });

    it('is refused when its digest does not fit its files', () => {
      const bundle = JSON.parse(encodeBundle(loadFileSet(tunis)));
      bundle.files['service.json'].revision = 9;
      assert.throws(
        () => decodeBundle(JSON.stringify(bundle)),
        (error: Error) => error instanceof ConfigError,
      );
    });
  });

  describe('check', () => {
    it('names every error at once, with file and path', () => {
      const files = structuredClone(loadFileSet(tunis).files);
      files['backend-servers.json'].backendServers[0]!.dataCentre = 'nowhere';
      files['backend-servers.json'].backendServers[1]!.models = ['none'];
      files['classes.json'].classes[0]!.minimumShare = 0.99;
      const errors = checkFiles(files as unknown as Record<string, unknown>);
      assert.equal(
        errors.map(error => error.path),
        [
          '/backendServers/0/dataCentre',
          '/backendServers/1/models/0',
          '/classes',
        ],
      );
    });
  });

  describe('order', () => {
    it('never goes back to a smaller set', () => {
      const older = {revision: 1, digest: 'b'};
      const newer = {revision: 2, digest: 'a'};
      assert.ok(isNewer(newer, older));
      assert.not(isNewer(older, newer));
      assert.not(isNewer(older, older));
    });
  });
});
