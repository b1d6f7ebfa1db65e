/** Reads for how long a server asks to be sent nothing. */
import type {IncomingHttpHeaders} from 'node:http';

const STATUS_SERVICE_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;

/** Parses decimal numbers, which may be joined by commas; undefined if one is not. */
export function parseDecimals(value: string | string[]): number[] | undefined {
  const items = [value].flat().flatMap(text => text.split(','));
  const texts = items.map(item => item.trim());
  return texts.every(text => DECIMAL_NUMBER.test(text))
    ? texts.map(Number)
    : undefined;
}

/**
 * Reads `Retry-After` of a 503, in milliseconds; the longest of several values.
 * Dates state nothing, since clocks of machines differ.
 */
export function readPauseMs(
  status: number,
  headers: IncomingHttpHeaders,
): number | undefined {
  const value: string | string[] | undefined = headers['retry-after'];
  const seconds =
    status === STATUS_SERVICE_UNAVAILABLE && value !== undefined
      ? parseDecimals(value)
      : undefined;
  return seconds && Math.max(...seconds) * MS_PER_SECOND;
}
