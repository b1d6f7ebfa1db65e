/** Parses command-line arguments according to the definition of a command. */
import {parseArgs} from 'node:util';
import type {ParseArgsConfig} from 'node:util';
import {RouterError} from '@buckthornbeam/shared';
import type {Command, CommandArguments} from './command.js';

function parseOrThrow(args: string[], command: Command) {
  const options: NonNullable<ParseArgsConfig['options']> = {};
  for (const [name, option] of Object.entries(command.options ?? {})) {
    options[name] = {type: option.value === undefined ? 'boolean' : 'string'};
  }
  try {
    return parseArgs({args, options, allowPositionals: true, strict: true});
  } catch (error) {
    throw new RouterError('usage', (error as Error).message);
  }
}

function checkPositionals(names: readonly string[], given: string[]): void {
  const missing = names[given.length];
  if (missing !== undefined && !missing.startsWith('[')) {
    throw new RouterError('usage', `the argument ${missing} is missing`);
  }
  if (given.length > names.length) {
    const extra = given[names.length];
    throw new RouterError('usage', `the argument "${extra}" is not expected`);
  }
}

function checkRequired(
  command: Command,
  values: ReadonlyMap<string, string>,
): void {
  for (const [name, option] of Object.entries(command.options ?? {})) {
    if (option.isRequired && !values.has(name)) {
      throw new RouterError('usage', `the option --${name} is missing`);
    }
  }
}

/** @throws RouterError `usage` if the arguments do not match the command */
export function parseArguments(
  args: string[],
  command: Command,
): CommandArguments {
  const parsed = parseOrThrow(args, command);
  const flags = new Set<string>();
  const values = new Map<string, string>();
  for (const [name, value] of Object.entries(parsed.values)) {
    if (typeof value === 'string') {
      values.set(name, value);
    } else if (value === true) {
      flags.add(name);
    }
  }
  checkPositionals(command.positionals ?? [], parsed.positionals);
  checkRequired(command, values);
  return {positionals: parsed.positionals, flags, values};
}

/**
 * Parses an option as a number above 0 and at most `maximum`.
 *
 * @throws RouterError `usage`
 */
export function parseNumber(
  given: CommandArguments,
  name: string,
  fallback: number,
  maximum: number,
): number {
  const text = given.values.get(name);
  if (text === undefined) {
    return fallback;
  }
  const value = Number(text);
  if (!(value > 0 && value <= maximum)) {
    throw new RouterError(
      'usage',
      `--${name} must be a number above 0 and at most ${maximum}`,
    );
  }
  return value;
}
