/** Runs one attempt at a backend server and emits its dispatch events. */
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {Outcome, RouterError, toRouterError} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {Channel} from '../channel.js';
import type {EngineClient} from '../engine_client.js';
import {makeEvent, makeFailure} from './dispatch_events.js';

/** A queued or running attempt. */
export interface Attempt {
  readonly request: DispatchRequest;
  readonly events: Channel<DispatchEvent>;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Aborted by the owner to preempt the attempt. */
  readonly preemption: AbortController;
  isRunning: boolean;
  /** Monotonic time at which it was queued, in milliseconds. */
  readonly queuedAt: number;
  /** Offset after the last token emitted, in tokens. */
  offset: number;
}

/** Result of an attempt; input to the server's limit, load and speed. */
export interface AttemptReport {
  /** Tokens emitted by this attempt. */
  outputTokens: number;
  /** Average time per token, in milliseconds; 0 if unknown. */
  msPerToken: number;
  /** Time from the dispatch to the first token; 0 if there was none. */
  firstTokenMs: number;
  isComplete: boolean;
  /**
   * The server was unreachable, refused the request or broke off the answer.
   */
  isServerFailure: boolean;
  /** The attempt was cancelled or preempted before it completed. */
  isAbandoned: boolean;
}

/** Options of {@link runAttempt}. */
export interface RunAttemptOptions {
  attempt: Attempt;
  engines: EngineClient;
  clock: Clock;
  /** `host:port` of the engine. */
  address: string;
  idleTimeoutMs: number;
}

/** Answers with fewer tokens are too short to measure the speed. */
const MINIMUM_SPEED_TOKENS = 4;

const SERVER_FAILURES = new Set([
  'server_unreachable',
  'server_refused',
  'answer_truncated',
]);

/** Measures the server's speed, excluding time blocked by a slow caller. */
function createSpeedMeter(clock: Clock) {
  let firstTokenAt: number | undefined;
  let lastTokenAt = 0;
  let blockedMs = 0;
  let tokens = 0;
  const startedAt = clock.now();
  return {
    observe(count: number): void {
      lastTokenAt = clock.now() - blockedMs;
      firstTokenAt ??= lastTokenAt;
      tokens += count;
    },
    async waitUnmeasured(delivery: Promise<void>): Promise<void> {
      const blockedSince = clock.now();
      await delivery;
      blockedMs += clock.now() - blockedSince;
    },
    computeFirstTokenMs(): number {
      return firstTokenAt === undefined ? 0 : firstTokenAt - startedAt;
    },
    computeMsPerToken(): number {
      const isKnown =
        firstTokenAt !== undefined && tokens >= MINIMUM_SPEED_TOKENS;
      return isKnown ? (lastTokenAt - firstTokenAt!) / (tokens - 1) : 0;
    },
  };
}

function toAttemptError(attempt: Attempt, error: unknown): RouterError {
  const outcome = Outcome.UNKNOWN;
  if (attempt.signal.aborted) {
    return new RouterError('cancelled', 'the caller disconnected', {outcome});
  }
  if (attempt.preemption.signal.aborted) {
    const detail = 'preempted by a request of a higher tier';
    return new RouterError('preempted', detail, {outcome});
  }
  return toRouterError(error);
}

/**
 * Streams the answer of one attempt into its event channel and ends the
 * channel. Failures become a `failed` event and part of the report; it does
 * not throw.
 */
export async function runAttempt(
  options: RunAttemptOptions,
): Promise<AttemptReport> {
  const {attempt, engines, clock} = options;
  const {request, events, signal, preemption} = attempt;
  const {attemptId} = request;
  const meter = createSpeedMeter(clock);
  const startOffset = attempt.offset;

  function makeReport(error?: RouterError): AttemptReport {
    const isAbandoned = signal.aborted || preemption.signal.aborted;
    const isFailure = error !== undefined && SERVER_FAILURES.has(error.code);
    return {
      outputTokens: attempt.offset - startOffset,
      msPerToken: meter.computeMsPerToken(),
      firstTokenMs: meter.computeFirstTokenMs(),
      isComplete: error === undefined,
      isServerFailure: isFailure && !isAbandoned,
      isAbandoned: error !== undefined && isAbandoned,
    };
  }

  try {
    await events.push(makeEvent(attemptId, 'started', {}));
    const answer = engines.streamAnswer({
      address: options.address,
      attemptId,
      requestId: request.requestId,
      tier: request.tier,
      resumeOffset: request.resumeOffset,
      body: request.body,
      signal: AbortSignal.any([signal, preemption.signal]),
      idleTimeoutMs: options.idleTimeoutMs,
    });
    for await (const {offset, tokens, data} of answer) {
      meter.observe(tokens);
      attempt.offset = offset + tokens;
      const chunk = {offset, tokens, data: Buffer.from(data)};
      await meter.waitUnmeasured(
        events.push(makeEvent(attemptId, 'chunk', chunk)),
      );
    }
    const totalTokens = attempt.offset;
    await events.push(makeEvent(attemptId, 'completed', {totalTokens}));
    return makeReport();
  } catch (caught) {
    const error = toAttemptError(attempt, caught);
    void events.push(makeFailure(attemptId, attempt.offset, error));
    return makeReport(error);
  } finally {
    events.end();
  }
}
