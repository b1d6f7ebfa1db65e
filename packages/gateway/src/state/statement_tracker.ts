/** Keeps what servers state in their answers, and logs and counts each change. */
import {StatementKind, createServerStatements} from '@buckthornbeam/decisions';
import type {
  ServerLife,
  ServerStatement,
  ServerStatements,
  StatedAnswer,
  StatementChange,
  StatementSharers,
} from '@buckthornbeam/decisions';
import {hashToUint32} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import type {BackendServer} from '../model.js';
import type {LimitNews} from '../peers/limit_news.js';

/** Options of {@link createStatementTracker}. */
export interface StatementTrackerOptions {
  logger?: Logger;
  /** Called for each change, for metrics. */
  onChange?: (change: StatementChange) => void;
}

export interface StatementTracker
  extends Pick<
    ServerStatements,
    'canSend' | 'computeWait' | 'take' | 'isExcluded'
  > {
  /** Applies what an answer of the server states; returns whether that changed. */
  record(
    server: BackendServer,
    statement: ServerStatement,
    answer: StatedAnswer,
  ): boolean;
  /** Whether a limit or a pause keeps requests back for some time. */
  isLimited(server: BackendServer): boolean;
  /** Whether any server states a limit or a pause. */
  hasLimited(): boolean;
  /** Lists the limits that other instances should hear. */
  listLimitNews(maximumHops: number, now: number): LimitNews[];
  /**
   * Applies what another instance passed on about the listed servers; returns whether
   * that changed anything.
   */
  acceptLimitNews(
    news: readonly LimitNews[],
    listed: readonly BackendServer[],
    now: number,
  ): boolean;
  /** Ends the statements of servers that were replaced or are long unlisted. */
  retain(listed: readonly BackendServer[], now: number): void;
  /** Counts the servers that state something of the kind. */
  count(kind: StatementKind): number;
  /** Updates what depends on the time and on the instances; called regularly. */
  advance(sharers: StatementSharers, now: number): void;
}

/** Kinds that keep requests back for some time and not for the rest of a life. */
const TEMPORARY_KINDS = [StatementKind.LIMIT, StatementKind.PAUSE];

function hashLife({id, address, startedAt}: ServerLife): number {
  return hashToUint32(`${id}@${address}@${startedAt ?? 0}`);
}

export function createStatementTracker(
  options: StatementTrackerOptions = {},
): StatementTracker {
  const statements = createServerStatements();

  function reportChanges(changes: readonly StatementChange[]): void {
    for (const change of changes) {
      const {life, kind, type, value, requestId, heldMs, reason} = change;
      options.logger?.info('server_statement', {
        server: life.id,
        address: life.address,
        startedAt: life.startedAt,
        statement: kind,
        change: type,
        value,
        request: requestId,
        reason,
        heldMs: Math.round(heldMs),
      });
      options.onChange?.(change);
    }
  }

  return {
    canSend: statements.canSend,
    computeWait: statements.computeWait,
    take: statements.take,
    isExcluded: statements.isExcluded,
    isLimited: server =>
      TEMPORARY_KINDS.some(kind => statements.isBound(server, kind)),
    hasLimited: () => TEMPORARY_KINDS.some(kind => statements.count(kind) > 0),
    record: (server, statement, answer) => {
      const changes = statements.record(server, statement, answer);
      reportChanges(changes);
      return changes.length > 0;
    },
    retain: (listed, now) => reportChanges(statements.retain(listed, now)),
    listLimitNews: (maximumHops, now) =>
      statements
        .listNews(StatementKind.LIMIT, maximumHops, now)
        .map(({life, requestsPerSecond, sentAt, headAt, hops}) => ({
          serverHash: hashLife(life),
          requestsPerSecond,
          sentAgeMs: now - sentAt,
          headAgeMs: now - headAt,
          hops,
        })),
    acceptLimitNews: (news, listed, now) => {
      if (news.length === 0) {
        return false;
      }
      let isChanged = false;
      const newsByHash = new Map(news.map(item => [item.serverHash, item]));
      for (const server of listed) {
        const item = newsByHash.get(hashLife(server));
        if (item) {
          const {requestsPerSecond, sentAgeMs, headAgeMs, hops} = item;
          const times = {sentAt: now - sentAgeMs, headAt: now - headAgeMs};
          const received = {requestsPerSecond, ...times, hops};
          const {LIMIT} = StatementKind;
          const changes = statements.acceptNews(LIMIT, server, received, now);
          reportChanges(changes);
          isChanged ||= changes.length > 0;
        }
      }
      return isChanged;
    },
    count: kind => statements.count(kind),
    advance: (sharers, now) => reportChanges(statements.advance(sharers, now)),
  };
}
