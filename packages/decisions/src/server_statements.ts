/**
 * What backend servers state about themselves in their answers. A statement is
 * bound to one life of its server and applies to each send to it, until the life ends
 * or, for kinds that can be taken back, a later answer says otherwise.
 */
import {isReplacedBy, isSameLife} from './server_life.js';
import type {ServerLife} from './server_life.js';
import type {LimitNews} from './stated_limit.js';
import type {
  SendContext,
  ServerStatement,
  StatedAnswer,
  StatementKind,
  StatementSharers,
} from './statement.js';
import {StatementChangeType, StatementEnd} from './statement_change.js';
import type {StatementChange} from './statement_change.js';
import {handlers, kinds} from './statement_handlers.js';

/** Options of {@link createServerStatements}. */
export interface ServerStatementsOptions {
  /**
   * Time for which the statements of an unlisted life are kept, in milliseconds:
   * its entry may return, for example after a failure of the store.
   */
  retentionMs?: number;
  /** Unlisted lives that are kept; the longest unlisted are removed first. */
  maximumUnlisted?: number;
}

/** Statements by life of server; `now` is in milliseconds. */
export interface ServerStatements {
  /** Applies what an answer states; returns the changes. */
  record(
    life: ServerLife,
    statement: ServerStatement,
    answer: StatedAnswer,
  ): StatementChange[];
  /** Whether a request may be sent now; changes nothing. */
  canSend(life: ServerLife, context: SendContext, now: number): boolean;
  /**
   * Computes the time until a request may be sent after those ahead of it, in
   * milliseconds.
   */
  computeWait(
    life: ServerLife,
    context: SendContext,
    now: number,
    requestsAhead?: number,
  ): number;
  /** Whether a statement of the kind binds the life. */
  isBound(life: ServerLife, kind: StatementKind): boolean;
  /** Lists what other instances should hear, passed on at most so many times. */
  listNews(
    kind: StatementKind,
    maximumHops: number,
    now: number,
  ): Array<LimitNews & {life: ServerLife}>;
  /** Applies what another instance passed on; returns the changes. */
  acceptNews(
    kind: StatementKind,
    life: ServerLife,
    news: LimitNews,
    now: number,
  ): StatementChange[];
  /** Uses up one send; false if none is allowed now. */
  take(life: ServerLife, context: SendContext, now: number): boolean;
  /** Whether no request may be sent to this life any more. */
  isExcluded(life: ServerLife): boolean;
  /**
   * Ends the statements of lives that were replaced under their id, or that are
   * not listed for too long; returns the changes.
   */
  retain(listed: readonly ServerLife[], now: number): StatementChange[];
  /**
   * Updates what depends on the time and on the instances; called regularly.
   * Returns the changes of shares, and the statements that ended by the time.
   */
  advance(sharers: StatementSharers, now: number): StatementChange[];
  /** Counts the lives with a statement of the kind. */
  count(kind: StatementKind): number;
}

interface HeldStatement {
  state: unknown;
  begunAt: number;
}

interface LifeRecord {
  life: ServerLife;
  statements: Map<StatementKind, HeldStatement>;
  /** Undefined while the life is listed. */
  unlistedSince: number | undefined;
}

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAXIMUM_UNLISTED = 1000;

