/** The owner task: sole dispatcher to the backend servers that it owns. */
import {create} from '@bufbuild/protobuf';
import {ServiceState} from '@buckthornbeam/config';
import type {BackendServer, FileSet, Settings} from '@buckthornbeam/config';
import {createServerQueue} from '@buckthornbeam/decisions';
import type {QueueAction, ServerQueue} from '@buckthornbeam/decisions';
import type {ServerLoad} from '@buckthornbeam/membership';
import {DispatchEventSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {Outcome, RouterError, toRouterError} from '@buckthornbeam/shared';
import type {Clock, Logger, Metrics} from '@buckthornbeam/shared';
import {createChannel} from '../channel.js';
import type {Channel} from '../channel.js';
import type {EngineClient} from '../engine_client.js';

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
   * may start nothing there. To be read again at each dispatch.
   */
  getShare: (serverId: string, limit: number) => number;
}

/** The owner task. */
export interface Owner {
  /** Dispatches a request; the last event is `completed` or `failed`. */
  dispatch(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncIterable<DispatchEvent>;
  applyFileSet(set: FileSet): void;
  listLoads(): ServerLoad[];
}

interface OwnedServer {
  server: BackendServer;
  queue: ServerQueue;
}

interface Attempt {
  request: DispatchRequest;
  events: Channel<DispatchEvent>;
  signal: AbortSignal;
  /** Offset behind the last token that was passed on. */
  offset: number;
}

type EventBody = NonNullable<DispatchEvent['event']['case']>;
type EventValue<C extends EventBody> = Extract<
  DispatchEvent['event'],
  {case: C}
>['value'];
type EventInit<C extends EventBody> = Partial<
  Omit<EventValue<C>, '$typeName' | '$unknown'>
>;

function makeEvent<C extends EventBody>(
  attemptId: string,
  name: C,
  value: EventInit<C>,
): DispatchEvent {
  return create(DispatchEventSchema, {
    attemptId,
    event: {case: name, value} as never,
  });
}

function makeFailure(attempt: Attempt, error: RouterError): DispatchEvent {
  return makeEvent(attempt.request.attemptId, 'failed', {
    code: error.code,
    detail: error.message,
    outcome: error.outcome,
    offset: attempt.offset,
    retryAfterMs: error.retryAfterMs ?? 0,
  });
}

/** Creates the owner task. */
export function createOwner(options: OwnerOptions): Owner {
  const {settings, clock, logger, metrics, engines} = options;
  const owned = new Map<string, OwnedServer>();
  const attempts = new Map<string, Attempt>();
  let fileSet: FileSet | undefined;

  function getOwned(serverId: string): OwnedServer {
    const known = owned.get(serverId);
    if (known) {
      return known;
    }
    const server = fileSet?.servers.get(serverId);
    if (!server || server.state === ServiceState.OUT) {
      throw new RouterError('no_server', `${serverId} is not in service`);
    }
    const created: OwnedServer = {
      server,
      queue: createServerQueue({
        limit: server.capacity.requests,
        maximumQueued: settings.limits.maximumQueuedRequests,
      }),
    };
    owned.set(serverId, created);
    return created;
  }

  async function runAttempt(
    target: OwnedServer,
    attempt: Attempt,
  ): Promise<void> {
    const {request, events, signal} = attempt;
    const {attemptId} = request;
    const startedAt = clock.now();
    try {
      await events.push(makeEvent(attemptId, 'started', {}));
      const answer = engines.streamAnswer({
        address: target.server.address,
        attemptId,
        requestId: request.requestId,
        tier: request.tier,
        resumeOffset: request.resumeOffset,
        body: request.body,
        signal,
        idleTimeoutMs: fileSet!.files['service.json'].maximumRequestMs,
      });
      for await (const {offset, tokens, data} of answer) {
        attempt.offset = offset + tokens;
        const chunk = {offset, tokens, data: Buffer.from(data)};
        await events.push(makeEvent(attemptId, 'chunk', chunk));
      }
      const totalTokens = attempt.offset;
      await events.push(makeEvent(attemptId, 'completed', {totalTokens}));
    } catch (error) {
      await events.push(makeFailure(attempt, toRouterError(error)));
    } finally {
      metrics.timing('owner.attempt', clock.now() - startedAt);
      endAttempt(target, attempt);
    }
  }

  function endAttempt(target: OwnedServer, attempt: Attempt): void {
    const {attemptId} = attempt.request;
    attempts.delete(attemptId);
    attempt.events.end();
    applyActions(
      target,
      target.queue.step({type: 'finish', attemptId}, clock.now()),
    );
  }

  function applyActions(
    target: OwnedServer,
    actions: readonly QueueAction[],
  ): void {
    for (const action of actions) {
      const attempt = attempts.get(action.request.attemptId);
      if (!attempt) {
        continue;
      }
      if (action.type === 'dispatch') {
        void runAttempt(target, attempt);
      } else {
        refuseAttempt(
          attempt,
          new RouterError(action.code, 'the queue is full'),
        );
      }
    }
  }

  function refuseAttempt(attempt: Attempt, error: RouterError): void {
    attempts.delete(attempt.request.attemptId);
    void attempt.events.push(makeFailure(attempt, error));
    attempt.events.end();
  }

  function enqueueAttempt(attempt: Attempt): void {
    const {request} = attempt;
    if (!options.isOwner(request.serverId)) {
      throw new RouterError('not_owner', `${request.serverId} is not owned`);
    }
    const target = getOwned(request.serverId);
    attempts.set(request.attemptId, attempt);
    const queued = {
      attemptId: request.attemptId,
      className: request.className,
      customerId: request.customerId,
      tier: request.tier,
      deadline: clock.now() + request.slackMs,
      estimatedTokens: request.estimatedTokens,
    };
    applyActions(
      target,
      target.queue.step({type: 'enqueue', request: queued}, clock.now()),
    );
    logger.debug('attempt_queued', {
      server: request.serverId,
      request: request.requestId,
      queued: target.queue.countQueued(),
    });
    attempt.signal.addEventListener('abort', () =>
      cancelWaiting(target, attempt),
    );
  }

  /** A running attempt ends by its own signal; a waiting one has to be removed. */
  function cancelWaiting(target: OwnedServer, attempt: Attempt): void {
    const {attemptId} = attempt.request;
    if (!attempts.has(attemptId)) {
      return;
    }
    applyActions(
      target,
      target.queue.step({type: 'cancel', attemptId}, clock.now()),
    );
    refuseAttempt(
      attempt,
      new RouterError('cancelled', 'the caller left', {
        outcome: Outcome.UNKNOWN,
      }),
    );
  }

  return {
    dispatch: (request, signal) => {
      const events = createChannel<DispatchEvent>();
      const attempt = {request, events, signal, offset: request.resumeOffset};
      try {
        enqueueAttempt(attempt);
      } catch (error) {
        logger.debug('dispatch_refused', {attempt: request.attemptId});
        refuseAttempt(attempt, toRouterError(error, Outcome.NOT_RUN));
      }
      return events;
    },
    applyFileSet: set => {
      fileSet = set;
      for (const [id, target] of owned) {
        const server = set.servers.get(id);
        if (!server || server.state === ServiceState.OUT) {
          owned.delete(id);
        } else {
          target.server = server;
        }
      }
    },
    listLoads: () =>
      [...owned].map(([serverId, {queue}]) => ({
        serverId,
        limit: queue.limit,
        inFlight: queue.countRunning(),
        queued: queue.countQueued(),
      })),
  };
}
