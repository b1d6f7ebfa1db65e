/** Relay: attempts of one request, from the owners to the caller. */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {DispatchRequestSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {
  Outcome,
  RouterError,
  isErrorCode,
  waitFor,
} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {AdmittedRequest} from './admission.js';
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
}

/** Relays answers. */
export interface Relay {
  /** Yields the whole answer or throws a {@link RouterError}. */
  relay(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk>;
}

function toFailure(event: DispatchEvent): RouterError | undefined {
  if (event.event.case !== 'failed') {
    return undefined;
  }
  const {code, detail, outcome, retryAfterMs} = event.event.value;
  return new RouterError(isErrorCode(code) ? code : 'internal', detail, {
    outcome: outcome as Outcome,
    ...(retryAfterMs > 0 ? {retryAfterMs} : {}),
  });
}

function makeTruncated(detail: string): RouterError {
  return new RouterError('answer_truncated', detail, {
    outcome: Outcome.UNKNOWN,
  });
}

/** Creates the relay of one instance. */
export function createRelay(options: RelayOptions): Relay {
  const {identity, clients, member, owner, placer, policy} = options;

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

  /** Yields the chunks of one attempt; throws unless it completes. */
  async function* relayAttempt(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk> {
    let offset = request.resumeOffset;
    for await (const event of forwardToOwner(request, signal)) {
      const failure = toFailure(event);
      if (failure) {
        throw failure;
      }
      const isOwnAttempt = event.attemptId === request.attemptId;
      if (event.event.case === 'completed' && isOwnAttempt) {
        return;
      }
      if (event.event.case !== 'chunk' || !isOwnAttempt) {
        continue;
      }
      const chunk = event.event.value;
      if (chunk.offset !== offset) {
        throw makeTruncated('a chunk is missing');
      }
      offset = chunk.offset + chunk.tokens;
      const data = Buffer.from(chunk.data).toString('utf8');
      yield {offset: chunk.offset, tokens: chunk.tokens, data};
    }
    throw makeTruncated('the owner ended the stream');
  }

  function makeDispatch(
    admitted: AdmittedRequest,
    resumeOffset: number,
    refusedBy: ReadonlySet<string>,
  ): DispatchRequest {
    const {request, customerId, requestClass, estimatedTokens} = admitted;
    return create(DispatchRequestSchema, {
      requestId: request.requestId,
      attemptId: randomUUID(),
      serverId: placer.place(admitted, refusedBy),
      className: requestClass.name,
      customerId,
      model: request.model,
      tier: requestClass.tier,
      slackMs: requestClass.targets.firstTokenMs,
      estimatedTokens,
      body: Buffer.from(JSON.stringify({...request.body, stream: true})),
      resumeOffset,
      entryIncarnation: identity.incarnation,
    });
  }

  return {
    async *relay(admitted, signal) {
      let offset = admitted.request.resumeOffset;
      const placements = createPlacements();
      for (;;) {
        const dispatch = placements.makeNext(refusedBy =>
          makeDispatch(admitted, offset, refusedBy),
        );
        try {
          for await (const chunk of relayAttempt(dispatch, signal)) {
            yield chunk;
            offset = chunk.offset + chunk.tokens;
          }
          return;
        } catch (error) {
          const pauseMs = placements.observe(error, dispatch.serverId);
          if (signal.aborted || pauseMs === undefined) {
            throw error;
          }
          await waitFor(pauseMs, signal);
        }
      }
    },
  };
}
