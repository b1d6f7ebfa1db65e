/** Runs a planned stop: requests drain, then all that is left is ended in time. */
import {waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {CallerServer} from '../http/caller_server.js';
import type {LogWriter} from '../log_writer.js';
import type {PauseDetector} from '../state/pause_detector.js';
import {computeStopTimes} from './stop_times.js';

export interface PlannedStopOptions {
  /** Time between the stop signal and the kill. */
  graceMs: number;
  callerServer: Omit<CallerServer, 'start' | 'stop'>;
  pauses: Pick<PauseDetector, 'checkPause' | 'computeWaitedMs'>;
  /** Makes the instance known as leaving. */
  announce: () => void;
  closeAll: () => void;
  logWriter: Pick<LogWriter, 'flush'>;
  clock: Clock;
  logger: Logger;
}

export interface PlannedStop {
  /** Resolves before the kill, to whether all log lines are written. */
  run(): Promise<boolean>;
  /** Time since the stop signal, in milliseconds; 0 without one. */
  computeDuration(): number;
}

const DRAIN_POLL_INTERVAL_MS = 50;
/** Shortest time for last answers and for log lines, also of a stop that begins late. */
const SHORTEST_STEP_MS = 100;

export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
  const {graceMs, callerServer, pauses, clock, logger} = options;
  let signalledAt: number | undefined;

  /** Timers of consecutive waits would add up their delays, so a step has a fixed time. */
  async function waitUntil(at: number): Promise<void> {
    await waitFor(Math.max(0, at - clock.now()));
  }

  async function waitForRequests(computeEnd: () => number): Promise<void> {
    while (callerServer.countOpen() > 0 && clock.now() < computeEnd()) {
      await waitFor(DRAIN_POLL_INTERVAL_MS);
    }
  }

  /** Writes the log; the process cannot wait for a reader that has stopped reading. */
  async function flushLog(exitAt: number): Promise<boolean> {
    const timeLimit = new AbortController();
    const isWritten = await Promise.race([
      options.logWriter.flush().then(() => true),
      waitFor(
        Math.max(SHORTEST_STEP_MS, exitAt - clock.now()),
        timeLimit.signal,
      ).then(() => false),
    ]);
    timeLimit.abort();
    return isWritten;
  }

  async function run(): Promise<boolean> {
    // The signal may have waited for as long as the event loop did.
    pauses.checkPause();
    const delayMs = pauses.computeWaitedMs();
    const sentAt = clock.now() - delayMs;
    signalledAt = sentAt;
    const openAtSignal = callerServer.countOpen();
    const computeTimes = () =>
      computeStopTimes({
        signalledAt: sentAt,
        graceMs,
        openRequests: callerServer.countOpen(),
      });
    const times = computeTimes();
    callerServer.beginDrain(times.requestsEndAt);
    options.announce();
    logger.info('stopping', {
      open: openAtSignal,
      delayMs: Math.round(delayMs),
    });
    await waitUntil(times.closeIdleAt);
    callerServer.closeIdleConnections();
    await waitUntil(times.refuseAt);
    // Requests that were accepted since then take time to be ended, too.
    callerServer.beginDrain(computeTimes().requestsEndAt);
    callerServer.refuseNewRequests();
    callerServer.closeIdleConnections();
    await waitForRequests(() => computeTimes().requestsEndAt);
    const interrupted = callerServer.countOpen();
    const connections = callerServer.countConnections();
    const {answersEndAt, exitAt} = computeTimes();
    const phases = callerServer.endOpenRequests();
    const lastAnswersEndAt = Math.max(
      answersEndAt,
      clock.now() + SHORTEST_STEP_MS,
    );
    await waitForRequests(() => lastAnswersEndAt);
    logger.info('stopped', {
      interrupted,
      ...phases,
      open: callerServer.countOpen(),
      connections,
      tookMs: Math.round(clock.now() - sentAt),
      leftMs: Math.round(sentAt + graceMs - clock.now()),
    });
    options.closeAll();
    return flushLog(exitAt);
  }

  return {
    run,
    computeDuration: () =>
      signalledAt === undefined ? 0 : clock.now() - signalledAt,
  };
}
