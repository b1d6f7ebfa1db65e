/** Parsing of command-line arguments, with typed errors. */
import {parseArgs} from 'node:util';
import type {ParseArgsConfig} from 'node:util';
import {RouterError} from '@buckthornbeam/shared';

type Options = NonNullable<ParseArgsConfig['options']>;

type ParsedArguments<T extends Options> = ReturnType<
  typeof parseArgs<{
    args: string[];
    options: T;
    allowPositionals: true;
    strict: true;
  }>
>;

/** Parses arguments; throws `usage` when they do not fit. */
export function parseArguments<T extends Options>(
  args: string[],
  options: T,
  positionalNames: readonly string[] = [],
): ParsedArguments<T> {
  const parsed = parseOrThrow(args, options);
  const missing = positionalNames[parsed.positionals.length];
  if (missing !== undefined) {
    throw new RouterError('usage', `the argument ${missing} is missing`);
  }
  if (parsed.positionals.length > positionalNames.length) {
    const extra = parsed.positionals[positionalNames.length];
    throw new RouterError('usage', `the argument "${extra}" is not expected`);
  }
  return parsed;
}

function parseOrThrow<T extends Options>(
  args: string[],
  options: T,
): ParsedArguments<T> {
  try {
    return parseArgs({args, options, allowPositionals: true, strict: true});
  } catch (error) {
    throw new RouterError('usage', (error as Error).message);
  }
}

/** Returns the value of an option that has to be given. */
export function getRequired(value: string | undefined, name: string): string {
  if (value === undefined) {
    throw new RouterError('usage', `the option --${name} is missing`);
  }
  return value;
}
