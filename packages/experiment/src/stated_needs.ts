/** Counts requests that instances send to servers against what these stated to them. */
import type {ServerStatement} from '@buckthornbeam/decisions';
import type {BackendServer} from '@buckthornbeam/gateway';

/** Requests sent against a statement. */
export interface SentAgainst {
  /** To servers that leave. */
  leaving: number;
  /** In the pauses for which servers asked. */
  pauses: number;
}

export interface StatedNeeds {
  record(
    instanceId: string,
    server: BackendServer,
    statement: ServerStatement,
    now: number,
  ): void;
  recordSent(instanceId: string, server: BackendServer, now: number): void;
  count(): SentAgainst;
}

export function createStatedNeeds(): StatedNeeds {
  const leaving = new Set<string>();
  const pausedUntil = new Map<string, number>();
  const sent = {leaving: 0, pauses: 0};

  function buildKey(instanceId: string, {id, startedAt}: BackendServer) {
    return `${instanceId} ${id} ${startedAt}`;
  }

  return {
    record: (instanceId, server, {isLeaving, pauseMs = 0}, now) => {
      const key = buildKey(instanceId, server);
      if (isLeaving) {
        leaving.add(key);
      }
      const endsAt = Math.max(pausedUntil.get(key) ?? 0, now + pauseMs);
      pausedUntil.set(key, endsAt);
    },
    recordSent: (instanceId, server, now) => {
      const key = buildKey(instanceId, server);
      sent.leaving += leaving.has(key) ? 1 : 0;
      sent.pauses += now < (pausedUntil.get(key) ?? 0) ? 1 : 0;
    },
    count: () => ({...sent}),
  };
}
