/**
 * Passes knowledge on between instances: those that are cut off from the store
 * fetch it from a peer that has seen more.
 */
import {request as startRequest} from 'node:http';
import {splitAddress, toRouterError} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {z} from 'zod';
import type {Knowledge, KnowledgeSnapshot} from '../state/cluster_state.js';
import type {GossipMessage} from './gossip_message.js';

/** Path under which an instance serves its knowledge. */
const KNOWLEDGE_PATH = '/v1/knowledge';

/** Builds the path for a reader that has a version of the configuration. */
function buildKnowledgePath(version: number): string {
  return `${KNOWLEDGE_PATH}?version=${version}`;
}

/** Parses such a path; undefined if it is another one. */
export function parseKnowledgePath(url: string): number | undefined {
  const [path, query = ''] = url.split('?');
  return path === KNOWLEDGE_PATH
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

/** Options of {@link createKnowledgeExchange}. */
export interface KnowledgeExchangeOptions {
  knowledge: Knowledge;
  clock: Clock;
  logger: Logger;
  /** Whether this instance reads the store itself and succeeds. */
  isReading: () => boolean;
  /** A peer has seen a change that this instance lacks. */
  onBehind: () => void;
}

/** Fetches knowledge from peers. */
export interface KnowledgeExchange {
  /** Considers what a peer says of its knowledge. */
  considerPeer(address: string, message: GossipMessage): void;
}

/** Longest time of a fetch from a peer, in milliseconds. */
const FETCH_MS = 1000;
/** Least time between two fetches, in milliseconds. */
const FETCH_INTERVAL_MS = 300;
/** Knowledge of a peer older than this is not worth a fetch, in milliseconds. */
const USEFUL_AGE_MS = 2500;
/** An own confirmation older than this asks for help, in milliseconds. */
const OWN_AGE_MS = 1500;

function fetchText(address: string, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const outgoing = startRequest({
      ...splitAddress(address),
      path,
      agent: false,
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer within ${FETCH_MS} ms`));
    }, FETCH_MS);
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

/** Creates an exchange. */
export function createKnowledgeExchange(
  options: KnowledgeExchangeOptions,
): KnowledgeExchange {
  const {knowledge, clock, logger} = options;
  let lastFetchAt = -Infinity;
  let isFetching = false;

  function shouldFetch(message: GossipMessage, now: number): boolean {
    if (isFetching || now - lastFetchAt < FETCH_INTERVAL_MS) {
      return false;
    }
    const version = knowledge.getConfiguration()?.version ?? 0;
    const needsHelp =
      !options.isReading() || knowledge.computeAge(now) > OWN_AGE_MS;
    const isAhead =
      message.revision > knowledge.getRevision() &&
      message.digest !== knowledge.computeDigest();
    return (
      needsHelp &&
      isAhead &&
      message.version >= version &&
      message.version > 0 &&
      message.confirmedAgeMs < USEFUL_AGE_MS
    );
  }

  async function fetchKnowledge(address: string): Promise<void> {
    const askedAt = clock.now();
    const version = knowledge.getConfiguration()?.version ?? 0;
    const text = await fetchText(address, buildKnowledgePath(version));
    const parsed = snapshotSchema.parse(JSON.parse(text));
    const now = clock.now();
    const snapshot: KnowledgeSnapshot = {
      ...parsed,
      // The answer was made at the earliest when it was asked for.
      confirmedAgeMs: parsed.confirmedAgeMs + (now - askedAt),
      servers: parsed.servers.map(item => ({startedAt: undefined, ...item})),
    };
    knowledge.applySnapshot(snapshot, now);
    logger.info('knowledge_from_peer', {
      peer: address,
      revision: snapshot.revision,
      ageMs: Math.round(snapshot.confirmedAgeMs),
    });
  }

  return {
    considerPeer: (address, message) => {
      const now = clock.now();
      if (!shouldFetch(message, now)) {
        return;
      }
      isFetching = true;
      lastFetchAt = now;
      fetchKnowledge(address)
        .catch(error => {
          const failure = toRouterError(error);
          logger.warn('knowledge_fetch_failed', {
            peer: address,
            reason: failure.message,
          });
          options.onBehind();
        })
        .finally(() => {
          isFetching = false;
        });
    },
  };
}
