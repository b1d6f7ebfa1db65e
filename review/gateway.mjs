/** Starts gateways with the command of the deploy file, and signals them. */
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Settings of the small deployment in Tunis, from its page. */
const BOUNDS = {
  'drain-ms': 2000,
  'config-apply-ms': 2000,
  'revoke-fail-closed': true,
  'revoke-ms': 5000,
  'budget-ratio': 0.2,
  'budget-window-s': 10,
  'budget-extra': 56,
  'cold-overage': 1.5,
  'cold-slack': 5,
  'grace-s': 8,
  ttl_max_s: 5,
};
const ZONES = {'tn-north-a': 'tn-north', 'tn-north-b': 'tn-north'};

/** Finds free loopback ports; all are held open until the last is known. */
async function findPorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

function readCommand() {
  const deploy = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
}

/** Fills in the values of the template; it has no sections. */
function fillTemplate(values) {
  const template = readFileSync(
    join(ROOT, 'platform', 'settings.json.tmpl'),
    'utf8',
  );
  return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split('.').reduce((item, name) => item?.[name], values);
    return isJson ? JSON.stringify(value ?? null) : String(value ?? '');
  });
}

/** Starts a fleet; `names` are the ids of its gateways. */
export async function startGateways({names, storeAddress, folder}) {
  const ports = await findPorts(names.length * 5);
  const nodes = names.map((name, index) => {
    const [front, ready, control, directory, metrics] = ports.slice(index * 5);
    return {name, front, ready, control, directory, metrics};
  });
  const seeds = nodes.slice(0, 3).map(({control}) => `127.0.0.1:${control}`);
  return nodes.map((node, index) => {
    const path = join(folder, `${node.name}.json`);
    const text = fillTemplate({
      node: node.name,
      zone: Object.keys(ZONES)[index % 2],
      zones: ZONES,
      ip: '127.0.0.1',
      listen: {
        front: `127.0.0.1:${node.front}`,
        ready: `127.0.0.1:${node.ready}`,
        control: `127.0.0.1:${node.control}`,
        directory: `127.0.0.1:${node.directory}`,
      },
      bootstrap: true,
      seeds,
      platform: {address: storeAddress},
      bounds: BOUNDS,
    }).replace('127.0.0.1:9464', `127.0.0.1:${node.metrics}`);
    writeFileSync(path, text);
    const [program, ...parameters] = readCommand();
    const child = spawn(program, parameters, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, BUCKTHORNBEAM_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${node.name}.log`));
    child.stdout.pipe(log);
    child.stderr.pipe(log, {end: false});
    const ended = new Promise(resolve => child.once('exit', resolve));
    return {
      ...node,
      pid: child.pid,
      signal: name => child.kill(name),
      isRunning: () => child.exitCode === null && child.signalCode === null,
      end: async () => {
        child.kill('SIGKILL');
        await ended;
      },
    };
  });
}
