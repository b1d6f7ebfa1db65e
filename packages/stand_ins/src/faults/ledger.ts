/** What callers, engines and plain services saw, with the time of each event. */
import type {EngineEvent} from '../engine/engine.js';

/** An event of an engine, with its server and time. */
export interface EngineRecord extends EngineEvent {
  type: 'engine';
  serverId: string;
  at: number;
}

/** A plain service began to execute a call. */
export interface ExecutionRecord {
  type: 'execution';
  reference: string;
  at: number;
}

/** One HTTP call of a caller, from its sending to its end. */
export interface CallRecord {
  type: 'call';
  kind: 'chat' | 'service';
  requestId: string;
  /** Prompt of a chat, or reference of a call of a plain service. */
  reference: string;
  className: string;
  tier: number;
  entryId: string;
  sentAt: number;
  at: number;
  /** Time of the first token; undefined if none came. */
  firstTokenAt?: number;
  /** 0 when no response came. */
  status: number;
  code: string;
  outcome: string;
  resumeOffset: number;
  /** Highest offset that the caller was told. */
  offset: number;
  text: string;
  terminated: boolean;
  /** How the connection failed, if it did. */
  failure: string;
}

/** What a caller has after all its calls for one request. */
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

/** A deed of the test itself, such as a publication. */
export interface MarkRecord {
  type: 'mark';
  name: string;
  /** What the deed was done to. */
  subject: string;
  at: number;
}

/** An entry told whether a class is part of its file set. */
export interface ConfigRecord {
  type: 'config';
  entryId: string;
  className: string;
  isKnown: boolean;
  at: number;
}

export type LedgerRecord =
  | EngineRecord
  | ExecutionRecord
  | CallRecord
  | AnswerRecord
  | MarkRecord
  | ConfigRecord;

type Draft<T> = T extends LedgerRecord ? Omit<T, 'at'> : never;

/** All records of one run, in their order. */
export interface Ledger {
  record(draft: Draft<LedgerRecord>): void;
  list<T extends LedgerRecord['type']>(
    type: T,
  ): Array<Extract<LedgerRecord, {type: T}>>;
  /** Waits for a record; undefined when none came in time. */
  waitForRecord<T extends LedgerRecord['type']>(
    type: T,
    check: (record: Extract<LedgerRecord, {type: T}>) => boolean,
    timeoutMs: number,
  ): Promise<Extract<LedgerRecord, {type: T}> | undefined>;
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
  const records: LedgerRecord[] = [];
  const watchers = new Set<(record: LedgerRecord) => void>();

  return {
    record: draft => {
      const record = {...draft, at: performance.now()} as LedgerRecord;
      records.push(record);
      for (const observe of watchers) {
        observe(record);
      }
    },
    list: type => records.filter(record => record.type === type) as never,
    waitForRecord: (type, check, timeoutMs) =>
      new Promise(resolve => {
        const timer = setTimeout(() => settle(undefined), timeoutMs);
        function settle(record: unknown): void {
          clearTimeout(timer);
          watchers.delete(observe);
          resolve(record as never);
        }
        function observe(record: LedgerRecord): void {
          if (record.type === type && check(record as never)) {
            settle(record);
          }
        }
        watchers.add(observe);
      }),
  };
}
