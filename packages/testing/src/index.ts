/** Nested `describe` blocks for tests; assertions come from uvu. */
export {describe, it} from './describe.js';
