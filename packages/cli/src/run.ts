/** The table of commands. */
import {errorTable, toRouterError} from '@buckthornbeam/shared';
import {ConfigError} from '@buckthornbeam/config';
import {ExitCode} from './command.js';
import type {Command} from './command.js';
import {bundleCommand} from './commands/bundle.js';
import {checkCommand} from './commands/check.js';
import {diffCommand} from './commands/diff.js';
import {entriesCommand, statusCommand} from './commands/remote.js';
import {serveCommand} from './commands/serve.js';
import {printCheckErrors, printLine} from './output.js';

const commands: Record<string, Command> = {
  serve: serveCommand,
  check: checkCommand,
  bundle: bundleCommand,
  diff: diffCommand,
  status: statusCommand,
  entries: entriesCommand,
};

function printHelp(): void {
  printLine('Usage: buckthornbeam COMMAND [OPTIONS]');
  for (const {usage, summary} of Object.values(commands)) {
    printLine(`  ${usage.padEnd(32)} ${summary}`);
  }
}

function reportError(error: unknown): ExitCode {
  if (error instanceof ConfigError) {
    printCheckErrors(error.errors);
    return ExitCode.INVALID;
  }
  const {code, message} = toRouterError(error);
  process.stderr.write(`${code}: ${message}. ${errorTable[code].advice}\n`);
  return code === 'usage' ? ExitCode.INVALID : ExitCode.FAILURE;
}

/** Runs the command line and returns the exit code. */
export async function runCommandLine(args: string[]): Promise<ExitCode> {
  const [name = '--help', ...rest] = args;
  const command = Object.hasOwn(commands, name) ? commands[name] : undefined;
  if (!command) {
    printHelp();
    return name === '--help' ? ExitCode.OK : ExitCode.INVALID;
  }
  if (rest.includes('--help')) {
    printLine(`Usage: buckthornbeam ${command.usage}`);
    printLine(command.summary);
    return ExitCode.OK;
  }
  try {
    return await command.run(rest);
  } catch (error) {
    return reportError(error);
  }
}
