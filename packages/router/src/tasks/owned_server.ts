/** State that an owner keeps of one backend server: queue, limit and speed. */
import type {BackendServer, FileSet} from '@buckthornbeam/config';
import {
  createPeerLoad,
  createLeadTime,
  createServerLimit,
  createServerQueue,
} from '@buckthornbeam/decisions';
import type {
  PeerLoad,
  LimitMessage,
  QueueAction,
  QueueMessage,
} from '@buckthornbeam/decisions';
import type {ServerLoad} from '@buckthornbeam/membership';
import type {Logger} from '@buckthornbeam/shared';

/** Options of {@link createOwnedServer}. */
export interface OwnedServerOptions {
  server: BackendServer;
  maximumQueuedRequests: number;
  logger: Logger;
  getFileSet: () => FileSet;
  /** Requests of a limit that this instance may use now. */
  getShare: (serverId: string, limit: number) => number;
}

/** State of an owned server. It performs no I/O: the owner runs the actions. */
export interface OwnedServer {
  server: BackendServer;
  /** Requests of other instances that still run on the server. */
  readonly peerLoad: PeerLoad;
  /** Applies a message to the queue, using the current limit. */
  stepQueue(message: QueueMessage, now: number): QueueAction[];
  /** Applies an event of the server to its limit and logs a change of phase. */
  stepLimit(message: LimitMessage): void;
  /** Adds the speed of one answer to the average, in milliseconds per token. */
  observeSpeed(msPerToken: number): void;
  /** Records the time from a dispatch to its first token, in milliseconds. */
  observeFirstToken(ms: number): void;
  describeLoad(): ServerLoad;
  countRunning(): number;
}

/** Bounds of the estimated time to the first token. */
const LEAD_TIME_BOUNDS = {minimumMs: 100, maximumMs: 2000};
/** Weight of the newest answer in the moving average of the speed. */
const NEWEST_SPEED_WEIGHT = 0.2;
/** Limit of the queued tokens, as a multiple of the server's token capacity. */
const QUEUED_TO_RUNNING_TOKENS_RATIO = 8;

/**
 * Creates the state of a newly owned server, with nothing queued or running.
 */
export function createOwnedServer(options: OwnedServerOptions): OwnedServer {
  const {server, logger, getFileSet, getShare} = options;
  const {capacity} = server;
  const serverLimit = createServerLimit({
    startingRequests: capacity.startingRequests,
    maximumRequests: capacity.requests,
  });
  const queue = createServerQueue({
    limit: 0,
    tokensPerRequest: capacity.tokens / capacity.requests,
    maximumQueued: options.maximumQueuedRequests,
    maximumQueuedTokens: capacity.tokens * QUEUED_TO_RUNNING_TOKENS_RATIO,
    getWeight: id => getFileSet().customers.get(id)?.weight ?? 1,
    getMinimumShare: name => getFileSet().classes.get(name)?.minimumShare ?? 0,
  });
  const leadTime = createLeadTime(LEAD_TIME_BOUNDS);
  const peerLoad = createPeerLoad();
  let msPerToken = 0;

  function computeLimit(): number {
    const {limit, phase} = serverLimit;
    const ownLimit = Math.min(limit, getShare(server.id, limit));
    // A warm server tolerates a few requests above its limit, so requests of
    // other instances are not subtracted: an outdated report would cut the
    // limit.
    return phase === 'serving' ? ownLimit : peerLoad.computeRoom(ownLimit);
  }

  function estimateWaitMs(): number {
    const limit = computeLimit();
    if (queue.countQueued() === 0 && queue.countRunning() < limit) {
      return 0;
    }
    return (queue.countQueuedTokens() * msPerToken) / Math.max(1, limit);
  }

  return {
    server,
    peerLoad,
    stepQueue: (message, now) => {
      if (message.type === 'drain') {
        return queue.step(message, now);
      }
      const limit = computeLimit();
      const actions: QueueAction[] = [];
      if (limit !== queue.limit) {
        actions.push(...queue.step({type: 'set_limit', limit}, now));
      }
      if (message.type === 'tick') {
        const leadMs = leadTime.ms;
        actions.push(...queue.step({type: 'set_lead', leadMs}, now));
      }
      actions.push(...queue.step(message, now));
      return actions;
    },
    stepLimit: message => {
      const {phase} = serverLimit;
      serverLimit.step(message);
      if (serverLimit.phase !== phase) {
        logger.info('server_phase', {
          server: server.id,
          from: phase,
          to: serverLimit.phase,
          cause: message.type,
          limit: serverLimit.limit,
        });
      }
    },
    observeSpeed: sample => {
      const weight = msPerToken === 0 ? 1 : NEWEST_SPEED_WEIGHT;
      msPerToken += weight * (sample - msPerToken);
    },
    observeFirstToken: ms => leadTime.observe(ms),
    describeLoad: () => ({
      serverId: server.id,
      limit: computeLimit(),
      inFlight: queue.countRunning(),
      queued: queue.countQueued(),
      expectedWaitMs: estimateWaitMs(),
      msPerToken,
      phase: serverLimit.phase,
      lowestTier: queue.getLowestTier(),
    }),
    countRunning: () => queue.countRunning(),
  };
}
