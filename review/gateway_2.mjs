/** Starts gateways with the command of the deploy file and settings of a small site. */
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../', import.meta.url));
const READY_LIMIT_MS = 20_000;

function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [program, ...words] = /^run = "([^"]*)"$/m.exec(text)[1].split(' ');
  return {program: program === 'node' ? process.execPath : program, words};
}

function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Finds the addresses of a gateway before it starts, so that others can name them. */
export async function findListen(host) {
  const names = ['callers', 'readiness', 'addresses', 'peers', 'metrics'];
  const listen = {};
  for (const name of names) {
    listen[name] = `${host}:${await findPort(host)}`;
  }
  return listen;
}

/** The settings as `platform/settings.json.tmpl` gives them on the site anca-pat. */
export function buildSettings({
  name,
  zone,
  zones,
  listen,
  seeds,
  storeAddress,
  isFirstStart = false,
}) {
  return {
    instanceId: name,
    dataCentre: zone,
    regions: Object.fromEntries(zones.map(item => [item, 'tn-north'])),
    listen,
    isFirstStart,
    seeds,
    store: {address: storeAddress, applyMs: 2000, drainMs: 2000},
    keys: {failClosed: true, revokeMs: 5000},
    repeats: {ratio: 0.2, windowS: 10, extra: 56},
    cold: {overage: 1.5, slack: 5},
    stop: {graceMs: 8000},
    machine: {memoryMb: 350, maximumDescriptors: 4100},
    addresses: {maximumTtlS: 5},
    failures: {shared: true},
    admission: {order: 'urgency'},
  };
}

export function startGateway({settings, folder, record, onLine}) {
  const {instanceId: name, listen} = settings;
  const path = join(folder, `${name}.json`);
  writeFileSync(path, JSON.stringify(settings));
  const {program, words} = readCommand();
  let child;
  let ended;

  function start() {
    child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        BUCKTHORNBEAM_SETTINGS: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let rest = '';
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', bytes => {
        const lines = (rest + bytes).split('\n');
        rest = lines.pop();
        lines.forEach(line => onLine?.(name, line));
      });
    }
    record('gateway', 'started', {gateway: name});
    ended = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        record('gateway', 'ended', {gateway: name, code, signal});
        resolve({code, signal});
      });
    });
  }

  async function waitUntilReady() {
    const endsAt = Date.now() + READY_LIMIT_MS;
    while (Date.now() < endsAt) {
      const isReady = await fetch(`http://${listen.readiness}/ready`).then(
        answer => answer.status === 200,
        () => false,
      );
      if (isReady) {
        return;
      }
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    throw new Error(`${name} is not ready after ${READY_LIMIT_MS} ms`);
  }

  start();
  return {
    name,
    listen,
    waitUntilReady,
    /** Starts the program again after it has ended. */
    restart: start,
    get ended() {
      return ended;
    },
    signal: signal => {
      record('gateway', 'gets signal', {gateway: name, signal});
      child.kill(signal);
    },
    end: async () => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await ended;
    },
  };
}
