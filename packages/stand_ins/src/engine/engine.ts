/**
 * Stand-in for a model engine: continuous batching with a token rate that
 * decreases with load, request priorities, cancellation, resumption from an
 * offset, and a cold start during which too many requests crash it.
 */
import {H3} from 'h3';
import {serveApp} from '../http_server.js';
import {makeToken, planAnswer} from './answer_text.js';
import type {AnswerPlan} from './answer_text.js';
import {createLoadHistory} from './load_history.js';

export const EngineEventKind = {
  ARRIVED: 'arrived',
  FIRST_TOKEN: 'first_token',
  /** The stream reached the offset set by `setHold`. */
  HELD: 'held',
  FINISHED: 'finished',
  CANCELLED: 'cancelled',
  /** More than `coldRequests` ran on a cold engine, which broke all streams. */
  CRASHED: 'fell',
} as const;
export type EngineEventKind =
  (typeof EngineEventKind)[keyof typeof EngineEventKind];

export interface EngineEvent {
  kind: EngineEventKind;
  requestId: string;
  attemptId: string;
  tier: number;
  /** Offset of the next token. */
  offset: number;
  /** Requests running or waiting at the engine, this one included until it ends. */
  running: number;
  isCold: boolean;
}

/** Options of {@link startEngine}. */
export interface EngineOptions {
  port?: number;
  /** Token rate of a stream on an otherwise idle engine. */
  tokensPerSecond?: number;
  /** Number of running requests at which the rate of each stream has halved. */
  halfRateRequests?: number;
  /** Requests that a warm engine runs concurrently; further ones wait. */
  maximumRequests?: number;
  /** Requests that a cold engine runs concurrently without crashing. */
  coldRequests?: number;
  /** Completed requests after which the engine is warm. */
  warmAfterRequests?: number;
  /** Time from the start of a request to its first token. */
  prefillMs?: number;
  /** Starts with enough completed requests to count as warm. */
  startsWarm?: boolean;
  /** Minimum age of load reports. */
  loadLagMs?: number;
  /** Called with the events of all generations. */
  onEvent?: (event: EngineEvent) => void;
}

export interface EngineStandIn {
  readonly address: string;
  countRunning(): number;
  /** Returns the largest number of concurrently running requests so far. */
  getPeakRunning(): number;
  /** Counts crashes under too many requests while cold. */
  countCrashes(): number;
  /** Counts received requests, including unfinished ones. */
  countRequests(): number;
  countTokens(): number;
  /** Makes the engine cold; also fails its streams if `breakStreams` is set. */
  restart(breakStreams: boolean): void;
  /**
   * Pauses streams before the token at this offset; null resumes them. Only
   * requests whose id begins with the prefix are paused.
   */
  setHold(offset: number | null, requestPrefix?: string): void;
  /** Sets the number of completed requests; 0 makes the engine cold. */
  setCompleted(count: number): void;
  /** Overrides the completed requests in load reports; null ends the override. */
  setReportedCompleted(count: number | null): void;
  /** Changes the token rate of an otherwise idle engine. */
  setSpeed(tokensPerSecond: number): void;
  close(): Promise<void>;
}

interface Stream {
  requestId: string;
  attemptId: string;
  plan: AnswerPlan;
  /** Offset of the next token. */
  offset: number;
  /** Accrued tokens that are not yet sent, with a fraction. */
  dueTokens: number;
  /** Time at which the prefill ends and the first token may follow. */
  startsAt: number;
  priority: number;
  controller: ReadableStreamDefaultController<Uint8Array>;
}

const defaults = {
  tokensPerSecond: 100,
  halfRateRequests: 16,
  maximumRequests: 32,
  coldRequests: 4,
  warmAfterRequests: 20,
  prefillMs: 20,
  startsWarm: false,
  loadLagMs: 0,
  onEvent: () => {},
};

/** Completed requests of an engine that starts warm. */
const WARM_COMPLETED = 1000;
const TICK_MS = 5;
const DEFAULT_ANSWER_TOKENS = 64;
const encoder = new TextEncoder();

