/** The router as a library. */
export {createRouter} from './router.js';
export type {Router, RouterOptions} from './router.js';
