import {readFileSync} from 'node:fs';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createSettings} from '../src/index.js';
import type {SettingsFile} from '../src/index.js';

const root = new URL('../../../../', import.meta.url);

interface Schema {
  properties?: Record<string, Schema>;
}

/** Lists the dotted paths of all settings in a schema. */
function listPaths(schema: Schema, prefix = ''): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, child]) =>
    child.properties
      ? listPaths(child, `${prefix}${name}.`)
      : [`${prefix}${name}`],
  );
}

function getDefault(path: string): unknown {
  let value: unknown = createSettings({platform: {}} as SettingsFile);
  for (const name of path.split('.')) {
    value = (value as Record<string, unknown> | undefined)?.[name];
  }
  return value;
}

/** Reads the documented defaults by path; empty if a setting has none. */
function readDocumentedDefaults(): Map<string, string> {
  const text = readFileSync(new URL('docs/OPERATORS.md', root), 'utf8');
  const section = text.split('## Settings of a process')[1]!.split('\n## ')[0]!;
  const rows = section.matchAll(/^\| `([\w.]+)` +\| (?:`([^`]*)`)? *\|/gm);
  return new Map([...rows].map(([, path, value]) => [path!, value ?? '']));
}

describe('settings documentation', () => {
  it('lists every setting with its default', () => {
    const schemaFile = new URL(
      'packages/config/src/schemas/settings.json',
      root,
    );
    const schema = JSON.parse(readFileSync(schemaFile, 'utf8')) as Schema;
    const expected = listPaths(schema).map(path => [
      path,
      String(getDefault(path) ?? ''),
    ]);
    const documented = readDocumentedDefaults();
    assert.equal(
      Object.fromEntries([...documented].sort()),
      Object.fromEntries(expected.sort()),
    );
  });
});
