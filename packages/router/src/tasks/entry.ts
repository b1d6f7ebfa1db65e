/** The entry task: admits callers' requests and relays their answers. */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {ServiceState} from '@buckthornbeam/config';
import type {FileSet, RequestClass, ServiceRoute} from '@buckthornbeam/config';
import {
  createTokenBucket,
  decodeTicket,
  placeRequest,
} from '@buckthornbeam/decisions';
import type {
  PlacementCandidate,
  TicketResult,
  TokenBucket,
} from '@buckthornbeam/decisions';
import {DispatchRequestSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent, DispatchRequest} from '@buckthornbeam/protocol';
import {Outcome, RouterError, isErrorCode} from '@buckthornbeam/shared';
import type {Clock, Logger, Metrics, RandomSource} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {Issuer, ServiceCall} from './issuer.js';
import type {Member} from './member.js';
import type {Owner} from './owner.js';

/** A checked chat request. */
export interface ChatRequest {
  requestId: string;
  className: string;
  model: string;
  /** OpenAI-compatible body. */
  body: Record<string, unknown>;
  maximumTokens: number | undefined;
  /** Offset in tokens from which the caller wants to continue. */
  resumeOffset: number;
}

/** A part of an answer on its way to the caller. */
export interface AnswerChunk {
  offset: number;
  tokens: number;
  /** One OpenAI-compatible event, JSON. */
  data: string;
}

/** Addresses that a caller should use. */
export interface EntryList {
  entries: Array<{id: string; address: string; dataCentre: string}>;
  /** How long the caller may keep the list, in milliseconds. */
  keepMs: number;
}

/** Options of {@link createEntry}. */
export interface EntryOptions {
  identity: Identity;
  /** `host:port` that callers reach this instance at. */
  getCallerAddress: () => string;
  ticketKey: string;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  clients: PeerClients;
  member: Member;
  owner: Owner;
  issuer: Issuer;
  findFileSet: () => FileSet | undefined;
  isLeaving: () => boolean;
}

