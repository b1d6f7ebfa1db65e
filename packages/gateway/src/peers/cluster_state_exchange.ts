/**
 * Exchanges the cluster state between instances: an instance that cannot read
 * the store, or does not read it itself, fetches the state from a newer peer.
 */
import {request as startRequest} from 'node:http';
import {readText, splitAddress, toRouterError} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {z} from 'zod';
import type {
  ClusterState,
  ClusterStateSnapshot,
  SnapshotRequest,
  StateSummary,
} from '../state/cluster_state.js';
import type {GossipMessage} from './gossip_message.js';

/** Path at which an instance serves its cluster state. */
const CLUSTER_STATE_PATH = '/v1/knowledge';

function buildClusterStatePath({version, revision}: SnapshotRequest): string {
  const since = revision === undefined ? '' : `&revision=${revision}`;
  return `${CLUSTER_STATE_PATH}?version=${version}${since}`;
}

/** Reads what the peer already has from the URL; undefined for another path. */
export function parseClusterStatePath(
  url: string,
): SnapshotRequest | undefined {
  const [path, query = ''] = url.split('?');
  if (path !== CLUSTER_STATE_PATH) {
    return undefined;
  }
  const parameters = new URLSearchParams(query);
  const revision = Number(parameters.get('revision') ?? NaN);
  return {
    version: Number(parameters.get('version') ?? 0),
    revision: Number.isNaN(revision) ? undefined : revision,
  };
}

const serverSchema = z.object({
  id: z.string(),
  serviceName: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  isDraining: z.boolean(),
  slots: z.number(),
  coldLeftMs: z.number(),
  startedAt: z.number().optional(),
  coldForMs: z.number(),
  removalInMs: z.number().optional(),
});

const snapshotSchema = z.object({
  revision: z.number(),
  confirmedAgeMs: z.number(),
  version: z.number(),
  configurationText: z.string(),
  evacuated: z.array(z.string()),
  sinceRevision: z.number().optional(),
  digest: z.number(),
  servers: z.array(serverSchema),
  removedServerIds: z.array(z.string()),
});

export interface ClusterStateExchangeOptions {
  clusterState: ClusterState;
  clock: Clock;
  logger: Logger;
  /** Called when several fetches in a row failed, to read the store instead. */
  onFetchFailure: () => void;
}

export interface ClusterStateExchange {
  /**
   * Fetches the cluster state of the peer at `address` in the background if the
   * peer's message shows a newer one.
   */
  fetchIfBehind(address: string, message: GossipMessage): void;
  isFetching(): boolean;
}

const FETCH_TIMEOUT_MS = 1000;
/** Several times the state of 2,000 servers with a configuration of 1 MB. */
const MAXIMUM_SNAPSHOT_BYTES = 8_000_000;
/** Shortest time between the starts of two fetches. */
export const MINIMUM_FETCH_INTERVAL_MS = 300;
/** A peer whose cluster state was confirmed longer ago is not asked. */
const MAXIMUM_PEER_AGE_MS = 2500;
/** Failed fetches in a row after which the store is read instead. */
const MAXIMUM_FAILURES = 2;

function fetchText(address: string, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const outgoing = startRequest({
      ...splitAddress(address),
      path,
      agent: false,
    });
    const timer = setTimeout(() => {
      outgoing.destroy(
        new Error(`no answer from the peer within ${FETCH_TIMEOUT_MS} ms`),
      );
    }, FETCH_TIMEOUT_MS);
    outgoing.on('error', error => {
      clearTimeout(timer);
      reject(error);
    });
    outgoing.on('response', incoming => {
      readText(incoming, MAXIMUM_SNAPSHOT_BYTES)
        .then(resolve, reject)
        .finally(() => clearTimeout(timer));
    });
    outgoing.end();
  });
}

/** Whether a peer has a newer state than this instance, confirmed recently. */
export function isPeerAhead(
  summary: StateSummary,
  clusterState: Pick<
    ClusterState,
    | 'getConfiguration'
    | 'getRevision'
    | 'computeDigest'
    | 'isConfigurationAhead'
  >,
): boolean {
  const ownVersion = clusterState.getConfiguration()?.version ?? 0;
  return (
    (summary.revision > clusterState.getRevision() ||
      clusterState.isConfigurationAhead(summary)) &&
    summary.digest !== clusterState.computeDigest() &&
    summary.version >= ownVersion &&
    summary.version > 0 &&
    summary.confirmedAgeMs < MAXIMUM_PEER_AGE_MS
  );
}

export function createClusterStateExchange(
  options: ClusterStateExchangeOptions,
): ClusterStateExchange {
  const {clusterState, clock, logger} = options;
  let lastFetchAt = -Infinity;
  let isFetching = false;
  let failures = 0;

  function canFetch(now: number): boolean {
    return !isFetching && now - lastFetchAt >= MINIMUM_FETCH_INTERVAL_MS;
  }

  async function fetchClusterState(address: string): Promise<void> {
    const requestedAt = clock.now();
    const path = buildClusterStatePath(clusterState.describeRequest());
    const text = await fetchText(address, path);
    const parsed = snapshotSchema.parse(JSON.parse(text));
    const now = clock.now();
    const snapshot: ClusterStateSnapshot = {
      ...parsed,
      // The age is as of the peer's answer, so the round trip is added as an upper bound.
      confirmedAgeMs: parsed.confirmedAgeMs + (now - requestedAt),
      sinceRevision: parsed.sinceRevision,
      servers: parsed.servers.map(item => ({
        startedAt: undefined,
        removalInMs: undefined,
        ...item,
      })),
    };
    clusterState.applyPeerSnapshot(snapshot, now);
    failures = 0;
    logger.info('knowledge_from_peer', {
      peer: address,
      revision: snapshot.revision,
      ageMs: Math.round(snapshot.confirmedAgeMs),
      servers: snapshot.servers.length,
      bytes: text.length,
    });
  }

  return {
    fetchIfBehind: (address, message) => {
      const now = clock.now();
      if (!canFetch(now) || !isPeerAhead(message, clusterState)) {
        return;
      }
      isFetching = true;
      lastFetchAt = now;
      fetchClusterState(address)
        .catch(error => {
          const failure = toRouterError(error);
          logger.warn('knowledge_fetch_failed', {
            peer: address,
            reason: failure.message,
          });
          failures += 1;
          if (failures >= MAXIMUM_FAILURES) {
            failures = 0;
            options.onFetchFailure();
          }
        })
        .finally(() => {
          isFetching = false;
        });
    },
    isFetching: () => isFetching,
  };
}
