/**
 * Events of a run, recorded by callers, engines and plain services. Times are in
 * milliseconds of `performance.now()`.
 */
import type {EngineEvent} from '../engine/engine.js';

export interface EngineRecord extends EngineEvent {
  type: 'engine';
  serverId: string;
  at: number;
}

/** Start of the execution of a call at a plain service. */
export interface ExecutionRecord {
  type: 'execution';
  reference: string;
  at: number;
}

/** One HTTP call of a caller, recorded when it has ended. */
export interface CallRecord {
  type: 'call';
  kind: 'chat' | 'service';
  requestId: string;
  /** Prompt of a chat, or idempotency key of a plain-service call. */
  reference: string;
  className: string;
  tier: number;
  entryId: string;
  sentAt: number;
  at: number;
  /** Time of the first token; undefined if none came. */
  firstTokenAt?: number;
  /** HTTP status; 0 without a response. */
  status: number;
  code: string;
  outcome: string;
  resumeOffset: number;
  /** Highest offset that the caller received, in tokens. */
  offset: number;
  text: string;
  /** A chat: `[DONE]` was received; a service call: the whole body was. */
  terminated: boolean;
  /** Error code of a failed connection; empty otherwise. */
  failure: string;
}

/** Outcome of a chat for its caller, over all calls that it needed. */
export interface AnswerRecord {
  type: 'answer';
  requestId: string;
  className: string;
  startedAt: number;
  at: number;
  firstTokenAt?: number;
  text: string;
  expected: string;
  isWhole: boolean;
}

/** An action of the test itself, such as a publication. */
export interface MarkRecord {
  type: 'mark';
  name: string;
  /** Id or name of the object of the action. */
  subject: string;
  at: number;
}

/** Whether the file set of an entry contains a class, as the entry reports it. */
export interface ConfigRecord {
  type: 'config';
  entryId: string;
  className: string;
  isKnown: boolean;
  at: number;
}

export type HistoryRecord =
  | EngineRecord
  | ExecutionRecord
  | CallRecord
  | AnswerRecord
  | MarkRecord
  | ConfigRecord;

type Draft<T> = T extends HistoryRecord ? Omit<T, 'at'> : never;

/** All records of one run, in the order in which they were made. */
export interface RunHistory {
  record(draft: Draft<HistoryRecord>): void;
  list<T extends HistoryRecord['type']>(
    type: T,
  ): Array<Extract<HistoryRecord, {type: T}>>;
  /** Waits for the next matching record; undefined after the timeout. */
  waitForRecord<T extends HistoryRecord['type']>(
    type: T,
    check: (record: Extract<HistoryRecord, {type: T}>) => boolean,
    timeoutMs: number,
  ): Promise<Extract<HistoryRecord, {type: T}> | undefined>;
}

export function createRunHistory(): RunHistory {
  const records: HistoryRecord[] = [];
  const listeners = new Set<(record: HistoryRecord) => void>();

  return {
    record: draft => {
      const record = {...draft, at: performance.now()} as HistoryRecord;
      records.push(record);
      for (const notify of listeners) {
        notify(record);
      }
    },
    list: type => records.filter(record => record.type === type) as never,
    waitForRecord: (type, check, timeoutMs) =>
      new Promise(resolve => {
        const timer = setTimeout(() => settle(undefined), timeoutMs);
        function settle(record: unknown): void {
          clearTimeout(timer);
          listeners.delete(handleRecord);
          resolve(record as never);
        }
        function handleRecord(record: HistoryRecord): void {
          if (record.type === type && check(record as never)) {
            settle(record);
          }
        }
        listeners.add(handleRecord);
      }),
  };
}
