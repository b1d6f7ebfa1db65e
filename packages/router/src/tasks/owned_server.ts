/** One backend server as its owner keeps it: queue, limit and speed. */
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
  /** Part of a limit that this instance may use now. */
  getShare: (serverId: string, limit: number) => number;
}

/** State of an owned server; its methods return what has to be done. */
export interface OwnedServer {
  server: BackendServer;
  /** Work that other instances still have at the server. */
  readonly foreignWork: PeerLoad;
  /** Applies a message to the queue, under the limit of this moment. */
  stepQueue(message: QueueMessage, now: number): QueueAction[];
  /** Applies what happened at the server to its limit. */
  stepLimit(message: LimitMessage): void;
  /** Takes the speed of one whole answer, in milliseconds for each token. */
  observeSpeed(msPerToken: number): void;
  /** Takes the time from a dispatch to its first token, in milliseconds. */
  observeFirstToken(ms: number): void;
  describeLoad(): ServerLoad;
  countRunning(): number;
}

/** Bounds of the time to the first token that decisions count on. */
const LEAD_BOUNDS = {minimumMs: 100, maximumMs: 2000};
/** Weight of the newest answer in the average speed. */
const SPEED_GAIN = 0.2;
/** Work that may wait, as a multiple of the work that may run. */
const QUEUED_WORK_FACTOR = 8;

/** Creates the state of a server that has just been met. */
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
    maximumQueuedTokens: capacity.tokens * QUEUED_WORK_FACTOR,
    getWeight: id => getFileSet().customers.get(id)?.weight ?? 1,
    getMinimumShare: name => getFileSet().classes.get(name)?.minimumShare ?? 0,
  });
  const leadTime = createLeadTime(LEAD_BOUNDS);
  const foreignWork = createPeerLoad();
  let msPerToken = 0;

  function computeLimit(): number {
    const {limit, phase} = serverLimit;
    const shared = Math.min(limit, getShare(server.id, limit));
    // A warm server bears a few more; a late report would take them away.
    return phase === 'serving' ? shared : foreignWork.computeRoom(shared);
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
    foreignWork,
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
      const gain = msPerToken === 0 ? 1 : SPEED_GAIN;
      msPerToken += gain * (sample - msPerToken);
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
