/** Relay: runs the attempts of a request and joins them to one answer. */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import type {RequestClass} from '@buckthornbeam/config';
import {createRetryBudget, mergeOutcomes} from '@buckthornbeam/decisions';
import type {RetryBudget} from '@buckthornbeam/decisions';
import {DispatchRequestSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {
  Outcome,
  RouterError,
  toRouterError,
  waitFor,
} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {AdmittedRequest} from './admission.js';
import {openAttemptStream} from './attempt_stream.js';
import type {AnswerChunk} from './chat_request.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import type {Member} from './member.js';
import type {Owner} from './owner.js';
import {createPlacementTracker} from './placement_tracker.js';
import type {Placer} from './placer.js';

/** Options of {@link createRelay}. */
export interface RelayOptions {
  identity: Identity;
  clients: PeerClients;
  member: Member;
  owner: Owner;
  placer: Placer;
  policy: DispatchPolicy;
  /** Whether a model gives the same answer to the same prompt. */
  isDeterministic: (model: string) => boolean;
}

/** Progress of a request over all of its attempts. */
interface RelayProgress {
  /** Offset after the last token sent to the caller. */
  offset: number;
  /** Merged outcome of the attempts. */
  outcome: Outcome;
  /** Consecutive failed attempts without a token. */
  failures: number;
  /** Whether the current attempt has delivered a chunk. */
  hasAdvanced: boolean;
  /** Server of the last attempt. */
  serverId?: string;
}

export interface Relay {
  /**
   * Yields the answer to its end. Retries and resumes failed attempts, and
   * throws a {@link RouterError} if that is not possible.
   */
  relay(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk>;
}

/** Bounds of the exponential backoff after failures without a token. */
const MINIMUM_BACKOFF_MS = 20;
const MAXIMUM_BACKOFF_MS = 2000;

/**
 * Refusals: the placement tracker sets their pauses, without a retry budget.
 */
const REFUSAL_CODES: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'preempted',
  'overloaded',
  'not_owner',
  'no_server',
]);

function isRefusal(error: unknown): boolean {
  return error instanceof RouterError && REFUSAL_CODES.has(error.code);
}

function computeBackoff(error: RouterError, failures: number): number {
  const backoffMs = MINIMUM_BACKOFF_MS * 2 ** failures;
  return Math.min(
    MAXIMUM_BACKOFF_MS,
    Math.max(error.retryAfterMs ?? 0, backoffMs),
  );
}

/** Returns the error with the merged outcome of all attempts. */
function toFinalError(error: unknown, earlier: Outcome): RouterError {
  const last = toRouterError(error);
  const outcome = mergeOutcomes(earlier, last.outcome);
  const {retryAfterMs} = last;
  return outcome === last.outcome
    ? last
    : new RouterError(last.code, last.message, {
        cause: last,
        outcome,
        ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
      });
}

