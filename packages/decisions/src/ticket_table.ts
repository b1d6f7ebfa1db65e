/**
 * The ticket table of an issuer. It ensures that each ticket is executed at
 * most once, by one attempt.
 *
 * Issued tickets are not stored; they are identified by incarnation and
 * sequence number. A record is created at the first claim. When a record is
 * evicted, the floor is raised to its sequence number; a ticket at or below the
 * floor without a record is never executed again.
 */
import {Outcome} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import type {Ticket} from './ticket.js';

/** Stored result of an executed call. */
export interface TicketResult {
  outcome: Outcome;
  code: string;
  detail: string;
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** State of a claimed ticket. */
export const TicketState = {RUNNING: 'running', DONE: 'done'} as const;
export type TicketState = (typeof TicketState)[keyof typeof TicketState];

/** A claimed ticket; `result` is set once the state is `done`. */
export interface TicketRecord {
  sequence: number;
  state: TicketState;
  result?: TicketResult;
}

/** Tickets of one incarnation. */
export interface IncarnationTickets {
  incarnation: string;
  /** Highest sequence number of an evicted record; 0 if there is none. */
  floor: number;
  /** Last issued sequence number; 0 if there is none. */
  issued: number;
  /** Offset from the local clock to the issuer's clock, in milliseconds. */
  clockOffsetMs: number;
  records: TicketRecord[];
}

/** Tickets that a stopping issuer transfers to its successor. */
export interface TicketHandOver
  extends Omit<IncarnationTickets, 'clockOffsetMs'> {
  /** The only incarnation that may adopt the tickets. */
  successorIncarnation: string;
  /** Time of the transfer by the issuer's clock, in milliseconds. */
  handedOverAt: number;
}

/** What the issuer has to do with a ticket that a caller presents. */
export type TicketDecision =
  | {type: 'execute'}
  | {type: 'wait'}
  | {type: 'replay'; result: TicketResult}
  | {type: 'refuse'; code: ErrorCode; outcome: Outcome; detail: string};

/** Options of {@link createTicketTable}. */
export interface TicketTableOptions {
  incarnation: string;
  /** Maximum number of records. */
  capacity?: number;
  /** Maximum total size of the stored bodies. */
  maximumBytes?: number;
  /** Time from issue during which a ticket may be executed, in milliseconds. */
  lifetimeMs?: number;
  /**
   * Whether tickets of other incarnations are refused; false only in model
   * checks.
   */
  isIncarnationChecked?: boolean;
  /** Initial state; only for model checks. */
  snapshot?: TicketTableSnapshot;
}

/** The complete state of a table, as plain data. */
export interface TicketTableSnapshot {
  isClosed: boolean;
  /** This incarnation first, then the adopted ones. */
  incarnations: IncarnationTickets[];
}

export interface TicketTable {
  /** Assigns the next sequence number; stores no record. */
  issue(now: number): Pick<Ticket, 'sequence' | 'expiresAt'>;
  /** Decides on a presented ticket; `execute` at most once per ticket. */
  claim(
    ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence' | 'expiresAt'>,
    now: number,
  ): TicketDecision;
  /**
   * Stores the result of the execution; ignored unless the ticket is running.
   */
  store(
    ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence'>,
    result: TicketResult,
  ): void;
  /** Whether the ticket was claimed and its record is not evicted. */
  hasRecord(ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence'>): boolean;
  /** Whether the incarnation is this one or an adopted one. */
  hasIncarnation(incarnation: string): boolean;
  /** Refuses new claims; tickets with a record are still answered. */
  close(): void;
  /** Closes the table and returns the tickets of all its incarnations. */
  handOver(successorIncarnation: string, now: number): TicketHandOver[];
  /**
   * Adopts tickets. Returns false if the table is closed or full, if the
   * tickets are for another successor, or if they were adopted before.
   */
  adopt(handOver: TicketHandOver, now: number): boolean;
  countRunning(): number;
  takeSnapshot(): TicketTableSnapshot;
}

const DEFAULT_CAPACITY = 8192;
const DEFAULT_MAXIMUM_BYTES = 16 * 1024 * 1024;
const DEFAULT_LIFETIME_MS = 600_000;

/** Incarnations that one table adopts; further transfers are refused. */
const MAXIMUM_ADOPTED_INCARNATIONS = 1024;

const UNKNOWN_AT_STOP: TicketResult = {
  outcome: Outcome.UNKNOWN,
  code: 'ticket_issuer_gone',
  detail: 'the issuer stopped while it executed the ticket',
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

interface IncarnationGroup {
  info: Omit<IncarnationTickets, 'records'>;
  records: Map<number, TicketRecord>;
}

function toGroup({records, ...info}: IncarnationTickets): IncarnationGroup {
  return {
    info: {...info},
    records: new Map(records.map(record => [record.sequence, {...record}])),
  };
}

function toIncarnation({info, records}: IncarnationGroup): IncarnationTickets {
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
  const groups = new Map<string, IncarnationGroup>(
    (snapshot?.incarnations ?? [{...empty, records: []}]).map(item => [
      item.incarnation,
      toGroup(item),
    ]),
  );
  const ownGroup = groups.get(incarnation)!;
  let isClosed = snapshot?.isClosed ?? false;
  let recordCount = 0;
  let storedBytes = 0;
  for (const group of groups.values()) {
    for (const record of group.records.values()) {
      recordCount += 1;
      storedBytes += countBytes(record);
    }
  }

  function findGroup(issuer: string): IncarnationGroup | undefined {
    return groups.get(issuer) ?? (isIncarnationChecked ? undefined : ownGroup);
  }

  /**
   * Finds the first claimed record that is done, so that the floor rises least.
   */
  function findEvictable(group: IncarnationGroup): TicketRecord | undefined {
    for (const record of group.records.values()) {
      if (record.state === TicketState.DONE) {
        return record;
      }
    }
    return undefined;
  }

  function removeOldest(): boolean {
    // Adopted tickets first: their callers have had the most time to retry.
    for (const group of [...groups.values()].reverse()) {
      const record = findEvictable(group);
      if (record) {
        group.records.delete(record.sequence);
        group.info.floor = Math.max(group.info.floor, record.sequence);
        recordCount -= 1;
        storedBytes -= countBytes(record);
        return true;
      }
    }
    return false;
  }

  function hasRoom(): boolean {
    return recordCount < capacity || removeOldest();
  }

  function claimNew(
    group: IncarnationGroup,
    sequence: number,
    expiresAt: number,
    now: number,
  ): TicketDecision {
    if (sequence <= group.info.floor) {
      return makeRefusal(
        'ticket_expired',
        'the result of this or a newer ticket was evicted',
      );
    }
    if (isClosed) {
      // Checked before the expiry: a successor's clock may lag behind, so that
      // it could still execute the ticket, and NOT_RUN would be wrong.
      return makeRefusal('leaving', 'the issuer of the ticket is stopping');
    }
    if (now + group.info.clockOffsetMs >= expiresAt) {
      // Above the floor without a record: the ticket never ran and never will.
      return makeRefusal(
        'ticket_expired',
        'the ticket expired before it was executed',
        Outcome.NOT_RUN,
      );
    }
    if (!hasRoom()) {
      return makeRefusal(
        'overloaded',
        'all ticket records belong to running calls',
      );
    }
    // The eviction in hasRoom may have raised the floor above this ticket.
    if (sequence <= group.info.floor) {
      return makeRefusal('ticket_expired', 'a newer ticket was evicted');
    }
    group.records.set(sequence, {sequence, state: TicketState.RUNNING});
    recordCount += 1;
    return {type: 'execute'};
  }

  return {
    issue: now => {
      ownGroup.info.issued += 1;
      return {sequence: ownGroup.info.issued, expiresAt: now + lifetimeMs};
    },
    claim: ({issuerIncarnation, sequence, expiresAt}, now) => {
      const group = findGroup(issuerIncarnation);
      if (!group) {
        return makeRefusal(
          'ticket_issuer_gone',
          'the issuer of the ticket was replaced',
        );
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
      storedBytes += countBytes(record);
      while (storedBytes > maximumBytes && removeOldest()) {
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
        groups.size > MAXIMUM_ADOPTED_INCARNATIONS
      ) {
        return false;
      }
      const group = toGroup({...tickets, clockOffsetMs: handedOverAt - now});
      groups.set(tickets.incarnation, group);
      for (const record of group.records.values()) {
        recordCount += 1;
        storedBytes += countBytes(record);
      }
      while (
        (recordCount > capacity || storedBytes > maximumBytes) &&
        removeOldest()
      ) {
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
