/**
 * Frames requests to backend servers. The body of a request has the length that
 * is written here, whatever its method is and however its caller framed it: bytes
 * outside the framing would be read as the next request on the connection.
 */

/** Headers that frame a message, in lower case. */
const FRAMING_HEADERS = new Set([
  'content-length',
  'transfer-encoding',
  'trailer',
]);

/** Without a body, a request of another method states a length of 0. */
const METHODS_WITHOUT_EXPECTED_BODY = new Set([
  'GET',
  'HEAD',
  'DELETE',
  'OPTIONS',
  'TRACE',
]);

/**
 * Replaces the framing in the headers of a request by that of its body.
 * @param headers Names and values alternate.
 */
export function buildFramedHeaders(
  method: string,
  headers: readonly string[],
  bodyBytes: number,
): string[] {
  const framed: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (!FRAMING_HEADERS.has(headers[index]!.toLowerCase())) {
      framed.push(headers[index]!, headers[index + 1]!);
    }
  }
  if (bodyBytes > 0 || !METHODS_WITHOUT_EXPECTED_BODY.has(method)) {
    framed.push('Content-Length', String(bodyBytes));
  }
  return framed;
}
