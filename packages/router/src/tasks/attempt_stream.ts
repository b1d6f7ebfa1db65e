/** One attempt as its entry sees it: chunks in order, or a typed failure. */
import {ConnectError} from '@connectrpc/connect';
import {ChunkVerdict, createChunkSequence} from '@buckthornbeam/decisions';
import type {ChunkSequence} from '@buckthornbeam/decisions';
import type {
  Chunk,
  DispatchEvent,
  DispatchRequest,
} from '@buckthornbeam/protocol';
import {Outcome, RouterError, isErrorCode} from '@buckthornbeam/shared';
import type {AnswerChunk} from './chat_request.js';

/** Options of {@link openAttemptStream}. */
export interface AttemptStreamOptions {
  request: DispatchRequest;
  /** Whether the model gives the same answer to the same prompt. */
  isDeterministic: boolean;
  /** The caller's signal. */
  signal: AbortSignal;
  /** Opens the stream at the owner of the backend server. */
  open: (
    request: DispatchRequest,
    signal: AbortSignal,
  ) => AsyncIterable<DispatchEvent>;
  /** Whether the owner that got the request is still the one to ask. */
  isOwnerCurrent: () => boolean;
}

/** Period in which a silent attempt is looked at, in milliseconds. */
const CHECK_MS = 500;

/** Silence of a started stream after which it is broken off. */
const STALL_MS = 10_000;

function makeTruncated(detail: string): RouterError {
  return new RouterError('answer_truncated', detail, {
    outcome: Outcome.UNKNOWN,
  });
}

function toFailure({
  code,
  detail,
  outcome,
  retryAfterMs,
}: {
  code: string;
  detail: string;
  outcome: string;
  retryAfterMs: number;
}): RouterError {
  return new RouterError(isErrorCode(code) ? code : 'internal', detail, {
    outcome: outcome as Outcome,
    ...(retryAfterMs > 0 ? {retryAfterMs} : {}),
  });
}

/** Failures of the connection to the owner; the owner may have dispatched. */
function toStreamError(error: unknown, reason: RouterError | undefined) {
  if (reason) {
    return reason;
  }
  return error instanceof ConnectError
    ? new RouterError('peer_unreachable', error.message, {
        outcome: Outcome.UNKNOWN,
      })
    : error;
}

const errors: Partial<Record<ChunkVerdict, () => RouterError>> = {
  [ChunkVerdict.GAP]: () => makeTruncated('a chunk is missing'),
  [ChunkVerdict.RESTARTED]: () =>
    new RouterError(
      'answer_not_resumable',
      'the engine began anew and the model is not deterministic',
      {outcome: Outcome.UNKNOWN},
    ),
};

function* relayChunk(
  sequence: ChunkSequence,
  {offset, tokens, data}: Chunk,
): Generator<AnswerChunk> {
  const verdict = sequence.accept(offset, tokens);
  const makeError = errors[verdict];
  if (makeError) {
    throw makeError();
  }
  if (verdict === ChunkVerdict.DELIVER) {
    yield {offset, tokens, data: Buffer.from(data).toString('utf8')};
  }
}

function checkTotal(sequence: ChunkSequence, totalTokens: number): void {
  if (totalTokens > sequence.getOffset()) {
    throw makeTruncated('chunks are missing before the terminator');
  }
}

/** Yields the chunks of one attempt; throws unless it completes. */
export async function* openAttemptStream(
  options: AttemptStreamOptions,
): AsyncGenerator<AnswerChunk> {
  const {request, signal, isOwnerCurrent} = options;
  const sequence = createChunkSequence({
    offset: request.resumeOffset,
    isDeterministic: options.isDeterministic,
  });
  const abort = new AbortController();
  const cancelAttempt = () => abort.abort();
  signal.addEventListener('abort', cancelAttempt);
  if (signal.aborted) {
    cancelAttempt();
  }
  let isWaiting = true;
  let hasStarted = false;
  let silentMs = 0;
  let reason: RouterError | undefined;

  /** Breaks off an attempt whose owner is silent for too long or is replaced. */
  function checkSilence(): void {
    silentMs = isWaiting ? silentMs + CHECK_MS : 0;
    const isStalled = hasStarted && silentMs >= STALL_MS;
    const isOrphaned = silentMs >= CHECK_MS * 2 && !isOwnerCurrent();
    if (isStalled || isOrphaned) {
      reason = makeTruncated(
        isStalled ? 'the stream stalled' : 'the owner is gone',
      );
      abort.abort();
    }
  }

  const timer = setInterval(checkSilence, CHECK_MS);
  try {
    for await (const {attemptId, event} of options.open(
      request,
      abort.signal,
    )) {
      silentMs = 0;
      if (attemptId !== request.attemptId) {
        continue;
      }
      if (event.case === 'failed') {
        throw toFailure(event.value);
      }
      if (event.case === 'completed') {
        checkTotal(sequence, event.value.totalTokens);
        return;
      }
      hasStarted = event.case !== 'queued';
      if (event.case === 'chunk') {
        isWaiting = false;
        yield* relayChunk(sequence, event.value);
        isWaiting = true;
      }
    }
    throw makeTruncated('the owner ended the stream');
  } catch (error) {
    throw toStreamError(error, reason);
  } finally {
    clearInterval(timer);
    signal.removeEventListener('abort', cancelAttempt);
    abort.abort();
  }
}
