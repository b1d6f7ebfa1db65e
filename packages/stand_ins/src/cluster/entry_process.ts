/** Runs router instances as child processes. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {createInterface} from 'node:readline';
import type {SettingsFile} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import type {ListedInstance} from '../configuration_service.js';

export interface EntryProcess {
  readonly instance: ListedInstance;
  readonly child: ChildProcess;
  /** Log lines written so far. */
  readonly logLines: string[];
}

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 15_000;

function getCommandLinePath(): string {
  const require = createRequire(import.meta.url);
  return join(dirname(require.resolve('@buckthornbeam/cli')), 'main.js');
}

/**
 * Returns the addresses in the `started` log line; rejects with the log when
 * the process exits first.
 */
function waitForStart(
  child: ChildProcess,
  lines: string[],
): Promise<{callerAddress: string; peerAddress: string}> {
  return new Promise((resolve, reject) => {
    child.once('exit', code =>
      reject(
        new DOMException(
          `the entry exited with code ${code}: ${lines.join('\n')}`,
        ),
      ),
    );
    createInterface({input: child.stderr!}).on('line', line => {
      lines.push(line);
      const match = /event=started.*callerAddress=(\S+) peerAddress=(\S+)/.exec(
        line,
      );
      if (match) {
        resolve({callerAddress: match[1]!, peerAddress: match[2]!});
      }
    });
  });
}

/** Starts a router instance; writes its settings file into the directory. */
export async function startEntry(
  settings: SettingsFile,
  directory: string,
): Promise<EntryProcess> {
  const path = join(directory, `${settings.instance.id}.json`);
  writeFileSync(path, JSON.stringify(settings));
  const child = spawn(
    process.execPath,
    [getCommandLinePath(), 'serve', '--settings', path],
    {stdio: ['ignore', 'ignore', 'pipe']},
  );
  const lines: string[] = [];
  const addresses = await waitForStart(child, lines);
  return {
    child,
    logLines: lines,
    instance: {...settings.instance, ...addresses, state: 'live'},
  };
}

/** Sends SIGTERM to an entry and waits for its exit. */
export function stopEntry(entry: EntryProcess): Promise<void> {
  return new Promise(resolve => {
    if (entry.child.exitCode !== null || entry.child.signalCode !== null) {
      resolve();
      return;
    }
    entry.child.once('exit', () => resolve());
    entry.child.kill('SIGTERM');
  });
}

async function countListedEntries(entry: EntryProcess): Promise<number> {
  const {callerAddress} = entry.instance;
  const response = await request(`http://${callerAddress}/v1/entries`);
  const list = (await response.body.json()) as {entries: unknown[]};
  return list.entries.length;
}

/** Waits until every entry lists all entries; throws after 15 seconds. */
export async function waitUntilReady(
  entries: readonly EntryProcess[],
): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const counts = await Promise.all(entries.map(countListedEntries));
    if (counts.every(count => count === entries.length)) {
      return;
    }
    await waitFor(READY_POLL_MS);
  }
  throw new DOMException('not every entry listed all entries in time');
}
