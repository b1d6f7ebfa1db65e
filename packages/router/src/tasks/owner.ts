/**
 * The owner task: the only dispatcher to the servers that this instance owns.
 */
import type {BackendServer, FileSet, Settings} from '@buckthornbeam/config';
import type {QueueAction, QueueMessage} from '@buckthornbeam/decisions';
import type {ServerLoad} from '@buckthornbeam/membership';
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {
  Outcome,
  RouterError,
  toRouterError,
  waitFor,
} from '@buckthornbeam/shared';
import type {Clock, ErrorCode, Logger, Metrics} from '@buckthornbeam/shared';
import {createChannel} from '../channel.js';
import type {EngineClient, LoadReport} from '../engine_client.js';
import {runAttempt} from './attempt_run.js';
import type {Attempt, AttemptReport} from './attempt_run.js';
import {makeFailure} from './dispatch_events.js';
import {createLoadPoller} from './load_poller.js';
import {createOwnedServer} from './owned_server.js';
import type {OwnedServer} from './owned_server.js';
import {isInService} from './placer.js';

/** Options of {@link createOwner}. */
export interface OwnerOptions {
  settings: Settings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  engines: EngineClient;
  /** Whether this instance currently owns a server. */
  isOwner: (serverId: string) => boolean;
  /**
   * Requests of the server's limit that this instance may use now; 0 if it must
   * not start any. Called again at each queue step.
   */
  getShare: (serverId: string, limit: number) => number;
}

