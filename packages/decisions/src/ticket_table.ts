/**
 * The issuer's table: each ticket is executed at most once, by one attempt.
 *
 * An issued ticket takes no memory: it is known by its incarnation and its
 * sequence number. A record exists from the first claim on. When a record is
 * evicted, the floor rises to its sequence number, and a ticket at or below
 * the floor without a record is never executed again.
 */
import {Outcome} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import type {Ticket} from './ticket.js';

/** Stored result of a call. */
export interface TicketResult {
  outcome: Outcome;
  code: string;
  detail: string;
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** States of a claimed ticket. */
export const TicketState = {RUNNING: 'running', DONE: 'done'} as const;
export type TicketState = (typeof TicketState)[keyof typeof TicketState];

/** A claimed ticket; `result` is present once it is done. */
export interface TicketRecord {
  sequence: number;
  state: TicketState;
  result?: TicketResult;
}

/** What one incarnation knows of its tickets. */
export interface IncarnationTickets {
  incarnation: string;
  /** Highest sequence number whose record was evicted. */
  floor: number;
  /** Highest sequence number that was issued. */
  issued: number;
  /** Add this to the local time to get the issuer's time, in milliseconds. */
  clockOffsetMs: number;
  records: TicketRecord[];
}

/** The tickets that a stopping issuer passes to its successor. */
export interface TicketHandOver
  extends Omit<IncarnationTickets, 'clockOffsetMs'> {
  /** Incarnation of the one successor that may adopt the tickets. */
  successorIncarnation: string;
  /** Time of the hand-over by the issuer's clock, in milliseconds. */
  handedOverAt: number;
}

/** What the issuer has to do with a presented ticket. */
export type TicketDecision =
  | {type: 'execute'}
  | {type: 'wait'}
  | {type: 'replay'; result: TicketResult}
  | {type: 'refuse'; code: ErrorCode; outcome: Outcome; detail: string};

/** Options of {@link createTicketTable}. */
export interface TicketTableOptions {
  incarnation: string;
  /** Most records that are held. */
  capacity?: number;
  /** Most bytes of stored bodies. */
  maximumBytes?: number;
  /** Time in which a ticket may be executed, in milliseconds. */
  lifetimeMs?: number;
  /** Whether tickets of other incarnations are refused; for model checks. */
  isIncarnationChecked?: boolean;
  /** State to start from; for model checks. */
  snapshot?: TicketTableSnapshot;
}

/** The whole state of a table, as a plain value. */
export interface TicketTableSnapshot {
  isClosed: boolean;
  /** The own tickets first, then those of adopted incarnations. */
  incarnations: IncarnationTickets[];
}

/** The table of one issuer. */
export interface TicketTable {
  /** Numbers a new ticket; throws nothing and stores nothing. */
  issue(now: number): Pick<Ticket, 'sequence' | 'expiresAt'>;
  /** Decides on a presented ticket; `execute` is answered once only. */
  claim(
    ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence' | 'expiresAt'>,
    now: number,
  ): TicketDecision;
  /** Stores the result of the one execution. */
  store(
    ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence'>,
    result: TicketResult,
  ): void;
  /** Whether the ticket was claimed and its record is still held. */
  hasRecord(ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence'>): boolean;
  /** Whether tickets of an incarnation are answered here. */
  hasIncarnation(incarnation: string): boolean;
  /** Ends claims; records are still answered. */
  close(): void;
  /** Closes the table and returns each incarnation for one successor. */
  handOver(successorIncarnation: string, now: number): TicketHandOver[];
  /** Adopts tickets; false if they are for another or were adopted before. */
  adopt(handOver: TicketHandOver, now: number): boolean;
  countRunning(): number;
  takeSnapshot(): TicketTableSnapshot;
}

const DEFAULT_CAPACITY = 8192;
const DEFAULT_MAXIMUM_BYTES = 16 * 1024 * 1024;
const DEFAULT_LIFETIME_MS = 600_000;

/** Incarnations adopted in one run; further hand-overs are refused. */
const MAXIMUM_ADOPTED = 1024;

const UNKNOWN_AT_STOP: TicketResult = {
  outcome: Outcome.UNKNOWN,
  code: 'ticket_issuer_gone',
  detail: 'the issuer stopped during the execution',
  status: 0,
  contentType: '',
  body: new Uint8Array(),
};

function makeRefusal(
  code: ErrorCode,
  detail: string,
  outcome: Outcome = Outcome.UNKNOWN,
): TicketDecision {
  return {type: 'refuse', code, outcome, detail};
}

function countBytes(record: TicketRecord): number {
  return record.result?.body.byteLength ?? 0;
}

interface Group {
  info: Omit<IncarnationTickets, 'records'>;
  records: Map<number, TicketRecord>;
}

function toGroup({records, ...info}: IncarnationTickets): Group {
  return {
    info: {...info},
    records: new Map(records.map(record => [record.sequence, {...record}])),
  };
}

function toIncarnation({info, records}: Group): IncarnationTickets {
  return {
    ...info,
    records: [...records.values()].map(record => ({...record})),
  };
}

/** Creates an empty table, or one with the state of a snapshot. */
export function createTicketTable(options: TicketTableOptions): TicketTable {
  const {
    incarnation,
    capacity = DEFAULT_CAPACITY,
    maximumBytes = DEFAULT_MAXIMUM_BYTES,
    lifetimeMs = DEFAULT_LIFETIME_MS,
    isIncarnationChecked = true,
    snapshot,
  } = options;
  const empty = {incarnation, floor: 0, issued: 0, clockOffsetMs: 0};
  const groups = new Map<string, Group>(
    (snapshot?.incarnations ?? [{...empty, records: []}]).map(item => [
      item.incarnation,
      toGroup(item),
    ]),
  );
  const own = groups.get(incarnation)!;
  let isClosed = snapshot?.isClosed ?? false;
  let size = 0;
  let bytes = 0;
  for (const group of groups.values()) {
    for (const record of group.records.values()) {
      size += 1;
      bytes += countBytes(record);
    }
  }

  function findGroup(issuer: string): Group | undefined {
    return groups.get(issuer) ?? (isIncarnationChecked ? undefined : own);
  }

  /** The oldest claim that is done, so that the floor rises least. */
  function findEvictable(group: Group): TicketRecord | undefined {
    for (const record of group.records.values()) {
      if (record.state === TicketState.DONE) {
        return record;
      }
    }
    return undefined;
  }

  function removeOldest(): boolean {
    // Adopted tickets go first: their callers had the longest time to repeat.
    for (const group of [...groups.values()].reverse()) {
      const record = findEvictable(group);
      if (record) {
        group.records.delete(record.sequence);
        group.info.floor = Math.max(group.info.floor, record.sequence);
        size -= 1;
        bytes -= countBytes(record);
        return true;
      }
    }
    return false;
  }

  function hasRoom(): boolean {
    return size < capacity || removeOldest();
  }

  function claimNew(
    group: Group,
    sequence: number,
    expiresAt: number,
    now: number,
  ): TicketDecision {
    if (sequence <= group.info.floor) {
      return makeRefusal('ticket_expired', 'its result was evicted');
    }
    if (isClosed) {
      // Before the check of the time: a successor's clock may lag, so that the
      // ticket can still run there.
      return makeRefusal('leaving', 'the issuer is stopping');
    }
    if (now + group.info.clockOffsetMs >= expiresAt) {
      // No record above the floor: it never ran, and its time is over.
      return makeRefusal('ticket_expired', 'it never ran', Outcome.NOT_RUN);
    }
    if (!hasRoom()) {
      return makeRefusal('overloaded', 'all records are of running calls');
    }
    // Making room may have raised the floor over this ticket.
    if (sequence <= group.info.floor) {
      return makeRefusal('ticket_expired', 'its number was evicted');
    }
    group.records.set(sequence, {sequence, state: TicketState.RUNNING});
    size += 1;
    return {type: 'execute'};
  }

  return {
    issue: now => {
      own.info.issued += 1;
      return {sequence: own.info.issued, expiresAt: now + lifetimeMs};
    },
    claim: ({issuerIncarnation, sequence, expiresAt}, now) => {
      const group = findGroup(issuerIncarnation);
      if (!group) {
        return makeRefusal('ticket_issuer_gone', 'its issuer was replaced');
      }
      const record = group.records.get(sequence);
      if (!record) {
        return claimNew(group, sequence, expiresAt, now);
      }
      return record.result
        ? {type: 'replay', result: record.result}
        : {type: 'wait'};
    },
    store: ({issuerIncarnation, sequence}, result) => {
      const record = findGroup(issuerIncarnation)?.records.get(sequence);
      if (record?.state !== TicketState.RUNNING) {
        return;
      }
      record.state = TicketState.DONE;
      record.result = result;
      bytes += countBytes(record);
      while (bytes > maximumBytes && removeOldest()) {
        // Each round evicts one record.
      }
    },
    hasRecord: ({issuerIncarnation, sequence}) =>
      findGroup(issuerIncarnation)?.records.has(sequence) ?? false,
    hasIncarnation: issuer => groups.has(issuer),
    close: () => {
      isClosed = true;
    },
    handOver: (successorIncarnation, now) => {
      isClosed = true;
      return [...groups.values()].map(({info, records}) => ({
        incarnation: info.incarnation,
        floor: info.floor,
        issued: info.issued,
        successorIncarnation,
        handedOverAt: now + info.clockOffsetMs,
        records: [...records.values()].map(record => ({
          sequence: record.sequence,
          state: TicketState.DONE,
          result: record.result ?? UNKNOWN_AT_STOP,
        })),
      }));
    },
    adopt: (handOver, now) => {
      const {successorIncarnation, handedOverAt, ...tickets} = handOver;
      if (
        isClosed ||
        successorIncarnation !== incarnation ||
        groups.has(tickets.incarnation) ||
        groups.size > MAXIMUM_ADOPTED
      ) {
        return false;
      }
      const group = toGroup({...tickets, clockOffsetMs: handedOverAt - now});
      groups.set(tickets.incarnation, group);
      for (const record of group.records.values()) {
        size += 1;
        bytes += countBytes(record);
      }
      while ((size > capacity || bytes > maximumBytes) && removeOldest()) {
        // Each round evicts one record.
      }
      return true;
    },
    countRunning: () =>
      [...groups.values()]
        .flatMap(group => [...group.records.values()])
        .filter(record => record.state === TicketState.RUNNING).length,
    takeSnapshot: () => ({
      isClosed,
      incarnations: [...groups.values()].map(toIncarnation),
    }),
  };
}
