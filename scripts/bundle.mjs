/** Bundles the gateway into one file, so that it starts without loading other files. */
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  outfile: 'target/gateway.mjs',
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
