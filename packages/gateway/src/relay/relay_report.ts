/** Outcome of a relayed request, for the log and metrics. */
import type {EnginePlacement} from '@buckthornbeam/decisions';
import type {RouterError} from '@buckthornbeam/shared';
import type {AdmissionReason, AdmissionResult} from './admission_reason.js';

export interface RelayReport {
  /** Ids of the servers of all attempts, in order. */
  servers: string[];
  /** Reason at the end of each attempt, in order. */
  reasons: string[];
  /** Times at which the attempts were sent, in milliseconds after the arrival. */
  sentMs: number[];
  /** Connections of the attempts, in order; `-` for an attempt without one. */
  connections: string[];
  /** Placement of the last attempt, if it was a generation. */
  placement: EnginePlacement | undefined;
  /** Whether servers were left out for a limit or a pause that they stated. */
  isDiverted: boolean;
  /** Age of the load reports at the last choice of a server, in milliseconds. */
  loadAgeMs?: number | undefined;
  /** Whether it was refused since its customer was over its share. */
  isOverShare?: boolean;
  /** Time until the first event or the complete answer, in milliseconds. */
  firstByteMs: number | undefined;
  /** Time spent waiting for servers by urgency, in milliseconds. */
  waitedMs?: number;
  /** What the last of these waits was for. */
  waitReason?: AdmissionReason;
  error: RouterError | undefined;
}

export function createRelayReport(): RelayReport {
  return {
    servers: [],
    reasons: [],
    sentMs: [],
    connections: [],
    placement: undefined,
    isDiverted: false,
    firstByteMs: undefined,
    error: undefined,
  };
}

/** Adds one wait for a server. */
export function addWait(
  report: RelayReport,
  {waitedMs, reason}: AdmissionResult,
): void {
  report.waitedMs = (report.waitedMs ?? 0) + waitedMs;
  report.waitReason = reason;
}
