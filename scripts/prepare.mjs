/**
 * Installs the dependencies if they are missing or older than the lock file, then
 * builds and bundles.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

function run(command, args) {
  const result = spawnSync(command, args, {stdio: 'inherit'});
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

function isInstalled() {
  const installedLock = 'node_modules/.package-lock.json';
  return (
    existsSync(installedLock) &&
    statSync(installedLock).mtimeMs >= statSync('package-lock.json').mtimeMs
  );
}

if (!isInstalled()) {
  run('npm', ['ci', '--ignore-scripts', '--prefer-offline']);
}
run('npx', ['tsc', '-b']);
run('node', ['scripts/bundle.mjs']);
