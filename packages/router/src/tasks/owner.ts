/** The owner task: sole dispatcher to the backend servers that it owns. */
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
import {createLoadReports} from './load_reports.js';
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
  /** Whether this instance owns a server now. */
  isOwner: (serverId: string) => boolean;
  /**
   * How much of a limit of the server this instance may use now; 0 when it
   * may start nothing there. Read again at each step of a queue.
   */
  getShare: (serverId: string, limit: number) => number;
}

/** The owner task. */
export interface Owner {
  start(): void;
  stop(): void;
  /** Dispatches a request; the last event is `completed` or `failed`. */
  dispatch(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncIterable<DispatchEvent>;
  applyFileSet(set: FileSet): void;
  listLoads(): ServerLoad[];
  /** Loads as the engines reported them last, for the baselines. */
  listEngineLoads(): ServerLoad[];
}

/** Period of the check for urgent requests and lost servers. */
const TICK_MS = 50;
/** Period of the load reports and of the search for servers to own. */
const REPORT_PERIOD_MS = 500;
/** Time for a warm engine to notice that a stream was given up. */
const WARM_GRACE_MS = 25;
/** The same for one that has just started and bears no request too many. */
const STARTING_GRACE_MS = 500;
/** Bytes of a body that make one token, for the accounts. */
const BYTES_PER_TOKEN = 4;

const refusalDetails: Partial<Record<ErrorCode, string>> = {
  overloaded: 'the queue is full and holds nothing of a lower tier',
  no_server: 'the backend server was taken out of service',
  not_owner: 'another instance owns the backend server now',
};

/** Creates the owner task. */
export function createOwner(options: OwnerOptions): Owner {
  const {settings, clock, logger, metrics, engines, isOwner} = options;
  const owned = new Map<string, OwnedServer>();
  const attempts = new Map<string, Attempt>();
  const engineReports = new Map<string, LoadReport>();
  let fileSet: FileSet | undefined;
  let ticker: NodeJS.Timeout | undefined;
  const reports = createLoadReports({
    periodMs: REPORT_PERIOD_MS,
    engines,
    logger,
    listServers: listReportedServers,
    countOwn: id => owned.get(id)?.countRunning() ?? 0,
    onReport: ({id}, report, ownRunning) => {
      const {incarnation, completed, running, waiting} = report;
      engineReports.set(id, report);
      const target = owned.get(id);
      target?.foreignWork.recordReport(running + waiting, ownRunning);
      target?.stepLimit({type: 'report', incarnation, completed});
      if (target) {
        checkServer(target);
      }
    },
    onMissing: ({id}) => {
      const target = owned.get(id);
      target?.foreignWork.recordMissing();
      if (target) {
        checkServer(target);
      }
    },
  });

  function isServed(server: BackendServer | undefined): boolean {
    return server !== undefined && isInService(fileSet!, server);
  }

  function addServer(server: BackendServer): OwnedServer {
    const created = createOwnedServer({
      server,
      maximumQueuedRequests: settings.limits.maximumQueuedRequests,
      logger,
      getFileSet: () => fileSet!,
      getShare: options.getShare,
    });
    owned.set(server.id, created);
    // The report tells whether the server is warm already.
    void reports.fetchReport(server);
    return created;
  }

  function getOwned(serverId: string): OwnedServer {
    const server = fileSet?.servers.get(serverId);
    if (!server || !isServed(server)) {
      throw new RouterError('no_server', `${serverId} is not in service`);
    }
    if (!isOwner(serverId)) {
      throw new RouterError('not_owner', `${serverId} is not owned`);
    }
    return owned.get(serverId) ?? addServer(server);
  }

  function listReportedServers(): BackendServer[] {
    for (const server of fileSet?.servers.values() ?? []) {
      if (!owned.has(server.id) && isServed(server) && isOwner(server.id)) {
        addServer(server);
      }
    }
    return [...owned.values()].map(target => target.server);
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
      // The engine may still count the stream as running.
      const isWarm = target.describeLoad().phase === 'serving';
      await waitFor(isWarm ? WARM_GRACE_MS : STARTING_GRACE_MS);
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
    const prompt = Math.ceil(body.length / BYTES_PER_TOKEN);
    const tokens = prompt + report.outputTokens;
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
    const target = getOwned(request.serverId);
    attempts.set(request.attemptId, attempt);
    signal.addEventListener('abort', () => cancelWaiting(target, attempt));
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

  /** A running attempt ends by its signal and holds its place until then. */
  function cancelWaiting(target: OwnedServer, attempt: Attempt): void {
    const {attemptId} = attempt.request;
    if (!attempts.has(attemptId) || attempt.isRunning) {
      return;
    }
    const outcome = Outcome.NOT_RUN;
    refuseAttempt(
      attempt,
      new RouterError('cancelled', 'the caller left', {outcome}),
    );
    stepQueue(target, {type: 'cancel', attemptId});
  }

  /** Gives queued work back where nothing may be dispatched any more. */
  function checkServer(target: OwnedServer): void {
    const {id} = target.server;
    const code = findDrainCode(id);
    if (code === undefined) {
      stepQueue(target, {type: 'tick'});
      return;
    }
    stepQueue(target, {type: 'drain', code});
    if (target.countRunning() === 0) {
      owned.delete(id);
    }
  }

  function findDrainCode(serverId: string): ErrorCode | undefined {
    if (!isServed(fileSet?.servers.get(serverId))) {
      return 'no_server';
    }
    return isOwner(serverId) ? undefined : 'not_owner';
  }

  function applyServer(target: OwnedServer): void {
    const server = fileSet!.servers.get(target.server.id);
    if (isServed(server)) {
      target.server = server!;
      target.stepLimit({type: 'return'});
      return;
    }
    target.stepLimit({type: 'drain'});
    checkServer(target);
  }

  return {
    start: () => {
      reports.start();
      ticker = setInterval(
        () => [...owned.values()].forEach(checkServer),
        TICK_MS,
      );
    },
    stop: () => {
      reports.stop();
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
      [...owned.values()].forEach(applyServer);
    },
    listLoads: () => [...owned.values()].map(target => target.describeLoad()),
    listEngineLoads: () =>
      [...owned.values()].map(target => {
        const report = engineReports.get(target.server.id);
        return {
          ...target.describeLoad(),
          inFlight: report?.running ?? 0,
          queued: report?.waiting ?? 0,
        };
      }),
  };
}
