/** Types for the definition of a command. */

/** Exit codes; docs/OPERATORS.md lists them for users. */
export const ExitCode = {
  OK: 0,
  /** The command ran and reports a failure. */
  FAILURE: 1,
  /** Arguments, settings or a file set are invalid. */
  INVALID: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** An option; `value` is the placeholder of its argument, absent for flags. */
export interface CommandOption {
  value?: string;
  description: string;
  isRequired?: boolean;
}

/** Parsed arguments. */
export interface CommandArguments {
  positionals: string[];
  flags: ReadonlySet<string>;
  values: ReadonlyMap<string, string>;
}

export interface Command {
  summary: string;
  /** Lines of the longer description in `--help`. */
  details?: readonly string[];
  /** Placeholders of the positional arguments; brackets mark optional ones. */
  positionals?: readonly string[];
  options?: Record<string, CommandOption>;
  run: (given: CommandArguments) => Promise<ExitCode>;
}