export function createServerStatements(
  options: ServerStatementsOptions = {},
): ServerStatements {
  const {
    retentionMs = DEFAULT_RETENTION_MS,
    maximumUnlisted = DEFAULT_MAXIMUM_UNLISTED,
  } = options;
  /** Lives with statements, by server id. */
  const records = new Map<string, LifeRecord[]>();

  function findRecord(life: ServerLife): LifeRecord | undefined {
    return records.get(life.id)?.find(record => isSameLife(record.life, life));
  }

  function listRecords(): LifeRecord[] {
    return [...records.values()].flat();
  }

  function addRecord(life: ServerLife): LifeRecord {
    const {id, address, startedAt} = life;
    const record = {
      life: {id, address, startedAt},
      statements: new Map(),
      unlistedSince: undefined,
    };
    records.set(id, [...(records.get(id) ?? []), record]);
    return record;
  }

  function removeRecord(record: LifeRecord): void {
    const {id} = record.life;
    const others = records.get(id)!.filter(item => item !== record);
    if (others.length > 0) {
      records.set(id, others);
    } else {
      records.delete(id);
    }
  }

  function endRecord(
    record: LifeRecord,
    reason: StatementEnd,
    now: number,
  ): StatementChange[] {
    removeRecord(record);
    return [...record.statements].flatMap(([kind, {state, begunAt}]) => {
      const value = handlers[kind].getValue(state);
      return value === undefined
        ? []
        : {
            kind,
            type: StatementChangeType.ENDED,
            life: record.life,
            value,
            heldMs: now - begunAt,
            reason,
          };
    });
  }

  function setState(
    record: LifeRecord,
    kind: StatementKind,
    held: HeldStatement | undefined,
  ): void {
    if (held) {
      record.statements.set(kind, held);
      return;
    }
    record.statements.delete(kind);
    if (record.statements.size === 0) {
      removeRecord(record);
    }
  }

  /** Replaces the state of one kind, and describes the change of its value. */
  function applyChange(
    kind: StatementKind,
    life: ServerLife,
    {at, ...cause}: {at: number; requestId?: string},
    computeState: (state: unknown) => unknown,
  ): StatementChange[] {
    const handler = handlers[kind];
    const record = findRecord(life);
    const held = record?.statements.get(kind);
    const valueBefore = held && handler.getValue(held.state);
    const state = computeState(held?.state);
    const value = state === undefined ? undefined : handler.getValue(state);
    const change = {
      kind,
      life,
      ...cause,
      heldMs: held ? at - held.begunAt : 0,
    };
    if (state !== undefined) {
      const begunAt = held && valueBefore !== undefined ? held.begunAt : at;
      setState(record ?? addRecord(life), kind, {state, begunAt});
    } else if (record) {
      setState(record, kind, undefined);
    }
    if (value === valueBefore) {
      return [];
    }
    if (value === undefined) {
      const reason = StatementEnd.RETRACTED;
      const type = StatementChangeType.ENDED;
      return [{...change, type, value: valueBefore!, reason}];
    }
    const type =
      valueBefore === undefined
        ? StatementChangeType.BEGUN
        : StatementChangeType.CHANGED;
    return [{...change, type, value}];
  }

  function advanceKind(
    kind: StatementKind,
    record: LifeRecord,
    sharers: StatementSharers,
    now: number,
  ): StatementChange[] {
    const handler = handlers[kind];
    const {life} = record;
    const {state, begunAt} = record.statements.get(kind)!;
    const next = handler.advance(state, life, sharers, now);
    const isHeld = next !== undefined;
    setState(record, kind, isHeld ? {state: next, begunAt} : undefined);
    const change = {kind, life, heldMs: now - begunAt};
    const value = handler.getValue(state);
    const isValued = isHeld && handler.getValue(next) !== undefined;
    if (value !== undefined && !isValued) {
      const reason = StatementEnd.EXPIRED;
      return [{...change, type: StatementChangeType.ENDED, value, reason}];
    }
    const share = isValued ? handler.getShare(next) : undefined;
    const isChanged = share !== undefined && share !== handler.getShare(state);
    return isChanged
      ? [{...change, type: StatementChangeType.SHARED, value: share}]
      : [];
  }

  function computeWait(
    life: ServerLife,
    context: SendContext,
    now: number,
    requestsAhead = 0,
  ): number {
    const statements = findRecord(life)?.statements ?? [];
    return [...statements].reduce(
      (longest, [kind, {state}]) =>
        Math.max(
          longest,
          handlers[kind].computeWait(state, context, now, requestsAhead),
        ),
      0,
    );
  }

  function canSend(
    life: ServerLife,
    context: SendContext,
    now: number,
  ): boolean {
    return computeWait(life, context, now) === 0;
  }

  /** Removes the longest unlisted lives beyond the maximum. */
  function removeExcess(now: number): StatementChange[] {
    return listRecords()
      .filter(({unlistedSince}) => unlistedSince !== undefined)
      .sort((a, b) => b.unlistedSince! - a.unlistedSince!)
      .slice(maximumUnlisted)
      .flatMap(record => endRecord(record, StatementEnd.FORGOTTEN, now));
  }

  return {
    record: (life, statement, answer) => {
      const {requestId, headAt: at} = answer;
      return kinds.flatMap(kind =>
        applyChange(kind, life, {at, requestId}, state =>
          handlers[kind].update(state, statement, answer),
        ),
      );
    },
    canSend,
    computeWait,
    isBound: (life, kind) => {
      const held = findRecord(life)?.statements.get(kind);
      return held !== undefined && handlers[kind].isBinding(held.state);
    },
    listNews: (kind, maximumHops, now) =>
      listRecords().flatMap(({life, statements}) => {
        const held = statements.get(kind);
        const news =
          held && handlers[kind].describeNews(held.state, maximumHops, now);
        return news ? [{life, ...news}] : [];
      }),
    acceptNews: (kind, life, news, now) =>
      applyChange(kind, life, {at: now}, state =>
        handlers[kind].acceptNews(state, news),
      ),
    take: (life, context, now) => {
      if (!canSend(life, context, now)) {
        return false;
      }
      for (const [kind, held] of findRecord(life)?.statements ?? []) {
        held.state = handlers[kind].recordSend(held.state, context, now);
      }
      return true;
    },
    isExcluded: life =>
      [...(findRecord(life)?.statements ?? [])].some(([kind, {state}]) =>
        handlers[kind].isFinal(state),
      ),
    retain: (listed, now) => {
      const listedById = new Map(listed.map(life => [life.id, life]));
      const changes: StatementChange[] = [];
      for (const record of listRecords()) {
        const {life} = record;
        const current = listedById.get(life.id);
        if (current && isSameLife(current, life)) {
          record.unlistedSince = undefined;
          record.life.startedAt ??= current.startedAt;
          continue;
        }
        record.unlistedSince ??= now;
        if (current && isReplacedBy(life, current)) {
          changes.push(...endRecord(record, StatementEnd.NEW_LIFE, now));
        } else if (now - record.unlistedSince > retentionMs) {
          changes.push(...endRecord(record, StatementEnd.FORGOTTEN, now));
        }
      }
      return [...changes, ...removeExcess(now)];
    },
    advance: (sharers, now) =>
      listRecords().flatMap(record =>
        [...record.statements.keys()].flatMap(kind =>
          advanceKind(kind, record, sharers, now),
        ),
      ),
    count: kind =>
      listRecords().filter(({statements}) => {
        const held = statements.get(kind);
        return held && handlers[kind].getValue(held.state) !== undefined;
      }).length,
  };
}
