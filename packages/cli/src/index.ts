/** The command line as a library. */
export {runCommandLine} from './run.js';
