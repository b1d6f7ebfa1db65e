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

/** Lists the paths of the errors that decoding a bundle reports. */
function listErrorPaths(text: string): string[] {
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
    it('has the same version after encoding and decoding', () => {
      const set = loadFileSet(tunis);
      assert.equal(decodeBundle(encodeBundle(set)).version, set.version);
    });

    it('is refused if its digest does not match its files', () => {
      const set = loadFileSet(tunis);
      const changed = structuredClone(set.files);
      changed['service.json'].revision = 9;
      const bundle = JSON.parse(encodeBundle(set));
      bundle.compressedFiles = brotliCompressSync(
        JSON.stringify(changed),
      ).toString('base64');
      assert.equal(listErrorPaths(JSON.stringify(bundle)), ['/digest']);
    });

    it('is refused if it is truncated, malformed or too large', () => {
      const bundle = encodeBundle(loadFileSet(tunis));
      const encodeFiles = (text: string) =>
        JSON.stringify({
          digest: '',
          compressedFiles: brotliCompressSync(text).toString('base64'),
        });
      assert.equal(listErrorPaths(bundle.slice(0, -9)), ['/']);
      assert.equal(listErrorPaths('null'), ['/compressedFiles']);
      assert.equal(listErrorPaths(bundle.replace('":"', '":"x')), ['/digest']);
      assert.equal(listErrorPaths(' '.repeat(MAXIMUM_BUNDLE_BYTES + 1)), ['/']);
      const largeFiles = encodeFiles(' '.repeat(64 * 1024 * 1024));
      assert.equal(listErrorPaths(largeFiles), ['/compressedFiles']);
    });
  });

  describe('check', () => {
    it('reports all errors with their paths', () => {
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

  describe('version order', () => {
    it('only accepts a greater version as newer', () => {
      const older = {revision: 1, digest: 'b'};
      const newer = {revision: 2, digest: 'a'};
      assert.ok(isNewer(newer, older));
      assert.not(isNewer(older, newer));
      assert.not(isNewer(older, older));
    });
  });
});
