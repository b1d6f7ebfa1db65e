/** `buckthornbeam check`: validates a file set and, optionally, settings. */
import {
  ConfigError,
  checkAgainstBase,
  encodeBundle,
  listWarnings,
  loadSettings,
} from '@buckthornbeam/config';
import type {CheckError, FileSet} from '@buckthornbeam/config';
import {ExitCode} from '../command.js';
import type {Command, CommandArguments} from '../command.js';
import {printCheckErrors, printJson, printLine} from '../output.js';
import {readFileSet} from '../read_file_set.js';

interface CheckReport {
  set?: FileSet;
  bundleBytes?: number;
  errors: readonly CheckError[];
  warnings: readonly CheckError[];
}

/** Runs a step and returns the errors of a thrown ConfigError. */
function listErrors(step: () => void): readonly CheckError[] {
  try {
    step();
    return [];
  } catch (error) {
    if (error instanceof ConfigError) {
      return error.errors;
    }
    throw error;
  }
}

function checkFileSet(path: string, basePath: string | undefined): CheckReport {
  let set: FileSet | undefined;
  let bundleBytes: number | undefined;
  const errors = [
    ...listErrors(() => {
      set = readFileSet(path);
      bundleBytes = Buffer.byteLength(encodeBundle(set));
    }),
    ...listErrors(() => {
      if (basePath !== undefined && set) {
        const baseErrors = checkAgainstBase(set, readFileSet(basePath));
        if (baseErrors.length > 0) {
          throw new ConfigError('invalid_file_set', baseErrors);
        }
      }
    }),
  ];
  return {
    ...(set ? {set} : {}),
    ...(bundleBytes === undefined ? {} : {bundleBytes}),
    errors,
    warnings: set ? listWarnings(set) : [],
  };
}

function runChecks(given: CommandArguments): CheckReport {
  const [path] = given.positionals;
  const settingsPath = given.values.get('settings');
  const report = checkFileSet(path!, given.values.get('based-on'));
  const settingsErrors = listErrors(() => {
    if (settingsPath !== undefined) {
      loadSettings(settingsPath);
    }
  });
  return {...report, errors: [...report.errors, ...settingsErrors]};
}

function printReport(report: CheckReport): void {
  const {set, bundleBytes, errors, warnings} = report;
  printCheckErrors(errors);
  printCheckErrors(warnings, printLine, 'warning');
  if (set && errors.length === 0) {
    const {revision, digest} = set.version;
    printLine(
      `valid: revision ${revision}, digest ${digest}, ${bundleBytes} bytes`,
    );
  }
}

export const checkCommand: Command = {
  summary: 'Validate a file set and list every error.',
  details: [
    'DIR is a directory with the seven files of a set, or a bundle. Warnings',
    'point out likely mistakes; they do not change the exit code.',
  ],
  positionals: ['DIR'],
  options: {
    'based-on': {
      value: 'DIR',
      description: 'set in force that DIR must be a valid successor of',
    },
    settings: {
      value: 'FILE',
      description: 'also check the settings of a process',
    },
    json: {description: 'print JSON'},
  },
  run: async given => {
    const report = runChecks(given);
    const isValid = report.errors.length === 0;
    if (given.flags.has('json')) {
      const {set, ...otherFields} = report;
      printJson({valid: isValid, ...set?.version, ...otherFields});
    } else {
      printReport(report);
    }
    return isValid ? ExitCode.OK : ExitCode.INVALID;
  },
};
