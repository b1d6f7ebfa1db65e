/**
 * The limit of one backend server: slow start by completed work, additive
 * increase, multiplicative decrease, and a fall back to cold.
 */
import {loadChart} from '@buckthornbeam/shared';

const serverChart = loadChart(new URL('./charts/server.json', import.meta.url));

/** What happened at a backend server. */
export type LimitMessage =
  /** A whole answer; speeds in milliseconds for each token. */
  | {type: 'completed'; msPerToken: number; targetMsPerToken: number}
  /** The server broke an answer or could not be reached. */
  | {type: 'failed'}
  /** The server's own report. */
  | {type: 'report'; incarnation: string; completed: number}
  | {type: 'drain'}
  | {type: 'idle'}
  | {type: 'return'};

/** Options of {@link createServerLimit}. */
export interface ServerLimitOptions {
  /** Requests that the server bears just after a start. */
  startingRequests: number;
  /** Requests that it bears when warm. */
  maximumRequests: number;
}

/** The limit of one backend server. */
export interface ServerLimit {
  step(message: LimitMessage): void;
  /** State of the chart in charts/server.json. */
  readonly phase: string;
  /** Requests that may run at once; 0 unless in service. */
  readonly limit: number;
}

/** Rounds of completed starting work before the limit first grows. */
const HOLD_ROUNDS = 8;
/** Most rounds, after failures during warm-up. */
const MAXIMUM_HOLD_ROUNDS = 64;
const DECREASE_FACTOR = 0.8;

/** Creates the limit of a server that has just started. */
export function createServerLimit(options: ServerLimitOptions): ServerLimit {
  const {startingRequests, maximumRequests} = options;
  let phase = serverChart.initial;
  let limit = startingRequests;
  let slowStartBound = maximumRequests;
  let holdRounds = HOLD_ROUNDS;
  let completedCold = 0;
  let roundSize = 0;
  let roundSlow = 0;
  let lastReport: {incarnation: string; completed: number} | undefined;

  function applyEvent(event: string): void {
    phase = serverChart.step(phase, event);
  }

  function resetToCold(event: string): void {
    // Another failure before the limit was reached: wait longer next time.
    const isRepeated = phase === 'warming' && event === 'FAILED';
    applyEvent(event);
    holdRounds = isRepeated
      ? Math.min(MAXIMUM_HOLD_ROUNDS, holdRounds * 2)
      : holdRounds;
    limit = startingRequests;
    slowStartBound = maximumRequests;
    completedCold = 0;
    roundSize = 0;
    roundSlow = 0;
  }

  function applyDecrease(): void {
    limit = Math.max(startingRequests, Math.floor(limit * DECREASE_FACTOR));
    slowStartBound = limit;
    applyEvent('SLOWED');
  }

  function applyIncrease(): void {
    limit += limit < slowStartBound ? 1 : 1 / limit;
    if (limit >= maximumRequests) {
      limit = maximumRequests;
      holdRounds = HOLD_ROUNDS;
      applyEvent('FULL');
    }
  }

  /** Once a round, the limit falls if most answers were too slow. */
  function observeSpeed(isSlow: boolean): void {
    roundSize += 1;
    roundSlow += Number(isSlow);
    if (roundSize < limit) {
      return;
    }
    if (roundSlow * 2 > roundSize) {
      applyDecrease();
    }
    roundSize = 0;
    roundSlow = 0;
  }

  const completedByPhase: Record<string, (isSlow: boolean) => void> = {
    cold: () => {
      completedCold += 1;
      if (completedCold >= holdRounds * startingRequests) {
        applyEvent('STEADY');
      }
    },
    warming: isSlow => {
      if (!isSlow) {
        applyIncrease();
      }
      observeSpeed(isSlow);
    },
    serving: observeSpeed,
  };

  function isRestart(incarnation: string, completed: number): boolean {
    return (
      lastReport !== undefined &&
      (lastReport.incarnation !== incarnation ||
        completed < lastReport.completed)
    );
  }

  const handlers: {
    [T in LimitMessage['type']]: (
      message: Extract<LimitMessage, {type: T}>,
    ) => void;
  } = {
    completed: ({msPerToken, targetMsPerToken}) =>
      completedByPhase[phase]?.(msPerToken > targetMsPerToken),
    failed: () => resetToCold('FAILED'),
    report: ({incarnation, completed}) => {
      const isFirst = lastReport === undefined;
      if (isRestart(incarnation, completed)) {
        resetToCold('RESTARTED');
      }
      lastReport = {incarnation, completed};
      // The server did its starting work before this instance met it.
      const isWarm = completed >= HOLD_ROUNDS * startingRequests;
      if (isFirst && isWarm && phase === 'cold' && completedCold === 0) {
        limit = maximumRequests;
        applyEvent('WARM');
      }
    },
    drain: () => applyEvent('DRAIN'),
    idle: () => applyEvent('IDLE'),
    return: () => {
      if (phase !== 'draining' && phase !== 'out') {
        return;
      }
      resetToCold('RETURNED');
      // The next report tells whether the server is still warm.
      lastReport = undefined;
    },
  };

  return {
    step: message => handlers[message.type](message as never),
    get phase() {
      return phase;
    },
    get limit() {
      const isInService = phase !== 'draining' && phase !== 'out';
      return isInService ? Math.floor(limit) : 0;
    },
  };
}
