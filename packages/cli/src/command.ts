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

/** A command by its name. */
export interface Command {
  /** Arguments as the help shows them. */
  usage: string;
  summary: string;
  run: (args: string[]) => Promise<ExitCode>;
}
