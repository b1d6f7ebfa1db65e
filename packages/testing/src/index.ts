/** What tests share: nested `describe` blocks. Assertions are uvu's. */
export {describe, it} from './describe.js';
