/** JSON responses with a content length, so that they are not sent chunked. */

/** Options of {@link createJsonResponse}. */
export interface JsonResponseOptions {
  status?: number;
  contentType?: string;
  headers?: Record<string, string>;
}

export function createJsonResponse(
  value: unknown,
  options: JsonResponseOptions = {},
): Response {
  const {status = 200, contentType = 'application/json', headers} = options;
  const body = Buffer.from(JSON.stringify(value));
  return new Response(body, {
    status,
    headers: {
      'content-type': contentType,
      'content-length': String(body.byteLength),
      ...headers,
    },
  });
}
