/** Reads request bodies within bounds on size and time. */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';
import type {RequestLimits} from '@buckthornbeam/config';
import type {RequestPermit} from './request_gate.js';

/** Nesting of JSON values; deeper ones could exhaust the stack later on. */
const MAXIMUM_DEPTH = 64;

const MEDIA_TYPE = /^application\/json\s*(;|$)/i;

const decoder = new TextDecoder('utf-8', {fatal: true});

function makeTooLarge(limits: RequestLimits): RouterError {
  return new RouterError(
    'body_too_large',
    `the body is larger than ${limits.maximumBodyBytes} bytes`,
  );
}

function makeTooSlow(limits: RequestLimits): RouterError {
  return new RouterError(
    'request_timeout',
    `the body did not arrive within ${limits.bodyTimeoutMs} ms`,
  );
}

function checkAnnouncedSize(
  request: IncomingMessage,
  limits: RequestLimits,
): void {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > limits.maximumBodyBytes) {
    throw makeTooLarge(limits);
  }
}

function checkEncoding(request: IncomingMessage): void {
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
    const chunks: Uint8Array[] = [];
    let size = 0;
    const timer = setTimeout(
      () => fail(makeTooSlow(limits)),
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
      // What still comes is dropped, so that the response can be read.
      request.resume();
      reject(error);
    }

    function onData(chunk: Buffer): void {
      size += chunk.byteLength;
      if (size > limits.maximumBodyBytes) {
        fail(makeTooLarge(limits));
        return;
      }
      try {
        permit.takeBytes(chunk.byteLength);
        chunks.push(chunk);
      } catch (error) {
        fail(error as RouterError);
      }
    }

    function onEnd(): void {
      removeListeners();
      resolve(Buffer.concat(chunks));
    }

    function onClose(): void {
      fail(new RouterError('cancelled', 'the body ended before its length'));
    }

    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
    // A broken body is told by `close`.
    request.on('error', () => undefined);
  });
}

/** Reads a whole body; throws when it is too large or too slow. */
export async function readBody(
  request: IncomingMessage,
  limits: RequestLimits,
  permit: RequestPermit,
): Promise<Uint8Array> {
  checkEncoding(request);
  checkAnnouncedSize(request, limits);
  return readChunks(request, limits, permit);
}

/** Parses a JSON body whose content type has to say so. */
export function parseJsonBody(
  contentType: string,
  body: Uint8Array,
): Record<string, unknown> {
  if (!MEDIA_TYPE.test(contentType)) {
    throw new RouterError(
      'unsupported_media_type',
      `expected application/json, not "${contentType}"`,
    );
  }
  const value = parseJson(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new RouterError('invalid_request', 'expected one JSON object');
  }
  checkDepth(value);
  return value as Record<string, unknown>;
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(decoder.decode(body));
  } catch (error) {
    throw new RouterError('malformed_json', (error as Error).message);
  }
}

/** Walks a value level by level, so that depth costs no stack. */
function checkDepth(value: object): void {
  let level: object[] = [value];
  for (let depth = 1; level.length > 0; depth++) {
    if (depth > MAXIMUM_DEPTH) {
      throw new RouterError(
        'invalid_request',
        `JSON values may be nested ${MAXIMUM_DEPTH} deep`,
      );
    }
    level = level.flatMap(item =>
      Object.values(item).filter(
        child => child !== null && typeof child === 'object',
      ),
    );
  }
}
