/** What a command of the command line is. */

/** Exit codes; docs/OPERATORS.md lists them for users. */
export const ExitCode = {
  OK: 0,
  /** The command ran and found a failure. */
  FAILURE: 1,
  /** Arguments, settings or a file set are invalid. */
  INVALID: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** One option; `value` names its argument, flags have none. */
export interface CommandOption {
  value?: string;
  description: string;
  isRequired?: boolean;
}

/** Arguments after their checks. */
export interface CommandArguments {
  positionals: string[];
  flags: ReadonlySet<string>;
  values: ReadonlyMap<string, string>;
}

/** A command by its name. */
export interface Command {
  summary: string;
  /** Longer text for `--help`, one line an entry. */
  details?: readonly string[];
  /** Names of the arguments; a name in brackets may be left out. */
  positionals?: readonly string[];
  options?: Record<string, CommandOption>;
  run: (given: CommandArguments) => Promise<ExitCode>;
}
