import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  ConfigError,
  MAXIMUM_BUNDLE_BYTES,
  decodeBundle,
  encodeBundle,
} from '@buckthornbeam/config';
import {createLargeFileSet} from '../src/capacity/large_file_set.js';

describe('large file set', () => {
  it('of 12,000 customers, 39 models and 2,000 servers stays within the maximum bundle size', () => {
    const set = createLargeFileSet();
    const startedAt = performance.now();
    const text = encodeBundle(set);
    const encodedAt = performance.now();
    const decoded = decodeBundle(text);
    const decodedAt = performance.now();
    assert.ok(Buffer.byteLength(text) <= MAXIMUM_BUNDLE_BYTES);
    assert.equal(decoded.version, set.version);
    assert.is(decoded.customers.size, 12_000);
    process.stdout.write(
      `bytes=${text.length} encodeMs=${Math.round(encodedAt - startedAt)} ` +
        `decodeMs=${Math.round(decodedAt - encodedAt)}\n`,
    );
  });

  it('that is too large is refused with the size of the excess', () => {
    const set = createLargeFileSet({customers: 30_000, servers: 10});
    try {
      encodeBundle(set);
      assert.unreachable();
    } catch (error) {
      assert.instance(error, ConfigError);
      assert.match((error as Error).message, /has \d+ more/);
    }
  });
});
