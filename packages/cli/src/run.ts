/** Runs commands and maps errors to exit codes. */
import {ConfigError} from '@buckthornbeam/config';
import {errorTable, toRouterError} from '@buckthornbeam/shared';
import {parseArguments} from './arguments.js';
import {ExitCode} from './command.js';
import type {Command} from './command.js';
import {auditCommand} from './commands/audit.js';
import {bundleCommand} from './commands/bundle.js';
import {checkCommand} from './commands/check.js';
import {diffCommand} from './commands/diff.js';
import {entriesCommand} from './commands/entries.js';
import {explainCommand} from './commands/explain.js';
import {loadCommand} from './commands/load.js';
import {serveCommand} from './commands/serve.js';
import {statusCommand} from './commands/status.js';
import {printCommandHelp, printHelp} from './help.js';
import {printCheckErrors, printNote} from './output.js';

/** The commands of this package, by name. */
export const ownCommands: Readonly<Record<string, Command>> = {
  serve: serveCommand,
  check: checkCommand,
  bundle: bundleCommand,
  diff: diffCommand,
  status: statusCommand,
  entries: entriesCommand,
  audit: auditCommand,
  explain: explainCommand,
  load: loadCommand,
};

function reportError(error: unknown): ExitCode {
  if (error instanceof ConfigError) {
    printCheckErrors(error.errors, printNote);
    return ExitCode.INVALID;
  }
  const {code, message} = toRouterError(error);
  printNote(`${code}: ${message}. ${errorTable[code].advice}`);
  return code === 'usage' ? ExitCode.INVALID : ExitCode.FAILURE;
}

/**
 * Runs the command named by the first argument; returns its exit code. Programs with
 * commands of their own pass them together with {@link ownCommands}.
 */
export async function runCommandLine(
  args: string[],
  commands: Readonly<Record<string, Command>> = ownCommands,
): Promise<ExitCode> {
  const [name = '--help', ...rest] = args;
  if (name === '--help') {
    printHelp(commands);
    return ExitCode.OK;
  }
  if (!Object.hasOwn(commands, name)) {
    printNote(`usage: there is no command "${name}". See --help.`);
    return ExitCode.INVALID;
  }
  const command = commands[name]!;
  if (rest.includes('--help')) {
    printCommandHelp(name, command);
    return ExitCode.OK;
  }
  try {
    return await command.run(parseArguments(rest, command));
  } catch (error) {
    return reportError(error);
  }
}
