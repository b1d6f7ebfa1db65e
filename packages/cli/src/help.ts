/** Prints help texts, generated from the command definitions. */
import type {Command, CommandOption} from './command.js';
import {formatTable, printLine} from './output.js';

const EXIT_CODES = [
  ['0', 'done'],
  ['1', 'the command ran and reports a failure'],
  ['2', 'arguments, settings or a file set are invalid'],
];

function formatOption(name: string, option: CommandOption): string {
  const text =
    option.value === undefined ? `--${name}` : `--${name} ${option.value}`;
  return option.isRequired ? text : `[${text}]`;
}

function formatUsage(name: string, command: Command): string {
  const options = Object.entries(command.options ?? {});
  return [
    name,
    ...(command.positionals ?? []),
    ...options.map(([key, option]) => formatOption(key, option)),
  ].join(' ');
}

/** Prints the list of commands. */
export function printHelp(commands: Readonly<Record<string, Command>>): void {
  printLine('Usage: buckthornbeam COMMAND [OPTIONS]');
  printLine('');
  const rows = Object.entries(commands).map(([name, {summary}]) => [
    `  ${name}`,
    summary,
  ]);
  printLine(formatTable(rows));
  printLine('');
  printLine('"buckthornbeam COMMAND --help" shows the options of a command.');
}

/** Prints the help of one command. */
export function printCommandHelp(name: string, command: Command): void {
  printLine(`Usage: buckthornbeam ${formatUsage(name, command)}`);
  printLine('');
  for (const line of [command.summary, ...(command.details ?? [])]) {
    printLine(line);
  }
  const options = Object.entries(command.options ?? {});
  if (options.length > 0) {
    printLine('\nOptions:');
    const rows = options.map(([key, {value = '', description}]) => [
      `  --${key} ${value}`,
      description,
    ]);
    printLine(formatTable(rows));
  }
  printLine('\nExit codes:');
  printLine(
    formatTable(EXIT_CODES.map(([code, text]) => [`  ${code}`, text!])),
  );
}
