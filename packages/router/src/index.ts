/** Public API of the router package. */
export {createRouter} from './router.js';
export type {Router, RouterOptions} from './router.js';
