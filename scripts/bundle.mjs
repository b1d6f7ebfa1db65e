/**
 * Bundles the gateway into `target/`, so that it starts without loading other files:
 * `gateway.mjs` is a plain module; `gateway.cjs` loads the same program as a script
 * with a V8 code cache, which saves most of the compile time of a start.
 */
import {spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const MODULE_FILE = 'target/gateway.mjs';
const SCRIPT_FILE = 'target/gateway_script.js';
const CACHE_FILE = 'target/gateway_script.cache';
const LOADER_FILE = 'target/gateway.cjs';
const CACHE_TIMEOUT_MS = 20_000;

await build({
  entryPoints: ['platform/src/main.ts'],
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  outfile: MODULE_FILE,
  // Uses the sources of the workspace packages, so that no build has to run first.
  alias: Object.fromEntries(
    ['shared', 'decisions', 'membership', 'gateway', 'config'].map(name => [
      `@buckthornbeam/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // Bundled CommonJS dependencies call `require`, which ES modules lack.
  banner: {
    js: "import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});

/**
 * Turns the module into a script, since V8 offers code caches of scripts only. The
 * bundle imports nothing but built-in modules, by name; its top-level `await` needs an
 * asynchronous function, so esbuild's own CommonJS output cannot be used.
 */
function toScript(module) {
  const body = module
    .replace(/^import \{createRequire .*$/m, '')
    .replace(
      /^import \{ ([^}]*) \} from ("node:[^"]+");$/gm,
      (_, names, specifier) =>
        `const { ${names.replaceAll(' as ', ': ')} } = require(${specifier});`,
    );
  const left = body.match(/^(import|export) .*$/m);
  if (left) {
    throw new Error(`cannot be turned into a script: ${left[0]}`);
  }
  // Modules are strict, scripts are not.
  return `(async function (require) {\n'use strict';\n${body}\n})`;
}

/** Reads the V8 flags of the deployed command: a cache is valid for equal flags only. */
function readDeployedFlags() {
  const [, flags] = readFileSync('deploy/system.toml', 'utf8').match(
    /^run = "node ((?:--\S+ )*)target\//m,
  );
  return flags.trim().split(' ').filter(Boolean);
}

// V8 compares the length of a script, not its text, with that of its cache.
rmSync(CACHE_FILE, {force: true});
writeFileSync(SCRIPT_FILE, toScript(readFileSync(MODULE_FILE, 'utf8')));
copyFileSync('scripts/load_gateway.cjs', LOADER_FILE);
const caching = spawnSync(
  process.execPath,
  [...readDeployedFlags(), 'scripts/write_code_cache.cjs'],
  {
    stdio: ['ignore', 'ignore', 'inherit'],
    timeout: CACHE_TIMEOUT_MS,
  },
);
if (caching.status !== 0) {
  console.warn('no code cache was written; starts take longer');
}
