/**
 * Concurrency limit of one backend server. It starts low while the server is
 * cold, grows with completed requests (slow start, then additive increase),
 * decreases multiplicatively if answers are slow, and is reset after a failure
 * or a restart of the server.
 */
import {loadChart} from '@buckthornbeam/shared';

const serverChart = loadChart(new URL('./charts/server.json', import.meta.url));

/** Events at a backend server. */
export type LimitMessage =
  /** A complete answer, with its actual and target time per token. */
  | {type: 'completed'; msPerToken: number; targetMsPerToken: number}
  /** The server broke off an answer or was unreachable. */
  | {type: 'failed'}
  /**
   * A status report of the server; `completed` counts requests since its start.
   */
  | {type: 'report'; incarnation: string; completed: number}
  | {type: 'drain'}
  | {type: 'idle'}
  | {type: 'return'};

/** Options of {@link createServerLimit}. */
export interface ServerLimitOptions {
  /** Concurrency limit just after a start of the server. */
  startingRequests: number;
  /** Concurrency limit of the warm server. */
  maximumRequests: number;
}

export interface ServerLimit {
  step(message: LimitMessage): void;
  /** Current state of the state chart in charts/server.json. */
  readonly phase: string;
  /** Maximum number of concurrent requests; 0 while draining or out. */
  readonly limit: number;
}

/**
 * Rounds of `startingRequests` completed requests before the limit first grows.
 */
const HOLD_ROUNDS = 8;
/**
 * Upper bound of these rounds, which double with each failure during warm-up.
 */
const MAXIMUM_HOLD_ROUNDS = 64;
const DECREASE_RATIO = 0.8;

export function createServerLimit(options: ServerLimitOptions): ServerLimit {
  const {startingRequests, maximumRequests} = options;
  let phase = serverChart.initial;
  let limit = startingRequests;
  let slowStartThreshold = maximumRequests;
  let holdRounds = HOLD_ROUNDS;
  let completedCold = 0;
  let answersInRound = 0;
  let slowAnswersInRound = 0;
  let lastReport: {incarnation: string; completed: number} | undefined;

  function applyEvent(event: string): void {
    phase = serverChart.step(phase, event);
  }

  function resetToCold(event: string): void {
    // A failure before the maximum was reached: hold the cold limit longer.
    const isRepeated = phase === 'warming' && event === 'FAILED';
    applyEvent(event);
    holdRounds = isRepeated
      ? Math.min(MAXIMUM_HOLD_ROUNDS, holdRounds * 2)
      : holdRounds;
    limit = startingRequests;
    slowStartThreshold = maximumRequests;
    completedCold = 0;
    answersInRound = 0;
    slowAnswersInRound = 0;
  }

  function applyDecrease(): void {
    limit = Math.max(startingRequests, Math.floor(limit * DECREASE_RATIO));
    slowStartThreshold = limit;
    applyEvent('SLOWED');
  }

  function applyIncrease(): void {
    limit += limit < slowStartThreshold ? 1 : 1 / limit;
    if (limit >= maximumRequests) {
      limit = maximumRequests;
      holdRounds = HOLD_ROUNDS;
      applyEvent('FULL');
    }
  }

  /**
   * Decreases the limit if more than half of the answers in a round were slow.
   * A round has as many answers as the limit.
   */
  function observeSpeed(isSlow: boolean): void {
    answersInRound += 1;
    slowAnswersInRound += Number(isSlow);
    if (answersInRound < limit) {
      return;
    }
    if (slowAnswersInRound * 2 > answersInRound) {
      applyDecrease();
    }
    answersInRound = 0;
    slowAnswersInRound = 0;
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
      // The server had warmed up before this instance first observed it.
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
      // The next report counts as the first and shows if the server is warm.
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
