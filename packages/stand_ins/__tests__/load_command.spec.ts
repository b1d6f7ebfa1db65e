import {spawn} from 'node:child_process';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {startCluster} from '../src/index.js';

const examples = new URL('../../../../examples/', import.meta.url);
const mix = fileURLToPath(new URL('load-tunis.json', examples));
const main = join(
  dirname(createRequire(import.meta.url).resolve('@buckthornbeam/cli')),
  'main.js',
);

/** Runs the command line and returns its exit code and output. */
function runCommand(args: string[]): Promise<{code: number; output: string}> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, [main, ...args]);
    let output = '';
    child.stdout.on('data', bytes => {
      output += bytes;
    });
    child.on('close', code => resolve({code: code ?? -1, output}));
  });
}

describe('load command', () => {
  it('reports what each class got, and the log has the same requests', async () => {
    const cluster = await startCluster({
      fileSetDirectory: fileURLToPath(new URL('tunis', examples)),
      entries: 2,
    });
    try {
      const address = cluster.entries[0]!.instance.callerAddress;
      const args = ['load', mix, '--address', address, '--seconds', '3'];
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
      const lines = cluster.entries.flatMap(entry => entry.lines);
      const logged = lines.filter(line => line.includes(' event=request '));
      assert.is(logged.length, total);
      const owned = lines.filter(line => line.includes('change=server_owned'));
      assert.is(owned.length, cluster.fileSet.servers.size);
    } finally {
      await cluster.stop();
    }
  });
});
