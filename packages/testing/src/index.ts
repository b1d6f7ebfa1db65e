/** Nested `describe` blocks for tests and measurements; assertions come from uvu. */
export {describe, it} from './describe.js';
export {measureHeldBytes} from './heap.js';
