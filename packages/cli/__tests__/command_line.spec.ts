import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {decodeBundle, loadFileSet} from '@buckthornbeam/config';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {runProcess} from './run_process.js';

const tunis = fileURLToPath(
  new URL('../../../../examples/tunis', import.meta.url),
);

const COMMANDS = [
  'serve',
  'check',
  'bundle',
  'diff',
  'status',
  'entries',
  'audit',
  'explain',
  'load',
];

type JsonFile = Record<string, unknown>;

function updateFile(path: string, change: (value: JsonFile) => void): void {
  const value = JSON.parse(readFileSync(path, 'utf8')) as JsonFile;
  change(value);
  writeFileSync(path, JSON.stringify(value));
}

/** Calls `body` with a temporary copy of examples/tunis. */
async function useExampleCopy(body: (directory: string) => Promise<void>) {
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-cli-'));
  try {
    cpSync(tunis, directory, {recursive: true});
    await body(directory);
  } finally {
    rmSync(directory, {recursive: true, force: true});
  }
}

/** Calls `body` with the address of a server that answers with `value`. */
async function useJsonServer(
  value: unknown,
  body: (address: string) => Promise<void>,
) {
  const server = createServer((_, response) => {
    response.end(JSON.stringify(value));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  try {
    await body(`127.0.0.1:${port}`);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

describe('command line', () => {
  describe('arguments', () => {
    it('include --help for every command', async () => {
      const all = await runProcess(['--help']);
      assert.is(all.code, 0);
      for (const name of COMMANDS) {
        const {code, output} = await runProcess([name, '--help']);
        assert.is(code, 0, name);
        assert.match(output, `Usage: buckthornbeam ${name}`);
        assert.match(output, 'Exit codes:');
        assert.match(all.output, name);
      }
    });

    it('that are invalid exit with code 2 and a reason', async () => {
      const wrong: Array<[string[], RegExp]> = [
        [['nothing'], /no command "nothing"/],
        [['toString'], /no command "toString"/],
        [['serve'], /--settings is missing/],
        [['check'], /DIR is missing/],
        [['check', 'a', 'b'], /"b" is not expected/],
        [['check', '--none', 'a'], /--none/],
        [['status', '--address'], /address/],
        [['audit', '--since', 'soon'], /ISO 8601/],
        [['audit', 'no-such-file'], /cannot be read/],
        [['explain'], /ID is missing/],
        [['explain', 'r1', 'no-such-file'], /cannot be read/],
      ];
      for (const [args, reason] of wrong) {
        const {code, output, errors} = await runProcess(args);
        assert.is(code, 2, args.join(' '));
        assert.is(output, '');
        assert.match(errors, reason);
      }
    });
  });

  describe('check', () => {
    it('prints warnings and the version of a valid set', async () => {
      const {code, output} = await runProcess(['check', tunis]);
      assert.is(code, 0);
      assert.match(output, /^warning: classes\.json .*tier 3/);
      assert.match(output, /valid: revision 1, digest [0-9a-f]{64}, \d+ bytes/);
    });

    it('lists every error of the set and the settings and exits with code 2', () =>
      useExampleCopy(async directory => {
        updateFile(join(directory, 'classes.json'), file => {
          file['clases'] = [];
        });
        rmSync(join(directory, 'models.json'));
        const settings = join(directory, '.settings');
        writeFileSync(settings, '{}');
        const args = ['check', directory, '--settings', settings];
        const plain = await runProcess(args);
        assert.is(plain.code, 2);
        assert.match(plain.output, /classes\.json.*Remove the field "clases"/);
        assert.match(plain.output, /models\.json.*Add models\.json/);
        assert.match(plain.output, /Add the field "ticketKey"/);
        const json = await runProcess([...args, '--json']);
        assert.is(json.code, 2);
        const report = JSON.parse(json.output);
        assert.not(report.valid);
        assert.ok(report.errors.length > 2);
      }));

    it('also runs in serve, which exits with code 2 on invalid settings', () =>
      useExampleCopy(async directory => {
        const settings = join(directory, 'settings.json');
        writeFileSync(settings, '{"callers": 1}');
        const {code, errors} = await runProcess([
          'serve',
          '--settings',
          settings,
        ]);
        assert.is(code, 2);
        assert.match(errors, /\/callers: expected must be object/);
        assert.match(errors, /Add the field "platform"/);
      }));
  });

  describe('bundle', () => {
    it('is accepted by check and diff like a directory', () =>
      useExampleCopy(async directory => {
        const {code, output} = await runProcess(['bundle', tunis]);
        assert.is(code, 0);
        const set = decodeBundle(output.trim());
        assert.equal(set.version, loadFileSet(tunis).version);
        const path = join(directory, '.bundle');
        writeFileSync(path, output);
        assert.is((await runProcess(['check', path])).code, 0);
        const same = await runProcess(['diff', path, tunis, '--json']);
        assert.equal(JSON.parse(same.output).changes, []);
      }));

    it('with a base contains its digest and requires a greater revision', () =>
      useExampleCopy(async directory => {
        const args = ['bundle', directory, '--based-on', tunis];
        const refused = await runProcess(args);
        assert.is(refused.code, 2);
        assert.is(refused.output, '');
        assert.match(refused.errors, /\/revision: expected more than 1/);
        updateFile(join(directory, 'service.json'), file => {
          file['revision'] = 2;
        });
        const {code, output} = await runProcess(args);
        assert.is(code, 0);
        const {basedOn} = decodeBundle(output.trim()).files['service.json'];
        assert.is(basedOn, loadFileSet(tunis).version.digest);
      }));
  });

  describe('diff', () => {
    it('lists each change and warns if the new set is not a valid successor', () =>
      useExampleCopy(async directory => {
        updateFile(join(directory, 'data-centres.json'), file => {
          (file['dataCentres'] as Array<{state: string}>)[0]!.state = 'out';
        });
        const {code, output, errors} = await runProcess([
          'diff',
          tunis,
          directory,
        ]);
        assert.is(code, 0);
        assert.match(output, /\/dataCentres\/tunis-a\/state +"in" +"out"/);
        assert.match(errors, /warning: service\.json \/revision/);
      }));
  });

  describe('status and entries', () => {
    it('print a table, or JSON with --json', () =>
      useJsonServer(
        {
          entries: [{id: 'a', address: '10.0.0.1:80', dataCentre: 'x'}],
          keepMs: 10,
        },
        async address => {
          const args = ['entries', '--address', address];
          const table = await runProcess(args);
          assert.is(table.code, 0);
          assert.match(table.output, /a +10\.0\.0\.1:80 +x/);
          const json = await runProcess([...args, '--json']);
          assert.is(JSON.parse(json.output).keepMs, 10);
        },
      ));

    it('exit with code 1 if no instance answers', async () => {
      const args = ['status', '--address', '127.0.0.1:9'];
      const {code, errors} = await runProcess(args);
      assert.is(code, 1);
      assert.match(errors, /^instance_unreachable: 127\.0\.0\.1:9/);
    });
  });

  describe('audit', () => {
    const lines = [
      'time=2026-12-04T05:00:00.000Z level=audit event=audit instance=a change=file_set_accepted revision=2 changes="one two"',
      'time=2026-12-04T05:00:01.000Z level=info event=started instance=a',
      'no pairs at all',
      'time=2026-12-04T05:00:02.000Z level=audit event=audit instance=b change=server_out server=gpu-1',
    ].join('\n');

    it('prints only audit records', async () => {
      const {code, output} = await runProcess(['audit'], lines);
      assert.is(code, 0);
      const rows = output.trim().split('\n');
      assert.is(rows.length, 2);
      assert.match(rows[0]!, 'file_set_accepted');
      assert.match(rows[1]!, 'server=gpu-1');
    });

    it('filters by change, instance, server and time', async () => {
      const filters = [
        ['--change', 'server_out'],
        ['--instance', 'b'],
        ['--server', 'gpu-1'],
        ['--since', '2026-12-04T05:00:01Z'],
      ];
      for (const filter of filters) {
        const args = ['audit', '-', '--json', ...filter];
        const {output} = await runProcess(args, lines);
        const rows = output.trim().split('\n');
        assert.equal(
          rows.map(row => JSON.parse(row).instance),
          ['b'],
        );
      }
    });
  });

  describe('explain', () => {
    const lines = [
      'time=2026-12-04T05:00:00.000Z level=warn event=store_lost instance=a code=platform_unavailable ageMs=300',
      'time=2026-12-04T05:00:01.000Z level=warn event=store_lost instance=b ageMs=200',
      'time=2026-12-04T05:00:02.000Z level=info event=server_removed instance=b server=i-1',
      'time=2026-12-04T05:00:02.500Z level=info event=server_statement instance=a server=i-0 statement=leaving change=begun value=1 request=r1 heldMs=0',
      'time=2026-12-04T05:00:02.600Z level=info event=server_statement instance=a server=i-1 statement=pause change=begun value=1.5 request=r1 heldMs=0',
      'time=2026-12-04T05:00:03.000Z level=info event=request instance=a id=r1 route=chat customer=c1 priority=0 status=502 code=answer_garbled reason="no answer: truncated" servers="i-0,i-1" attempts="refused_by_server,truncated" totalMs=1500 deadlineMs=8000 promptTokens=1400 home=false unreadTokens=1200 copiedTokens=150 expectedReadMs=24 expectedEndMs=800 version=7 knowledgeAgeMs=120',
      'time=2026-12-04T05:00:30.000Z level=info event=server_removed instance=b server=i-0',
      'no pairs at all',
    ].join('\n');

    it('describes the course of a request and the events around it', async () => {
      const {code, output} = await runProcess(['explain', 'r1'], lines);
      assert.is(code, 0);
      const rows = output.trimEnd().split('\n');
      assert.match(rows[0]!, /05:00:01\.500Z a took the request/);
      assert.match(rows[0]!, /priority 0, 8000 ms left; configuration 7/);
      assert.match(rows[1]!, /1200 of 1400 prompt tokens to prefill/);
      assert.match(rows[1]!, /150 copied from another server/);
      assert.match(rows[2]!, /i-0: refused_by_server, the server stated/);
      assert.match(rows[3]!, /i-1: truncated, the connection ended/);
      assert.match(rows[4]!, /ended with 502 \(answer_garbled\) after 1500 ms/);
      assert.match(rows[5]!, /because: no answer: truncated\./);
      assert.equal(
        rows.slice(7).map(row => row.trim().split(' ')[2]),
        [
          'store_lost',
          'server_removed',
          'server_statement',
          'server_statement',
        ],
      );
      assert.match(rows[7]!, /code=platform_unavailable/);
      assert.match(rows[10]!, /statement=pause change=begun value=1.5/);
    });

    it('exits with code 1 if the id is not in the log', async () => {
      const {code, output, errors} = await runProcess(['explain', 'r2'], lines);
      assert.is(code, 1);
      assert.is(output, '');
      assert.match(errors, /no request r2 in the log/);
    });
  });
});
