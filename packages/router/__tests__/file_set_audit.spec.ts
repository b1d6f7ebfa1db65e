import {fileURLToPath} from 'node:url';
import {createFileSet, loadFileSet} from '@buckthornbeam/config';
import type {FileSetFiles} from '@buckthornbeam/config';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {listFileSetRecords} from '../src/file_set_audit.js';

const before = loadFileSet(
  fileURLToPath(new URL('../../../../examples/tunis', import.meta.url)),
);

function createSuccessor(change: (files: FileSetFiles) => void) {
  const files = structuredClone(before.files);
  files['service.json'].revision = 2;
  files['service.json'].basedOn = before.version.digest;
  change(files);
  return createFileSet(files as unknown as Record<string, unknown>);
}

describe('audit records of file sets', () => {
  it('list servers and data centres taken in or out of service', () => {
    const after = createSuccessor(files => {
      files['data-centres.json'].dataCentres[2]!.state = 'out';
      files['backend-servers.json'].backendServers[0]!.state = 'out';
      files['backend-servers.json'].backendServers.pop();
    });
    const records = listFileSetRecords(before, after);
    assert.equal(
      records.map(({change, fields}) => [
        change,
        fields['server'] ?? fields['dataCentre'] ?? fields['followsInForce'],
      ]),
      [
        ['file_set_changed', true],
        ['data_centre_out', 'tunis-c'],
        ['server_out', 'tunis-gpu-1'],
        ['server_removed', 'tunis-gpu-6'],
      ],
    );
    assert.ok(records.every(({fields}) => fields['revision'] === 2));
  });

  it('show whether a set is based on the one in force', () => {
    const after = createSuccessor(files => {
      files['service.json'].basedOn = null;
    });
    const [record] = listFileSetRecords(before, after);
    assert.is(record!.fields['followsInForce'], false);
    assert.is(record!.fields['files'], 'service.json');
  });
});