export function createRelay(options: RelayOptions): Relay {
  const {identity, clients, member, owner, placer, policy} = options;
  const retryBudgets = new Map<string, RetryBudget>();

  function forwardToOwner(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncIterable<DispatchEvent> {
    const ownerId = policy.findOwner(request.serverId);
    if (ownerId === undefined || ownerId === identity.instanceId) {
      return owner.dispatch(request, signal);
    }
    const peer = member.findPeer(ownerId);
    if (!peer) {
      throw new RouterError(
        'peer_unreachable',
        `owner ${ownerId} is not in the peer list`,
      );
    }
    const client = clients.getClient(peer.peerAddress);
    return client.dispatch.dispatch(request, {signal});
  }

  function getBudget(requestClass: RequestClass): RetryBudget {
    const budget = retryBudgets.get(requestClass.name) ?? createRetryBudget();
    retryBudgets.set(requestClass.name, budget);
    return budget;
  }

  function openAttempt(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk> {
    const ownerId = policy.findOwner(request.serverId);
    return openAttemptStream({
      request,
      signal,
      isDeterministic: options.isDeterministic(request.model),
      open: forwardToOwner,
      isOwnerCurrent: () => policy.findOwner(request.serverId) === ownerId,
    });
  }

  /**
   * Chooses the server of the next attempt. A partial answer of a
   * non-deterministic model can be resumed only on the server that began it.
   */
  function chooseServer(
    admitted: AdmittedRequest,
    progress: RelayProgress,
    refusedBy: ReadonlySet<string>,
  ): string {
    const canUseAnyServer =
      progress.offset === 0 || options.isDeterministic(admitted.request.model);
    if (canUseAnyServer) {
      return placer.place(admitted, refusedBy);
    }
    if (progress.serverId === undefined) {
      throw new RouterError(
        'answer_not_resumable',
        'the server that began this non-deterministic answer is not known',
        {outcome: Outcome.UNKNOWN},
      );
    }
    return progress.serverId;
  }

  function makeDispatch(
    admitted: AdmittedRequest,
    progress: RelayProgress,
    refusedBy: ReadonlySet<string>,
  ): DispatchRequest {
    const {request, customerId, requestClass, estimatedTokens} = admitted;
    return create(DispatchRequestSchema, {
      requestId: request.requestId,
      attemptId: randomUUID(),
      serverId: chooseServer(admitted, progress, refusedBy),
      className: requestClass.name,
      customerId,
      model: request.model,
      tier: requestClass.tier,
      slackMs: requestClass.targets.firstTokenMs,
      estimatedTokens,
      body: Buffer.from(JSON.stringify({...request.body, stream: true})),
      resumeOffset: progress.offset,
      entryIncarnation: identity.incarnation,
    });
  }

  /**
   * Returns the pause before the next attempt in milliseconds. Throws the final
   * error if there must not be another attempt.
   */
  function planRetry(
    error: unknown,
    pauseMs: number | undefined,
    budget: RetryBudget,
    progress: RelayProgress,
  ): number {
    const failure = toFinalError(error, progress.outcome);
    progress.outcome = failure.outcome;
    if (pauseMs === undefined || failure.code === 'answer_not_resumable') {
      throw failure;
    }
    if (isRefusal(error)) {
      return pauseMs;
    }
    if (progress.hasAdvanced) {
      progress.failures = 0;
      return pauseMs;
    }
    // Only attempts without a token use the budget: a resumed answer continues
    // the earlier work, while these repeat it.
    if (!budget.take()) {
      throw failure;
    }
    progress.failures += 1;
    return Math.max(pauseMs, computeBackoff(failure, progress.failures));
  }

  async function* relayAttempt(
    dispatch: DispatchRequest,
    signal: AbortSignal,
    progress: RelayProgress,
  ): AsyncGenerator<AnswerChunk> {
    progress.serverId = dispatch.serverId;
    progress.hasAdvanced = false;
    for await (const chunk of openAttempt(dispatch, signal)) {
      yield chunk;
      progress.offset = chunk.offset + chunk.tokens;
      progress.hasAdvanced = true;
    }
  }

  return {
    async *relay(admitted, signal) {
      const {resumeOffset} = admitted.request;
      const progress: RelayProgress = {
        offset: resumeOffset,
        // A resumed request has already run once.
        outcome: resumeOffset > 0 ? Outcome.UNKNOWN : Outcome.NOT_RUN,
        failures: 0,
        hasAdvanced: false,
      };
      const budget = getBudget(admitted.requestClass);
      budget.record(admitted.requestClass.retryBudget);
      const placementTracker = createPlacementTracker();
      for (;;) {
        let serverId = '';
        try {
          const dispatch = placementTracker.makeNext(refusedBy =>
            makeDispatch(admitted, progress, refusedBy),
          );
          serverId = dispatch.serverId;
          yield* relayAttempt(dispatch, signal, progress);
          return;
        } catch (error) {
          const isPlaced = serverId !== '';
          const pauseMs =
            isPlaced && !signal.aborted
              ? placementTracker.recordError(error, serverId)
              : undefined;
          await waitFor(planRetry(error, pauseMs, budget, progress), signal);
        }
      }
    },
  };
}
