/** Structured logs: one line of key=value pairs for each event. */
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

/** Values that a log line can hold. */
export type LogValue = string | number | boolean | undefined;

/** Fields of a log line, in the order in which they are written. */
export type LogFields = Record<string, LogValue>;

/** Writes log events. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Writes a change to the audit trail, whatever the level. */
  audit(change: string, fields?: LogFields): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  level?: LogLevel;
  /** Fields that every line of this logger carries. */
  context?: LogFields;
  /** Takes finished lines; standard error by default. */
  write?: (line: string) => void;
}

const PLAIN_VALUE = /^[\w.:/@+-]+$/;

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Formats fields as `key=value` pairs; undefined fields are left out. */
export function formatFields(fields: LogFields): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) {
      pairs.push(`${key}=${formatValue(value)}`);
    }
  }
  return pairs.join(' ');
}

const PAIR = /([\w.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

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

/** Parses the `key=value` pairs of a line; other text is left out. */
export function parseFields(line: string): Record<string, string> {
  const fields: Record<string, string> = {};
  for (const [, key, value] of line.matchAll(PAIR)) {
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
  // loglevel keeps loggers by name; a counter keeps instances apart.
  loggerCount += 1;
  const backing = loglevel.getLogger(`buckthornbeam-${loggerCount}`);
  backing.methodFactory = () => line => write(line);
  backing.setLevel(level, false);

  function formatLine(severity: string, event: string, fields: LogFields) {
    const time = new Date().toISOString();
    return formatFields({time, level: severity, event, ...context, ...fields});
  }

  return {
    debug: (event, fields = {}) =>
      backing.debug(formatLine('debug', event, fields)),
    info: (event, fields = {}) =>
      backing.info(formatLine('info', event, fields)),
    warn: (event, fields = {}) =>
      backing.warn(formatLine('warn', event, fields)),
    error: (event, fields = {}) =>
      backing.error(formatLine('error', event, fields)),
    audit: (change, fields = {}) =>
      write(formatLine('audit', 'audit', {change, ...fields})),
  };
}
