/** Memory that a test holds. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Collects garbage, then counts what is left: objects and the memory of buffers. */
export function measureHeldBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
