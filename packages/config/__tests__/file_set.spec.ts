import {fileURLToPath} from 'node:url';
import {brotliCompressSync} from 'node:zlib';
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {
  ConfigError,
  MAXIMUM_BUNDLE_BYTES,
  checkFiles,
  decodeBundle,
  encodeBundle,
  isNewer,
  loadFileSet,
} from '../src/index.js';

const tunis = fileURLToPath(
  new URL('../../../../examples/tunis', import.meta.url),
);

/** Paths of the errors for which a bundle is refused. */
function listRefusals(text: string): string[] {
  try {
    decodeBundle(text);
  } catch (error) {
    assert.instance(error, ConfigError);
    return (error as ConfigError).errors.map(({path}) => path);
  }
  return [];
}

describe('file set', () => {
  describe('bundle', () => {
    it('gives back the same version', () => {
      const set = loadFileSet(tunis);
      assert.equal(decodeBundle(encodeBundle(set)).version, set.version);
    });

    it('is refused when its digest does not fit its files', () => {
      const set = loadFileSet(tunis);
      const changed = structuredClone(set.files);
      changed['service.json'].revision = 9;
      const bundle = JSON.parse(encodeBundle(set));
      bundle.compressedFiles = brotliCompressSync(
        JSON.stringify(changed),
      ).toString('base64');
      assert.equal(listRefusals(JSON.stringify(bundle)), ['/digest']);
    });

    it('is refused when it is cut, foreign, or grows beyond bounds', () => {
      const whole = encodeBundle(loadFileSet(tunis));
      const encodeFiles = (text: string) =>
        JSON.stringify({
          digest: '',
          compressedFiles: brotliCompressSync(text).toString('base64'),
        });
      assert.equal(listRefusals(whole.slice(0, -9)), ['/']);
      assert.equal(listRefusals('null'), ['/compressedFiles']);
      assert.equal(listRefusals(whole.replace('":"', '":"x')), ['/digest']);
      assert.equal(listRefusals(' '.repeat(MAXIMUM_BUNDLE_BYTES + 1)), ['/']);
      const huge = encodeFiles(' '.repeat(64 * 1024 * 1024));
      assert.equal(listRefusals(huge), ['/compressedFiles']);
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
