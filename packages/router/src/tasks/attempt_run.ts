/** One attempt at a backend server, from its dispatch to its last event. */
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {Outcome, RouterError, toRouterError} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {Channel} from '../channel.js';
import type {EngineClient} from '../engine_client.js';
import {makeEvent, makeFailure} from './dispatch_events.js';

/** An attempt that waits in a queue or runs. */
export interface Attempt {
  readonly request: DispatchRequest;
  readonly events: Channel<DispatchEvent>;
  /** The caller's signal. */
  readonly signal: AbortSignal;
  /** Stops the attempt on behalf of its owner. */
  readonly preemption: AbortController;
  isRunning: boolean;
  /** Monotonic time at which it was queued, in milliseconds. */
  readonly queuedAt: number;
  /** Offset behind the last token that was passed on. */
  offset: number;
}

/** How an attempt went, for the limit and the accounts of its server. */
export interface AttemptReport {
  /** Tokens of the answer that were passed on. */
  outputTokens: number;
  /** Speed of the server in milliseconds for each token; 0 if unknown. */
  msPerToken: number;
  /** Time from the dispatch to the first token; 0 without one. */
  firstTokenMs: number;
  isComplete: boolean;
  /** The server broke the answer or could not be reached. */
  isServerFailure: boolean;
  /** The stream was given up while the server worked on it. */
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

/** Answers with fewer tokens say nothing about speed. */
const MINIMUM_SPEED_TOKENS = 4;

const SERVER_FAILURES = new Set([
  'server_unreachable',
  'server_refused',
  'answer_truncated',
]);

/** Measures the server's speed without the time that a slow caller takes. */
function createSpeedMeter(clock: Clock) {
  let firstAt: number | undefined;
  let lastAt = 0;
  let blockedMs = 0;
  let tokens = 0;
  const startedAt = clock.now();
  return {
    observe(count: number): void {
      lastAt = clock.now() - blockedMs;
      firstAt ??= lastAt;
      tokens += count;
    },
    async waitUnmeasured(work: Promise<void>): Promise<void> {
      const startedAt = clock.now();
      await work;
      blockedMs += clock.now() - startedAt;
    },
    computeFirstTokenMs(): number {
      return firstAt === undefined ? 0 : firstAt - startedAt;
    },
    computeMsPerToken(): number {
      const isKnown = firstAt !== undefined && tokens >= MINIMUM_SPEED_TOKENS;
      return isKnown ? (lastAt - firstAt!) / (tokens - 1) : 0;
    },
  };
}

function toAttemptError(attempt: Attempt, error: unknown): RouterError {
  const outcome = Outcome.UNKNOWN;
  if (attempt.signal.aborted) {
    return new RouterError('cancelled', 'the caller left', {outcome});
  }
  if (attempt.preemption.signal.aborted) {
    const detail = 'a higher tier needed the place';
    return new RouterError('preempted', detail, {outcome});
  }
  return toRouterError(error);
}

/** Runs an attempt and pushes all of its events. */
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
