/** Reads request bodies within bounds on size and time. */
import {RouterError} from '@buckthornbeam/shared';
import type {RequestLimits} from '@buckthornbeam/config';

async function readChunks(
  body: ReadableStream<Uint8Array>,
  maximumBytes: number,
  deadline: Promise<never>,
): Promise<Uint8Array> {
  const reader = body.getReader();
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for (;;) {
      const {done, value} = await Promise.race([reader.read(), deadline]);
      if (done) {
        return Buffer.concat(chunks);
      }
      size += value.byteLength;
      if (size > maximumBytes) {
        throw new RouterError(
          'body_too_large',
          `the body is larger than ${maximumBytes} bytes`,
        );
      }
      chunks.push(value);
    }
  } catch (error) {
    void reader.cancel().catch(() => undefined);
    throw error;
  }
}

/** Reads a whole body; throws when it is too large or too slow. */
export async function readBody(
  request: Request,
  limits: RequestLimits,
): Promise<Uint8Array> {
  if (!request.body) {
    return new Uint8Array();
  }
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () =>
        reject(
          new RouterError(
            'request_timeout',
            `the body did not arrive within ${limits.bodyTimeoutMs} ms`,
          ),
        ),
      limits.bodyTimeoutMs,
    );
  });
  try {
    return await readChunks(request.body, limits.maximumBodyBytes, deadline);
  } finally {
    clearTimeout(timer);
  }
}

/** Parses a JSON body whose content type has to say so. */
export function parseJsonBody(
  request: Request,
  body: Uint8Array,
): Record<string, unknown> {
  const type = request.headers.get('content-type') ?? '';
  if (!type.startsWith('application/json')) {
    throw new RouterError(
      'unsupported_media_type',
      `expected application/json, not "${type}"`,
    );
  }
  const value = parseJson(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new RouterError('invalid_request', 'expected one JSON object');
  }
  return value as Record<string, unknown>;
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (error) {
    throw new RouterError('malformed_json', (error as Error).message);
  }
}
