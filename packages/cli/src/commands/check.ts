/** `buckthornbeam check`: checks a file set and, if named, settings. */
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

/** What a check found. */
interface CheckReport {
  set?: FileSet;
  bundleBytes?: number;
  errors: readonly CheckError[];
  warnings: readonly CheckError[];
}

/** Returns the errors of a step instead of throwing them. */
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
        const found = checkAgainstBase(set, readFileSet(basePath));
        if (found.length > 0) {
          throw new ConfigError('invalid_file_set', found);
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
  summary: 'Check a file set as a whole and list every error.',
  details: [
    'DIR holds the seven files of a set, or is a bundle. Warnings name what',
    'is likely not meant; they do not change the exit code.',
  ],
  positionals: ['DIR'],
  options: {
    'based-on': {
      value: 'DIR',
      description: 'set in force, which DIR has to follow',
    },
    settings: {value: 'FILE', description: 'check settings of a process too'},
    json: {description: 'print JSON'},
  },
  run: async given => {
    const report = runChecks(given);
    const isValid = report.errors.length === 0;
    if (given.flags.has('json')) {
      const {set, ...rest} = report;
      printJson({valid: isValid, ...set?.version, ...rest});
    } else {
      printReport(report);
    }
    return isValid ? ExitCode.OK : ExitCode.INVALID;
  },
};
