/**
 * The entry's end of an attempt: turns the owner's dispatch events into ordered
 * chunks or a typed error.
 */
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
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /** Opens the stream at the owner of the backend server. */
  open: (
    request: DispatchRequest,
    signal: AbortSignal,
  ) => AsyncIterable<DispatchEvent>;
  /** Whether the instance that received the request still owns the server. */
  isOwnerCurrent: () => boolean;
}

const CHECK_INTERVAL_MS = 500;

/**
 * Time without an event from the owner after which a started stream is aborted.
 */
const STALL_TIMEOUT_MS = 10_000;

function makeTruncatedError(detail: string): RouterError {
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

/**
 * Returns the reason of a local abort, or maps a connection failure to
 * `peer_unreachable`. The outcome is unknown, since the owner may already have
 * dispatched the request.
 */
function toStreamError(error: unknown, abortReason: RouterError | undefined) {
  if (abortReason) {
    return abortReason;
  }
  return error instanceof ConnectError
    ? new RouterError('peer_unreachable', error.message, {
        outcome: Outcome.UNKNOWN,
      })
    : error;
}

const errorFactories: Partial<Record<ChunkVerdict, () => RouterError>> = {
  [ChunkVerdict.GAP]: () => makeTruncatedError('a chunk is missing'),
  [ChunkVerdict.RESTARTED]: () =>
    new RouterError(
      'answer_not_resumable',
      'the engine restarted the answer of a non-deterministic model',
      {outcome: Outcome.UNKNOWN},
    ),
};

function* relayChunk(
  sequence: ChunkSequence,
  {offset, tokens, data}: Chunk,
): Generator<AnswerChunk> {
  const verdict = sequence.accept(offset, tokens);
  const makeError = errorFactories[verdict];
  if (makeError) {
    throw makeError();
  }
  if (verdict === ChunkVerdict.DELIVER) {
    yield {offset, tokens, data: Buffer.from(data).toString('utf8')};
  }
}

function checkTotal(sequence: ChunkSequence, totalTokens: number): void {
  if (totalTokens > sequence.getOffset()) {
    throw makeTruncatedError('chunks are missing at the end of the answer');
  }
}

/**
 * Yields the chunks of one attempt in order. Throws a {@link RouterError} if
 * the attempt fails, stalls, ends early or loses its owner.
 */
export async function* openAttemptStream(
  options: AttemptStreamOptions,
): AsyncGenerator<AnswerChunk> {
  const {request, signal, isOwnerCurrent} = options;
  const sequence = createChunkSequence({
    offset: request.resumeOffset,
    isDeterministic: options.isDeterministic,
  });
  const abortController = new AbortController();
  const cancelAttempt = () => abortController.abort();
  signal.addEventListener('abort', cancelAttempt);
  if (signal.aborted) {
    cancelAttempt();
  }
  let isWaitingForOwner = true;
  let hasStarted = false;
  let idleMs = 0;
  let abortReason: RouterError | undefined;

  /** Aborts a stalled attempt, or an idle one whose owner has changed. */
  function checkIdleTime(): void {
    idleMs = isWaitingForOwner ? idleMs + CHECK_INTERVAL_MS : 0;
    const isStalled = hasStarted && idleMs >= STALL_TIMEOUT_MS;
    const isOrphaned = idleMs >= CHECK_INTERVAL_MS * 2 && !isOwnerCurrent();
    if (isStalled || isOrphaned) {
      abortReason = makeTruncatedError(
        isStalled
          ? 'the stream stalled'
          : 'the owner of the backend server changed',
      );
      abortController.abort();
    }
  }

  const timer = setInterval(checkIdleTime, CHECK_INTERVAL_MS);
  try {
    for await (const {attemptId, event} of options.open(
      request,
      abortController.signal,
    )) {
      idleMs = 0;
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
        isWaitingForOwner = false;
        yield* relayChunk(sequence, event.value);
        isWaitingForOwner = true;
      }
    }
    throw makeTruncatedError('the owner ended the stream early');
  } catch (error) {
    throw toStreamError(error, abortReason);
  } finally {
    clearInterval(timer);
    signal.removeEventListener('abort', cancelAttempt);
    abortController.abort();
  }
}
