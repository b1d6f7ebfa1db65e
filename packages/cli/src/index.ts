/** Public API of the command line package. */
export {ExitCode} from './command.js';
export type {Command, CommandArguments} from './command.js';
export {printJson, printLine, printNote} from './output.js';
export {ownCommands, runCommandLine} from './run.js';
