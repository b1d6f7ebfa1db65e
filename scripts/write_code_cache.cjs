/**
 * Writes the code cache of the bundled gateway. The gateway is started on ephemeral
 * loopback ports first, so that the cache holds the functions that a start compiles.
 */
const {mkdtempSync, readFileSync, rmSync, writeFileSync} = require('node:fs');
const {tmpdir} = require('node:os');
const {join} = require('node:path');
const {Script} = require('node:vm');

const SCRIPT_FILE = 'target/gateway_script.js';
const CACHE_FILE = 'target/gateway_script.cache';
/** A start takes a fraction of it, also on a busy machine. */
const START_MS = 1500;
const LOCAL_ADDRESS = '127.0.0.1:0';
/** Nothing listens there; the gateway keeps trying. */
const STORE_ADDRESS = '127.0.0.1:9';

const directory = mkdtempSync(join(tmpdir(), 'gateway-code-cache-'));
const settingsFile = join(directory, 'settings.json');
writeFileSync(
  settingsFile,
  JSON.stringify({
    instanceId: 'code-cache',
    dataCentre: 'local',
    regions: {local: 'local'},
    listen: {
      callers: LOCAL_ADDRESS,
      readiness: LOCAL_ADDRESS,
      addresses: LOCAL_ADDRESS,
      peers: LOCAL_ADDRESS,
    },
    store: {address: STORE_ADDRESS},
  }),
);
process.env.BUCKTHORNBEAM_SETTINGS = settingsFile;

const script = new Script(readFileSync(SCRIPT_FILE, 'latin1'), {
  filename: SCRIPT_FILE,
});
script.runInThisContext()(require);
setTimeout(() => {
  writeFileSync(CACHE_FILE, script.createCachedData());
  rmSync(directory, {recursive: true, force: true});
  process.exit(0);
}, START_MS);
