/**
 * Exchanges the cluster state between instances: an instance that cannot read
 * the store, or does not read it itself, fetches the state from a newer peer.
 */
import {request as startRequest} from 'node:http';
import {splitAddress, toRouterError} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {z} from 'zod';
import type {
  ClusterState,
  ClusterStateSnapshot,
} from '../state/cluster_state.js';
import type {GossipMessage} from './gossip_message.js';

/** Path at which an instance serves its cluster state. */
const CLUSTER_STATE_PATH = '/v1/knowledge';

/** Builds the path for an instance that already has `version` of the configuration. */
function buildClusterStatePath(version: number): string {
  return `${CLUSTER_STATE_PATH}?version=${version}`;
}

/** Returns the peer's configuration version from the URL; undefined for another path. */
export function parseClusterStatePath(url: string): number | undefined {
  const [path, query = ''] = url.split('?');
  return path === CLUSTER_STATE_PATH
    ? Number(new URLSearchParams(query).get('version') ?? 0)
    : undefined;
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
});

const snapshotSchema = z.object({
  revision: z.number(),
  confirmedAgeMs: z.number(),
  version: z.number(),
  configurationText: z.string(),
  evacuated: z.array(z.string()),
  servers: z.array(serverSchema),
});

export interface ClusterStateExchangeOptions {
  clusterState: ClusterState;
  clock: Clock;
  logger: Logger;
  /** Whether this instance is a store reader and connected to the store. */
  isReadingStore: () => boolean;
  /** Called when a fetch from a newer peer failed, to read the store instead. */
  onFetchFailure: () => void;
}

export interface ClusterStateExchange {
  /**
   * Fetches the cluster state of the peer at `address` in the background if the
   * peer's message shows a newer one and this instance needs it.
   */
  fetchIfBehind(address: string, message: GossipMessage): void;
}

const FETCH_TIMEOUT_MS = 1000;
const MINIMUM_FETCH_INTERVAL_MS = 300;
/** A peer whose cluster state was confirmed longer ago is not asked. */
const MAXIMUM_PEER_AGE_MS = 2500;
/** A store reader fetches from peers once its own state is unconfirmed for longer. */
const STALE_AGE_MS = 1500;

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
      const chunks: Buffer[] = [];
      incoming.on('data', (bytes: Buffer) => chunks.push(bytes));
      incoming.on('error', reject);
      incoming.on('end', () => {
        clearTimeout(timer);
        resolve(Buffer.concat(chunks).toString('utf8'));
      });
    });
    outgoing.end();
  });
}

export function createClusterStateExchange(
  options: ClusterStateExchangeOptions,
): ClusterStateExchange {
  const {clusterState, clock, logger} = options;
  let lastFetchAt = -Infinity;
  let isFetching = false;

  function shouldFetch(message: GossipMessage, now: number): boolean {
    if (isFetching || now - lastFetchAt < MINIMUM_FETCH_INTERVAL_MS) {
      return false;
    }
    const version = clusterState.getConfiguration()?.version ?? 0;
    const needsPeerState =
      !options.isReadingStore() || clusterState.computeAge(now) > STALE_AGE_MS;
    const isPeerAhead =
      message.revision > clusterState.getRevision() &&
      message.digest !== clusterState.computeDigest();
    return (
      needsPeerState &&
      isPeerAhead &&
      message.version >= version &&
      message.version > 0 &&
      message.confirmedAgeMs < MAXIMUM_PEER_AGE_MS
    );
  }

  async function fetchClusterState(address: string): Promise<void> {
    const requestedAt = clock.now();
    const version = clusterState.getConfiguration()?.version ?? 0;
    const text = await fetchText(address, buildClusterStatePath(version));
    const parsed = snapshotSchema.parse(JSON.parse(text));
    const now = clock.now();
    const snapshot: ClusterStateSnapshot = {
      ...parsed,
      // The age is as of the peer's answer, so the round trip is added as an upper bound.
      confirmedAgeMs: parsed.confirmedAgeMs + (now - requestedAt),
      servers: parsed.servers.map(item => ({startedAt: undefined, ...item})),
    };
    clusterState.applyPeerSnapshot(snapshot, now);
    logger.info('knowledge_from_peer', {
      peer: address,
      revision: snapshot.revision,
      ageMs: Math.round(snapshot.confirmedAgeMs),
    });
  }

  return {
    fetchIfBehind: (address, message) => {
      const now = clock.now();
      if (!shouldFetch(message, now)) {
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
          options.onFetchFailure();
        })
        .finally(() => {
          isFetching = false;
        });
    },
  };
}
