/** Bundles the daemon for the platform into one file; start-up loads nothing else. */
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  outfile: 'target/gateway.mjs',
  // Packages of the workspace are taken from their sources, so that no build has to run first.
  alias: Object.fromEntries(
    ['shared', 'decisions', 'membership', 'gateway', 'config'].map(name => [
      `@buckthornbeam/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // CommonJS dependencies look for these.
  banner: {
    js: "import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
