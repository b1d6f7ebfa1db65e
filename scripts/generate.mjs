/**
 * Generates the protocol code from the .proto files. It needs `buf` and
 * `protoc-gen-es` on the PATH; the generated code is committed, so that a
 * normal install and build need neither.
 */
import {execFileSync} from 'node:child_process';

execFileSync('buf', ['generate'], {cwd: 'packages/protocol', stdio: 'inherit'});
