import {spawn} from 'node:child_process';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parseFields, waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {startCluster} from '../src/index.js';

const examples = new URL('../../../../examples/', import.meta.url);
const mixPath = fileURLToPath(new URL('load-tunis.json', examples));
const mainPath = join(
  dirname(createRequire(import.meta.url).resolve('@buckthornbeam/cli')),
  'main.js',
);

/** Runs the command-line program; the code is -1 when a signal ended it. */
function runCommand(args: string[]): Promise<{code: number; output: string}> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, [mainPath, ...args]);
    let output = '';
    child.stdout.on('data', bytes => {
      output += bytes;
    });
    child.on('close', code => resolve({code: code ?? -1, output}));
  });
}

/** Counts the owners of each server from the audit log: gains minus losses. */
function countOwners(lines: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const line of lines) {
    const {change, server} = parseFields(line);
    const difference = {server_owned: 1, server_disowned: -1}[change ?? ''];
    if (server !== undefined && difference !== undefined) {
      counts.set(server, (counts.get(server) ?? 0) + difference);
    }
  }
  return counts;
}

describe('load command', () => {
  it('reports outcomes by class that add up to the requests in the logs', async () => {
    const cluster = await startCluster({
      fileSetDirectory: fileURLToPath(new URL('tunis', examples)),
      entries: 2,
    });
    try {
      const address = cluster.entries[0]!.instance.callerAddress;
      const args = ['load', mixPath, '--address', address, '--seconds', '3'];
      const {code, output} = await runCommand([...args, '--json']);
      assert.is(code, 0);
      const report = JSON.parse(output);
      assert.is(report.addresses.length, 2);
      const sent = report.classes.map((item: {sent: number}) => item.sent);
      const total = sent.reduce((sum: number, item: number) => sum + item, 0);
      assert.ok(total > 0);
      for (const item of report.classes) {
        const counts = Object.values(item.outcomes) as number[];
        assert.is(
          counts.reduce((sum, count) => sum + count, 0),
          item.sent,
        );
      }
      const readLines = () => cluster.entries.flatMap(entry => entry.logLines);
      const countLogged = () =>
        readLines().filter(line => line.includes(' event=request ')).length;
      const expectedOwners = [...cluster.fileSet.servers.keys()]
        .sort()
        .map(id => `${id} 1`)
        .join();
      const describeOwners = () =>
        [...countOwners(readLines())]
          .map(([id, count]) => `${id} ${count}`)
          .sort()
          .join();
      const isLogComplete = () =>
        countLogged() === total && describeOwners() === expectedOwners;
      // The last log lines may not have arrived from the processes yet.
      for (let polls = 0; polls < 100 && !isLogComplete(); polls++) {
        await waitFor(50);
      }
      assert.is(countLogged(), total);
      assert.is(describeOwners(), expectedOwners);
    } finally {
      await cluster.stop();
    }
  });
});
