/**
 * Starts the gateway from its script and code cache in the same directory. V8 checks
 * the cache against its version, flags and the length of the script; without a valid
 * cache the script is compiled as usual.
 */
const {existsSync, readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'gateway_script.js');
const cacheFile = join(__dirname, 'gateway_script.cache');
const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData,
});
if (!cachedData || script.cachedDataRejected) {
  const time = new Date().toISOString();
  const reason = cachedData ? 'rejected' : 'missing';
  process.stdout.write(
    `time=${time} level=warn event=code_cache_unused reason=${reason}\n`,
  );
}
script.runInThisContext()(require);
