/** Public API of the command line package. */
export {runCommandLine} from './run.js';