/** The owner task. */
export interface Owner {
  start(): void;
  stop(): void;
  /**
   * Queues a request for its server. Does not throw: the last event is
   * `completed` or `failed`. Aborting `signal` cancels the request.
   */
  dispatch(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncIterable<DispatchEvent>;
  /** Updates owned servers; refuses what is queued for those out of service. */
  applyFileSet(set: FileSet): void;
  listLoads(): ServerLoad[];
  /** Lists loads with the engines' last reports, for the baseline policies. */
  listEngineLoads(): ServerLoad[];
}

/** Interval of the checks for urgent requests and for a change of owner. */
const TICK_INTERVAL_MS = 50;
/** Interval of load polls and of the search for newly owned servers. */
const LOAD_POLL_INTERVAL_MS = 500;
/** Time that a warm engine takes to notice that a stream was cancelled. */
const WARM_CANCEL_DELAY_MS = 25;
/**
 * The same for an engine that is not warm. It is longer because such an engine
 * can't take a single request above its limit.
 */
const STARTING_CANCEL_DELAY_MS = 500;
/** Average bytes of a body per prompt token, for usage accounting. */
const BYTES_PER_TOKEN = 4;

const refusalDetails: Partial<Record<ErrorCode, string>> = {
  overloaded: 'the queue is full and has no request of a lower tier',
  no_server: 'the backend server was taken out of service',
  not_owner: 'another instance now owns the backend server',
};

/** Creates the owner task, not yet started. */
export function createOwner(options: OwnerOptions): Owner {
  const {settings, clock, logger, metrics, engines, isOwner} = options;
  const ownedServers = new Map<string, OwnedServer>();
  const attempts = new Map<string, Attempt>();
  const engineReports = new Map<string, LoadReport>();
  let fileSet: FileSet | undefined;
  let ticker: NodeJS.Timeout | undefined;
  const loadPoller = createLoadPoller({
    intervalMs: LOAD_POLL_INTERVAL_MS,
    engines,
    logger,
    listServers: listPolledServers,
    countOwnRequests: id => ownedServers.get(id)?.countRunning() ?? 0,
    onReport: ({id}, report, ownRunning) => {
      const {incarnation, completed, running, waiting} = report;
      engineReports.set(id, report);
      const target = ownedServers.get(id);
      target?.peerLoad.recordReport(running + waiting, ownRunning);
      target?.stepLimit({type: 'report', incarnation, completed});
      if (target) {
        checkServer(target);
      }
    },
    onMissing: ({id}) => {
      const target = ownedServers.get(id);
      target?.peerLoad.recordMissing();
      if (target) {
        checkServer(target);
      }
    },
  });

  function isServerInService(server: BackendServer | undefined): boolean {
    return server !== undefined && isInService(fileSet!, server);
  }

  function addServer(server: BackendServer): OwnedServer {
    const ownedServer = createOwnedServer({
      server,
      maximumQueuedRequests: settings.limits.maximumQueuedRequests,
      logger,
      getFileSet: () => fileSet!,
      getShare: options.getShare,
    });
    ownedServers.set(server.id, ownedServer);
    // The report shows whether the server is already warm and what still runs
    // there; until it arrives, the limit is 0.
    void loadPoller.fetchReport(server);
    return ownedServer;
  }

  function getOwnedServer(serverId: string): OwnedServer {
    const server = fileSet?.servers.get(serverId);
    if (!server || !isServerInService(server)) {
      throw new RouterError('no_server', `${serverId} is not in service`);
    }
    if (!isOwner(serverId)) {
      throw new RouterError('not_owner', `${serverId} has another owner`);
    }
    return ownedServers.get(serverId) ?? addServer(server);
  }

  /** Adds servers that this instance has come to own, then lists all owned. */
  function listPolledServers(): BackendServer[] {
    for (const server of fileSet?.servers.values() ?? []) {
      if (
        !ownedServers.has(server.id) &&
        isServerInService(server) &&
        isOwner(server.id)
      ) {
        addServer(server);
      }
    }
    return [...ownedServers.values()].map(target => target.server);
  }

  function stepQueue(target: OwnedServer, message: QueueMessage): void {
    for (const action of target.stepQueue(message, clock.now())) {
      const attempt = attempts.get(action.request.attemptId);
      if (attempt) {
        actionHandlers[action.type](target, attempt, action);
      }
    }
  }

  const actionHandlers: Record<
    QueueAction['type'],
    (target: OwnedServer, attempt: Attempt, action: QueueAction) => void
  > = {
    dispatch: (target, attempt) => void startAttempt(target, attempt),
    preempt: (target, attempt) => {
      const {className, tier} = attempt.request;
      logger.debug('preempted', {server: target.server.id, className, tier});
      metrics.count('owner.preempted', 1, {class: className});
      attempt.preemption.abort();
    },
    refuse: (_target, attempt, action) => {
      const code = action.type === 'refuse' ? action.code : 'internal';
      metrics.count('owner.refused', 1, {code});
      refuseAttempt(
        attempt,
        new RouterError(code, refusalDetails[code] ?? code),
      );
    },
  };

  async function startAttempt(
    target: OwnedServer,
    attempt: Attempt,
  ): Promise<void> {
    const startedAt = clock.now();
    attempt.isRunning = true;
    const {className, requestId} = attempt.request;
    const waitMs = startedAt - attempt.queuedAt;
    metrics.timing('owner.wait', waitMs, {class: className});
    logger.debug('attempt_dispatched', {
      server: target.server.id,
      request: requestId,
      class: className,
      waitMs,
    });
    const report = await runAttempt({
      attempt,
      engines,
      clock,
      address: target.server.address,
      idleTimeoutMs: fileSet!.files['service.json'].maximumRequestMs,
    });
    metrics.timing('owner.attempt', clock.now() - startedAt);
    if (report.isAbandoned) {
      // The slot stays taken, since the engine may not have stopped the stream.
      const isWarm = target.describeLoad().phase === 'serving';
      await waitFor(isWarm ? WARM_CANCEL_DELAY_MS : STARTING_CANCEL_DELAY_MS);
    }
    endAttempt(target, attempt, report);
  }

  function observeAttempt(
    target: OwnedServer,
    {request}: Attempt,
    report: AttemptReport,
  ): void {
    const {msPerToken, firstTokenMs} = report;
    if (firstTokenMs > 0) {
      target.observeFirstToken(firstTokenMs);
    }
    if (msPerToken > 0) {
      target.observeSpeed(msPerToken);
    }
    if (report.isServerFailure) {
      target.stepLimit({type: 'failed'});
      return;
    }
    if (report.isComplete) {
      const targets = fileSet!.classes.get(request.className)?.targets;
      const targetMsPerToken = targets?.betweenTokensMs ?? Infinity;
      target.stepLimit({type: 'completed', msPerToken, targetMsPerToken});
    }
  }

  function endAttempt(
    target: OwnedServer,
    attempt: Attempt,
    report: AttemptReport,
  ): void {
    const {attemptId, body} = attempt.request;
    attempts.delete(attemptId);
    observeAttempt(target, attempt, report);
    const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN);
    const tokens = promptTokens + report.outputTokens;
    stepQueue(target, {type: 'finish', attemptId, tokens});
  }

