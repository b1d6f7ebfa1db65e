import {readFileSync} from 'node:fs';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {errorTable} from '../src/index.js';

const page = new URL('../../../../docs/ERRORS.md', import.meta.url);

/** Reads the cells of the table, without the header and delimiter rows. */
function readRows(): string[][] {
  return readFileSync(page, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('|'))
    .slice(2)
    .map(line =>
      line
        .split('|')
        .slice(1, -1)
        .map(cell => cell.trim()),
    );
}

describe('docs/ERRORS.md', () => {
  it('matches the error table', () => {
    const expected = Object.entries(errorTable).map(([code, entry]) => [
      `\`${code}\``,
      String(entry.status),
      entry.title,
      entry.advice,
    ]);
    assert.equal(readRows(), expected, 'run node scripts/error_docs.mjs');
  });
});
