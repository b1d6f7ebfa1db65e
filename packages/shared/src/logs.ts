/** Structured logs: one line of `key=value` pairs per event. */
import loglevel from 'loglevel';

/** Levels in ascending severity. */
export const LogLevel = {
  DEBUG: 'debug',
  INFO: 'info',
  WARN: 'warn',
  ERROR: 'error',
  SILENT: 'silent',
} as const;

export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Value of a log field; fields with undefined values are omitted. */
export type LogValue = string | number | boolean | undefined;

/** Fields of a log line, written in insertion order. */
export type LogFields = Record<string, LogValue>;

export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Writes a change to the audit trail at any log level. */
  audit(change: string, fields?: LogFields): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  level?: LogLevel;
  /** Fields added to every line of this logger. */
  context?: LogFields;
  /** Receives each formatted line; writes to standard error by default. */
  write?: (line: string) => void;
}

const UNQUOTED_VALUE = /^[\w.:/@+-]+$/;

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Formats fields as `key=value` pairs; undefined fields are omitted. */
export function formatFields(fields: LogFields): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) {
      pairs.push(`${key}=${formatValue(value)}`);
    }
  }
  return pairs.join(' ');
}

const KEY_VALUE_PAIR = /([\w.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

function parseValue(text: string): string {
  if (!text.startsWith('"')) {
    return text;
  }
  try {
    return String(JSON.parse(text));
  } catch {
    return text;
  }
}

/** Parses the `key=value` pairs of a line and ignores other text. */
export function parseFields(line: string): Record<string, string> {
  const fields: Record<string, string> = {};
  for (const [, key, value] of line.matchAll(KEY_VALUE_PAIR)) {
    fields[key!] = parseValue(value!);
  }
  return fields;
}

let loggerCount = 0;

/** Creates a logger on top of loglevel. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const {level = LogLevel.INFO, context = {}} = options;
  const write =
    options.write ?? ((line: string) => process.stderr.write(`${line}\n`));
  // loglevel caches loggers by name; the counter makes each name unique.
  loggerCount += 1;
  const baseLogger = loglevel.getLogger(`buckthornbeam-${loggerCount}`);
  baseLogger.methodFactory = () => line => write(line);
  baseLogger.setLevel(level, false);

  function formatLine(severity: string, event: string, fields: LogFields) {
    const time = new Date().toISOString();
    return formatFields({time, level: severity, event, ...context, ...fields});
  }

  return {
    debug: (event, fields = {}) =>
      baseLogger.debug(formatLine('debug', event, fields)),
    info: (event, fields = {}) =>
      baseLogger.info(formatLine('info', event, fields)),
    warn: (event, fields = {}) =>
      baseLogger.warn(formatLine('warn', event, fields)),
    error: (event, fields = {}) =>
      baseLogger.error(formatLine('error', event, fields)),
    audit: (change, fields = {}) =>
      write(formatLine('audit', 'audit', {change, ...fields})),
  };
}
