/** Reads and parses request bodies within limits on size, time and depth. */
import type {IncomingMessage} from 'node:http';
import {
  RouterError,
  createByteBuffer,
  createReadPacer,
} from '@buckthornbeam/shared';
import type {RequestLimits} from '@buckthornbeam/config';
import type {RequestPermit} from './request_limiter.js';

/** Deeper nesting could overflow the stack of code that recurses into it. */
const MAXIMUM_JSON_DEPTH = 64;

const JSON_MEDIA_TYPE = /^application\/json\s*(;|$)/i;

const decoder = new TextDecoder('utf-8', {fatal: true});

function makeBodyTooLargeError(limits: RequestLimits): RouterError {
  return new RouterError(
    'body_too_large',
    `the body is larger than ${limits.maximumBodyBytes} bytes`,
  );
}

function makeBodyTimeoutError(limits: RequestLimits): RouterError {
  return new RouterError(
    'request_timeout',
    `the body did not arrive within ${limits.bodyTimeoutMs} ms`,
  );
}

function checkContentLength(
  request: IncomingMessage,
  limits: RequestLimits,
): void {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > limits.maximumBodyBytes) {
    throw makeBodyTooLargeError(limits);
  }
}

function checkContentEncoding(request: IncomingMessage): void {
  const encoding = request.headers['content-encoding'] ?? 'identity';
  if (encoding !== 'identity') {
    throw new RouterError(
      'unsupported_media_type',
      `the content encoding "${encoding}" is not supported`,
    );
  }
}

function readChunks(
  request: IncomingMessage,
  limits: RequestLimits,
  permit: RequestPermit,
): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const received = createByteBuffer({maximumBytes: limits.maximumBodyBytes});
    const pacer = createReadPacer(request);
    const timer = setTimeout(
      () => fail(makeBodyTimeoutError(limits)),
      limits.bodyTimeoutMs,
    );

    function removeListeners(): void {
      clearTimeout(timer);
      request.off('data', onData);
      request.off('end', onEnd);
      request.off('close', onClose);
    }

    function fail(error: RouterError): void {
      removeListeners();
      // Drains the rest of the body so that the caller can read the response.
      request.resume();
      reject(error);
    }

    function onData(chunk: Buffer): void {
      pacer.countPieces(1);
      try {
        if (!received.append(chunk)) {
          throw makeBodyTooLargeError(limits);
        }
        permit.addBytes(chunk.byteLength);
      } catch (error) {
        fail(error as RouterError);
      }
    }

    function onEnd(): void {
      removeListeners();
      resolve(received.takeAll());
    }

    function onClose(): void {
      fail(
        new RouterError(
          'cancelled',
          'the connection closed before the end of the body',
        ),
      );
    }

    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
    // `close` follows every error and reports it.
    request.on('error', () => undefined);
  });
}

/**
 * Reads a request body to its end.
 *
 * @throws RouterError `unsupported_media_type` for a content encoding,
 * `body_too_large`, `request_timeout`, `entry_full` when too many bytes are
 * buffered, or `cancelled` when the connection closes first
 */
export async function readBody(
  request: IncomingMessage,
  limits: RequestLimits,
  permit: RequestPermit,
): Promise<Uint8Array> {
  checkContentEncoding(request);
  checkContentLength(request, limits);
  return readChunks(request, limits, permit);
}

/**
 * Parses a body as a JSON object.
 *
 * @throws RouterError `unsupported_media_type` unless the content type is
 * application/json, `malformed_json`, or `invalid_request` if the value is not
 * an object or is nested too deeply
 */
export function parseJsonBody(
  contentType: string,
  body: Uint8Array,
): Record<string, unknown> {
  if (!JSON_MEDIA_TYPE.test(contentType)) {
    throw new RouterError(
      'unsupported_media_type',
      `expected application/json, not "${contentType}"`,
    );
  }
  const value = parseJson(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new RouterError('invalid_request', 'expected a JSON object');
  }
  checkJsonDepth(value);
  return value as Record<string, unknown>;
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(decoder.decode(body));
  } catch (error) {
    throw new RouterError('malformed_json', (error as Error).message);
  }
}

/** Walks the value breadth-first, so that deep nesting needs no stack. */
function checkJsonDepth(value: object): void {
  let level: object[] = [value];
  for (let depth = 1; level.length > 0; depth++) {
    if (depth > MAXIMUM_JSON_DEPTH) {
      throw new RouterError(
        'invalid_request',
        `JSON values may be nested at most ${MAXIMUM_JSON_DEPTH} levels deep`,
      );
    }
    level = level.flatMap(item =>
      Object.values(item).filter(
        child => child !== null && typeof child === 'object',
      ),
    );
  }
}