  function refuseAttempt(attempt: Attempt, error: RouterError): void {
    const {attemptId} = attempt.request;
    attempts.delete(attemptId);
    void attempt.events.push(makeFailure(attemptId, attempt.offset, error));
    attempt.events.end();
  }

  function enqueueAttempt(attempt: Attempt): void {
    const {request, signal} = attempt;
    const target = getOwnedServer(request.serverId);
    attempts.set(request.attemptId, attempt);
    signal.addEventListener('abort', () =>
      cancelQueuedAttempt(target, attempt),
    );
    stepQueue(target, {
      type: 'enqueue',
      request: {
        attemptId: request.attemptId,
        className: request.className,
        customerId: request.customerId,
        tier: request.tier,
        deadline: clock.now() + request.slackMs,
        estimatedTokens: request.estimatedTokens,
      },
    });
    logger.debug('attempt_queued', {
      server: request.serverId,
      request: request.requestId,
      queued: target.describeLoad().queued,
    });
  }

  /**
   * Removes a cancelled attempt from the queue. A running one ends through its
   * signal and keeps its slot until then.
   */
  function cancelQueuedAttempt(target: OwnedServer, attempt: Attempt): void {
    const {attemptId} = attempt.request;
    if (!attempts.has(attemptId) || attempt.isRunning) {
      return;
    }
    const outcome = Outcome.NOT_RUN;
    refuseAttempt(
      attempt,
      new RouterError('cancelled', 'the caller disconnected', {outcome}),
    );
    stepQueue(target, {type: 'cancel', attemptId});
  }

  /**
   * Advances the queue of a server. If the server left service or has another
   * owner, refuses the queued requests and drops the server once it is idle.
   */
  function checkServer(target: OwnedServer): void {
    const {id} = target.server;
    const code = findDrainCode(id);
    if (code === undefined) {
      stepQueue(target, {type: 'tick'});
      return;
    }
    stepQueue(target, {type: 'drain', code});
    if (target.countRunning() === 0) {
      ownedServers.delete(id);
    }
  }

  function findDrainCode(serverId: string): ErrorCode | undefined {
    if (!isServerInService(fileSet?.servers.get(serverId))) {
      return 'no_server';
    }
    return isOwner(serverId) ? undefined : 'not_owner';
  }

  function applyServerConfiguration(target: OwnedServer): void {
    const server = fileSet!.servers.get(target.server.id);
    if (isServerInService(server)) {
      target.server = server!;
      target.stepLimit({type: 'return'});
      return;
    }
    target.stepLimit({type: 'drain'});
    checkServer(target);
  }

  return {
    start: () => {
      loadPoller.start();
      ticker = setInterval(
        () => [...ownedServers.values()].forEach(checkServer),
        TICK_INTERVAL_MS,
      );
    },
    stop: () => {
      loadPoller.stop();
      clearInterval(ticker);
    },
    dispatch: (request, signal) => {
      const attempt: Attempt = {
        request,
        events: createChannel<DispatchEvent>(),
        signal,
        preemption: new AbortController(),
        isRunning: false,
        queuedAt: clock.now(),
        offset: request.resumeOffset,
      };
      try {
        enqueueAttempt(attempt);
      } catch (error) {
        logger.debug('dispatch_refused', {attempt: request.attemptId});
        refuseAttempt(attempt, toRouterError(error, Outcome.NOT_RUN));
      }
      return attempt.events;
    },
    applyFileSet: set => {
      fileSet = set;
      [...ownedServers.values()].forEach(applyServerConfiguration);
    },
    listLoads: () =>
      [...ownedServers.values()].map(target => target.describeLoad()),
    listEngineLoads: () =>
      [...ownedServers.values()].map(target => {
        const report = engineReports.get(target.server.id);
        return {
          ...target.describeLoad(),
          inFlight: report?.running ?? 0,
          queued: report?.waiting ?? 0,
        };
      }),
  };
}
