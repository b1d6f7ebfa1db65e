/** Relay: attempts of one request, from the owners to the caller. */
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
import {createPlacements} from './placements.js';
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

/** How far a request got over its attempts. */
interface Progress {
  /** Offset behind the last token that was passed on. */
  offset: number;
  outcome: Outcome;
  /** Failures in a row without a token. */
  failures: number;
  hasAdvanced: boolean;
  /** Server of the last attempt. */
  serverId?: string;
}

/** Relays answers. */
export interface Relay {
  /** Yields the whole answer or throws a {@link RouterError}. */
  relay(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk>;
}

/** Shortest and longest pause after a failure without progress. */
const MINIMUM_BACKOFF_MS = 20;
const MAXIMUM_BACKOFF_MS = 2000;

/** Codes of refusals that say how to go on by themselves. */
const REFUSALS: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'preempted',
  'overloaded',
  'not_owner',
  'no_server',
]);

function isRefusal(error: unknown): boolean {
  return error instanceof RouterError && REFUSALS.has(error.code);
}

function computeBackoff(error: RouterError, failures: number): number {
  const backoffMs = MINIMUM_BACKOFF_MS * 2 ** failures;
  return Math.min(
    MAXIMUM_BACKOFF_MS,
    Math.max(error.retryAfterMs ?? 0, backoffMs),
  );
}

/** An error with the outcome of all attempts together. */
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

/** Creates the relay of one instance. */
export function createRelay(options: RelayOptions): Relay {
  const {identity, clients, member, owner, placer, policy} = options;
  const budgets = new Map<string, RetryBudget>();

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
      throw new RouterError('peer_unreachable', `${ownerId} is not known`);
    }
    const client = clients.getClient(peer.peerAddress);
    return client.dispatch.dispatch(request, {signal});
  }

  function getBudget(requestClass: RequestClass): RetryBudget {
    const budget = budgets.get(requestClass.name) ?? createRetryBudget();
    budgets.set(requestClass.name, budget);
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

  /** What is generated anew by chance can go on at its own server only. */
  function choosePlace(
    admitted: AdmittedRequest,
    progress: Progress,
    refusedBy: ReadonlySet<string>,
  ): string {
    const isFree =
      progress.offset === 0 || options.isDeterministic(admitted.request.model);
    if (isFree) {
      return placer.place(admitted, refusedBy);
    }
    if (progress.serverId === undefined) {
      throw new RouterError(
        'answer_not_resumable',
        'the model is not deterministic and its server is not known here',
        {outcome: Outcome.UNKNOWN},
      );
    }
    return progress.serverId;
  }

  function makeDispatch(
    admitted: AdmittedRequest,
    progress: Progress,
    refusedBy: ReadonlySet<string>,
  ): DispatchRequest {
    const {request, customerId, requestClass, estimatedTokens} = admitted;
    return create(DispatchRequestSchema, {
      requestId: request.requestId,
      attemptId: randomUUID(),
      serverId: choosePlace(admitted, progress, refusedBy),
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

  /** Decides on the pause before the next attempt, or throws. */
  function planRetry(
    error: unknown,
    pauseMs: number | undefined,
    budget: RetryBudget,
    progress: Progress,
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
    // A resumed answer repeats no work; an attempt without a token does.
    if (!budget.take()) {
      throw failure;
    }
    progress.failures += 1;
    return Math.max(pauseMs, computeBackoff(failure, progress.failures));
  }

  async function* relayOnce(
    dispatch: DispatchRequest,
    signal: AbortSignal,
    progress: Progress,
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
      const progress: Progress = {
        offset: resumeOffset,
        // What a caller resumes has run before.
        outcome: resumeOffset > 0 ? Outcome.UNKNOWN : Outcome.NOT_RUN,
        failures: 0,
        hasAdvanced: false,
      };
      const budget = getBudget(admitted.requestClass);
      budget.record(admitted.requestClass.retryBudget);
      const placements = createPlacements();
      for (;;) {
        let serverId = '';
        try {
          const dispatch = placements.makeNext(refusedBy =>
            makeDispatch(admitted, progress, refusedBy),
          );
          serverId = dispatch.serverId;
          yield* relayOnce(dispatch, signal, progress);
          return;
        } catch (error) {
          const isPlaced = serverId !== '';
          const pauseMs =
            isPlaced && !signal.aborted
              ? placements.observe(error, serverId)
              : undefined;
          await waitFor(planRetry(error, pauseMs, budget, progress), signal);
        }
      }
    },
  };
}