/** The entry task. */
export interface Entry {
  getCustomerId(apiKeyDigest: string): string;
  /** Yields the whole answer or throws a {@link RouterError}. */
  answer(
    customerId: string,
    request: ChatRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerChunk>;
  getServiceRoute(name: string, method: string, path: string): ServiceRoute;
  callService(call: ServiceCall): Promise<TicketResult>;
  issueTicket(customerId: string, serviceName: string, key: string): string;
  executeTicket(
    customerId: string,
    ticket: string,
    call: ServiceCall,
  ): Promise<TicketResult & {replayed: boolean}>;
  listEntries(dataCentre: string | null): EntryList;
  describeStatus(): Record<string, unknown>;
}

const ENTRIES_KEEP_MS = 10_000;

/** Attempts of one request before the caller is told. */
const MAXIMUM_ATTEMPTS = 4;

/** Characters of a prompt that make one token, for estimates. */
const CHARACTERS_PER_TOKEN = 4;

function estimateTokens(request: ChatRequest, maximumOutput: number): number {
  const characters = JSON.stringify(request.body['messages']).length;
  const prompt = Math.ceil(characters / CHARACTERS_PER_TOKEN);
  return (
    prompt + Math.min(request.maximumTokens ?? maximumOutput, maximumOutput)
  );
}

/** Creates the entry task. */
export function createEntry(options: EntryOptions): Entry {
  const {identity, clock, random, clients, member, owner, issuer} = options;
  const buckets = new Map<string, TokenBucket>();

  function getFileSet(): FileSet {
    const set = options.findFileSet();
    if (!set) {
      throw new RouterError('not_ready', 'no file set is in force');
    }
    return set;
  }

  function getClass(set: FileSet, name: string): RequestClass {
    const found = set.classes.get(name);
    if (!found) {
      throw new RouterError('unknown_class', `no class "${name}"`);
    }
    return found;
  }

  function takeCustomerTokens(customerId: string, tokens: number): void {
    const set = getFileSet();
    const customer = set.files['customers.json'].customers.find(
      item => item.id === customerId,
    )!;
    const bucket = buckets.get(customerId) ?? createTokenBucket(customer);
    buckets.set(customerId, bucket);
    const waitMs = bucket.take(tokens, clock.now());
    if (waitMs > 0) {
      throw new RouterError(
        'customer_limit',
        `${customerId} is over its rate`,
        {
          retryAfterMs: waitMs,
        },
      );
    }
  }

  function listCandidates(set: FileSet, model: string): PlacementCandidate[] {
    const loads = new Map(
      [
        ...owner.listLoads(),
        ...member.listPeers().flatMap(peer => peer.loads),
      ].map(load => [load.serverId, load]),
    );
    return [...set.servers.values()]
      .filter(
        server =>
          server.state === ServiceState.IN &&
          set.dataCentres.get(server.dataCentre)?.state === ServiceState.IN &&
          server.models.includes(model),
      )
      .map(server => {
        const load = loads.get(server.id);
        return {
          serverId: server.id,
          limit: load?.limit ?? server.capacity.startingRequests,
          inFlight: load?.inFlight ?? 0,
          queued: load?.queued ?? 0,
          sentSince: 0,
        };
      });
  }

  function forwardToOwner(
    request: DispatchRequest,
    signal: AbortSignal,
  ): AsyncIterable<DispatchEvent> {
    const ownerId = member.findOwner(request.serverId);
    if (ownerId === undefined || ownerId === identity.instanceId) {
      return owner.dispatch(request, signal);
    }
    const peer = member.findPeer(ownerId);
    if (!peer) {
      throw new RouterError('peer_unreachable', `${ownerId} is not known`);
    }
    return clients.getClient(peer.peerAddress).dispatch.dispatch(request, {
      signal,
    });
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
        throw new RouterError('answer_truncated', 'a chunk is missing', {
          outcome: Outcome.UNKNOWN,
        });
      }
      offset = chunk.offset + chunk.tokens;
      const data = Buffer.from(chunk.data).toString('utf8');
      yield {offset: chunk.offset, tokens: chunk.tokens, data};
    }
    throw new RouterError('answer_truncated', 'the owner ended the stream', {
      outcome: Outcome.UNKNOWN,
    });
  }

  function makeDispatch(
    customerId: string,
    request: ChatRequest,
    offset: number,
  ): DispatchRequest {
    const set = getFileSet();
    const requestClass = getClass(set, request.className);
    const placed = placeRequest(listCandidates(set, request.model), random);
    if (!placed) {
      throw new RouterError('no_server', `no server holds ${request.model}`);
    }
    return create(DispatchRequestSchema, {
      requestId: request.requestId,
      attemptId: randomUUID(),
      serverId: placed.serverId,
      className: requestClass.name,
      customerId,
      model: request.model,
      tier: requestClass.tier,
      slackMs: requestClass.targets.firstTokenMs,
      estimatedTokens: estimateTokens(
        request,
        requestClass.maximumOutputTokens,
      ),
      body: Buffer.from(JSON.stringify({...request.body, stream: true})),
      resumeOffset: offset,
      entryIncarnation: identity.incarnation,
    });
  }

  async function* answer(
    customerId: string,
    request: ChatRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk> {
    const set = getFileSet();
    const requestClass = getClass(set, request.className);
    if (!set.models.has(request.model)) {
      throw new RouterError('unknown_model', `no model "${request.model}"`);
    }
    takeCustomerTokens(
      customerId,
      estimateTokens(request, requestClass.maximumOutputTokens),
    );
    let offset = request.resumeOffset;
    for (let attempt = 1; ; attempt++) {
      const dispatch = makeDispatch(customerId, request, offset);
      try {
        for await (const chunk of relayAttempt(dispatch, signal)) {
          yield chunk;
          offset = chunk.offset + chunk.tokens;
        }
        return;
      } catch (error) {
        const isFinal = attempt >= MAXIMUM_ATTEMPTS || signal.aborted;
        if (isFinal || !isRetryable(error)) {
          throw error;
        }
      }
    }
  }

  /** Chat completions are idempotent; refusals to make room are not retried. */
  function isRetryable(error: unknown): boolean {
    return !(error instanceof RouterError) || error.code !== 'overloaded';
  }

  return {
    getCustomerId: apiKeyDigest => {
      const customer = getFileSet().customersByKeyDigest.get(apiKeyDigest);
      if (!customer) {
        throw new RouterError('unknown_customer', 'the API key is not known');
      }
      return customer.id;
    },
    answer,
    getServiceRoute: (name, method, path) => {
      const service = getFileSet().services.get(name);
      const route = service?.routes.find(
        item => item.method === method && item.path === path,
      );
      if (!route) {
        throw new RouterError(
          'unknown_service',
          `no call ${method} ${path} of service "${name}"`,
        );
      }
      return route;
    },
    callService: call => issuer.callService(call),
    issueTicket: (customerId, serviceName, key) =>
      issuer.issue(customerId, serviceName, key),
    executeTicket: async (customerId, text, call) => {
      const ticket = decodeTicket(text, options.ticketKey);
      if (
        ticket.customerId !== customerId ||
        ticket.serviceName !== call.serviceName
      ) {
        throw new RouterError(
          'ticket_invalid',
          'the ticket is for another call',
        );
      }
      if (ticket.issuerId === identity.instanceId) {
        return issuer.execute(ticket, call);
      }
      const peer = member.findPeer(ticket.issuerId);
      if (!peer) {
        throw new RouterError(
          'ticket_issuer_gone',
          `${ticket.issuerId} is gone`,
          {
            outcome: Outcome.UNKNOWN,
          },
        );
      }
      const response = await clients
        .getClient(peer.peerAddress)
        .ticket.executeTicket({
          ticket: text,
          customerId,
          serviceName: call.serviceName,
          path: call.path,
          contentType: call.contentType,
          body: call.body,
        });
      return {...response, outcome: response.outcome as Outcome};
    },
    listEntries: dataCentre => {
      const peers = member
        .listPeers()
        .filter(peer => peer.ready && peer.state === 'active');
      const entries = peers.map(peer => ({
        id: peer.id,
        address: peer.callerAddress,
        dataCentre: peer.dataCentre,
      }));
      if (!options.isLeaving() && options.findFileSet()) {
        entries.push({
          id: identity.instanceId,
          address: options.getCallerAddress(),
          dataCentre: identity.dataCentre,
        });
      }
      const near = dataCentre ?? identity.dataCentre;
      const rank = (item: {dataCentre: string}) =>
        item.dataCentre === near ? 0 : 1;
      entries.sort((a, b) => rank(a) - rank(b));
      return {entries, keepMs: ENTRIES_KEEP_MS};
    },
    describeStatus: () => ({
      instance: identity.instanceId,
      incarnation: identity.incarnation,
      dataCentre: identity.dataCentre,
      ready: options.findFileSet() !== undefined,
      leaving: options.isLeaving(),
      fileSet: options.findFileSet()?.version ?? null,
      peers: member.listPeers().map(peer => ({
        id: peer.id,
        state: peer.state,
        ready: peer.ready,
        fileSet: peer.fileSet ?? null,
      })),
      servers: [...(options.findFileSet()?.servers.keys() ?? [])].map(
        serverId => ({
          id: serverId,
          owner: member.findOwner(serverId) ?? null,
          ...owner.listLoads().find(load => load.serverId === serverId),
        }),
      ),
    }),
  };
}
