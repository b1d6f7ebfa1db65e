/** Checks header fields before they are passed on to a server or a caller. */
import {validateHeaderName, validateHeaderValue} from 'node:http';

/**
 * Checks whether `node:http` can write the fields. Its parser accepts more in some
 * versions: in Node.js 20.19.0 a name with a space, for which writing a head throws.
 * @param rawHeaders names and values in alternation
 */
export function canWriteHeaders(rawHeaders: readonly string[]): boolean {
  try {
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = rawHeaders[index]!;
      validateHeaderName(name);
      validateHeaderValue(name, rawHeaders[index + 1]!);
    }
    return true;
  } catch {
    return false;
  }
}
