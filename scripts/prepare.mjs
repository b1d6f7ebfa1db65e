/** Installs from the lock file where needed, then builds and bundles. */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

function run(command, args) {
  const result = spawnSync(command, args, {stdio: 'inherit'});
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

function isInstalled() {
  const marker = 'node_modules/.package-lock.json';
  return (
    existsSync(marker) &&
    statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs
  );
}

if (!isInstalled()) {
  run('npm', ['ci', '--ignore-scripts', '--prefer-offline']);
}
run('npx', ['tsc', '-b']);
run('node', ['scripts/bundle.mjs']);
