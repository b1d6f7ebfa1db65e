/**
 * Generates the protocol code from the .proto files. Requires `buf` and
 * `protoc-gen-es` on the PATH; the generated code is committed, so that neither
 * is needed to install and build.
 */
import {execFileSync} from 'node:child_process';

execFileSync('buf', ['generate'], {cwd: 'packages/protocol', stdio: 'inherit'});