/** Starts an engine on loopback; rejects when the port is taken. */
export async function startEngine(
  options: EngineOptions = {},
): Promise<EngineStandIn> {
  const settings = {...defaults, ...options};
  const running = new Set<Stream>();
  const waiting: Stream[] = [];
  const heldStreams = new WeakSet<Stream>();
  let completed = settings.startsWarm ? WARM_COMPLETED : 0;
  let crashes = 0;
  let requests = 0;
  let tokens = 0;
  let peakRunning = 0;
  let lastTickAt = performance.now();
  let holdOffset: number | null = null;
  let holdPrefix = '';
  let reportedCompleted: number | null = null;
  let baseTokensPerSecond = settings.tokensPerSecond;
  let startedAt = performance.now();
  const loadHistory = createLoadHistory(settings.loadLagMs);

  function reportEvent(kind: EngineEventKind, stream: Stream): void {
    const {requestId, attemptId, priority: tier, offset} = stream;
    settings.onEvent({
      kind,
      requestId,
      attemptId,
      tier,
      offset,
      running: running.size + waiting.length,
      isCold: isCold(),
    });
  }

  function isCold(): boolean {
    return completed < settings.warmAfterRequests;
  }

  function startWaitingStreams(): void {
    waiting.sort((a, b) => a.priority - b.priority);
    while (running.size < settings.maximumRequests && waiting.length > 0) {
      const stream = waiting.shift()!;
      stream.startsAt = performance.now() + settings.prefillMs;
      running.add(stream);
      peakRunning = Math.max(peakRunning, running.size);
    }
    if (isCold() && running.size > settings.coldRequests) {
      crashes += 1;
      reportEvent(EngineEventKind.CRASHED, [...running][0]!);
      breakStreams();
    }
  }

  function breakStreams(): void {
    completed = 0;
    for (const stream of [...running, ...waiting.splice(0)]) {
      stream.controller.error(new DOMException('the engine crashed'));
    }
    running.clear();
  }

  function encodeToken(stream: Stream): Uint8Array {
    const content = makeToken(stream.plan, stream.offset);
    const isLast = stream.offset + 1 >= stream.plan.totalTokens;
    const event = {
      id: stream.requestId,
      object: 'chat.completion.chunk',
      offset: stream.offset,
      tokens: 1,
      choices: [
        {index: 0, delta: {content}, finish_reason: isLast ? 'stop' : null},
      ],
    };
    return encoder.encode(`data: ${JSON.stringify(event)}\n\n`);
  }

  function finishStream(stream: Stream): void {
    running.delete(stream);
    completed += 1;
    reportEvent(EngineEventKind.FINISHED, stream);
    stream.controller.enqueue(encoder.encode('data: [DONE]\n\n'));
    stream.controller.close();
  }

  function isHeld(stream: Stream): boolean {
    return (
      stream.offset === holdOffset && stream.requestId.startsWith(holdPrefix)
    );
  }

  function reportHeld(stream: Stream): void {
    if (!heldStreams.has(stream)) {
      heldStreams.add(stream);
      reportEvent(EngineEventKind.HELD, stream);
    }
  }

  function advanceStream(stream: Stream, accruedTokens: number): void {
    stream.dueTokens += accruedTokens;
    while (stream.dueTokens >= 1 && stream.offset < stream.plan.totalTokens) {
      if (isHeld(stream)) {
        stream.dueTokens = 0;
        reportHeld(stream);
        return;
      }
      stream.controller.enqueue(encodeToken(stream));
      stream.offset += 1;
      if (stream.offset === 1) {
        reportEvent(EngineEventKind.FIRST_TOKEN, stream);
      }
      stream.dueTokens -= 1;
      tokens += 1;
    }
    if (stream.offset >= stream.plan.totalTokens) {
      finishStream(stream);
    }
  }

  function runTick(): void {
    const now = performance.now();
    const elapsedMs = now - lastTickAt;
    lastTickAt = now;
    const slowdown = 1 + running.size / settings.halfRateRequests;
    const accruedTokens = (elapsedMs * baseTokensPerSecond) / 1000 / slowdown;
    for (const stream of running) {
      if (now >= stream.startsAt) {
        advanceStream(stream, accruedTokens);
      }
    }
    startWaitingStreams();
    recordLoad(now);
  }

  function recordLoad(now: number): void {
    loadHistory.record(now, {
      running: running.size,
      waiting: waiting.length,
      completed: reportedCompleted ?? completed,
      tokens,
      startedAt,
    });
  }

  function removeStream(stream: Stream): void {
    running.delete(stream);
    const index = waiting.indexOf(stream);
    if (index >= 0) {
      waiting.splice(index, 1);
    }
  }

  const app = new H3({silent: true});
  app.post('/v1/chat/completions', async event => {
    const body = (await event.req.json()) as {
      messages: unknown;
      max_tokens?: number;
    };
    requests += 1;
    const plan = planAnswer(
      body.messages,
      body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
    );
    let stream: Stream | undefined;
    const answer = new ReadableStream<Uint8Array>({
      start(controller) {
        stream = {
          requestId: event.req.headers.get('x-request-id') ?? '',
          attemptId: event.req.headers.get('x-attempt-id') ?? '',
          plan,
          offset: Number(event.req.headers.get('x-resume-offset') ?? 0),
          dueTokens: 0,
          startsAt: 0,
          priority: Number(event.req.headers.get('x-priority') ?? 1),
          controller,
        };
        waiting.push(stream);
        reportEvent(EngineEventKind.ARRIVED, stream);
        startWaitingStreams();
      },
      cancel() {
        removeStream(stream!);
        reportEvent(EngineEventKind.CANCELLED, stream!);
      },
    });
    return new Response(answer, {
      headers: {
        'content-type': 'text/event-stream',
        'x-attempt-id': event.req.headers.get('x-attempt-id') ?? '',
      },
    });
  });
  app.get('/load', () => loadHistory.get(performance.now()));

  recordLoad(startedAt);
  const timer = setInterval(runTick, TICK_MS);
  const server = await serveApp(app, settings.port);
  return {
    address: server.address,
    countRunning: () => running.size,
    getPeakRunning: () => peakRunning,
    countCrashes: () => crashes,
    countRequests: () => requests,
    countTokens: () => tokens,
    restart: shouldBreak => {
      completed = 0;
      startedAt = performance.now();
      if (shouldBreak) {
        breakStreams();
      }
    },
    setHold: (offset, requestPrefix = '') => {
      holdOffset = offset;
      holdPrefix = requestPrefix;
    },
    setCompleted: count => {
      completed = count;
    },
    setReportedCompleted: count => {
      reportedCompleted = count;
    },
    setSpeed: tokensPerSecond => {
      baseTokensPerSecond = tokensPerSecond;
    },
    close: () => {
      clearInterval(timer);
      return server.close();
    },
  };
}
