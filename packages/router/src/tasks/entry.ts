/** The entry task: the operations behind the HTTP API for callers. */
import type {FileSet, ServiceRoute} from '@buckthornbeam/config';
import type {TicketResult} from '@buckthornbeam/decisions';
import {RouterError} from '@buckthornbeam/shared';
import type {Clock, Logger, RandomSource} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {PeerTraffic} from '../peer_server.js';
import type {ServiceCall, ServiceClient} from '../service_client.js';
import {createAdmission} from './admission.js';
import type {AdmittedRequest} from './admission.js';
import type {AnswerChunk, ChatRequest} from './chat_request.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import {listEntries} from './entry_list.js';
import type {EntryList} from './entry_list.js';
import {listServerLoads} from './server_loads.js';
import type {Member} from './member.js';
import type {Owner} from './owner.js';
import {createPlacer} from './placer.js';
import {createRelay} from './relay.js';
import {describeStatus} from './status.js';
import type {TicketAnswer, TicketCalls} from './ticket_calls.js';

/** Options of {@link createEntry}. */
export interface EntryOptions {
  identity: Identity;
  /** Returns the `host:port` of this instance's caller server. */
  getCallerAddress: () => string;
  clock: Clock;
  logger: Logger;
  random: RandomSource;
  clients: PeerClients;
  member: Member;
  policy: DispatchPolicy;
  owner: Owner;
  services: ServiceClient;
  tickets: TicketCalls;
  findFileSet: () => FileSet | undefined;
  isLeaving: () => boolean;
  getPeerTraffic: () => PeerTraffic;
}

/**
 * The entry task. A request that can't be served throws a {@link RouterError}.
 */
export interface Entry {
  getCustomerId(apiKeyDigest: string): string;
  /** Yields the answer to its end; aborting `signal` cancels the request. */
  answer(
    customerId: string,
    request: ChatRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerChunk>;
  getServiceRoute(name: string, method: string, path: string): ServiceRoute;
  callService(call: ServiceCall): Promise<TicketResult>;
  /** Issues a ticket that authorises a call, without executing it. */
  issueTicket(customerId: string, call: ServiceCall, key: string): string;
  executeTicket(
    customerId: string,
    ticketText: string,
    call: ServiceCall,
  ): Promise<TicketAnswer>;
  /** Lists the instances to use, those in the caller's data centre first. */
  listEntries(callerDataCentre: string | null): EntryList;
  describeStatus(): Record<string, unknown>;
}
export function createEntry(options: EntryOptions): Entry {
  const {identity, clock, random, clients, member, policy, owner} = options;

  function getFileSet(): FileSet {
    const set = options.findFileSet();
    if (!set) {
      throw new RouterError('not_ready', 'no file set has been loaded yet');
    }
    return set;
  }

  const admission = createAdmission({
    clock,
    getFileSet,
    countInstances: () => member.listPeers().length + 1,
  });
  const placer = createPlacer({
    random,
    clock,
    getFileSet,
    listLoads: () => listServerLoads({clock, policy, owner, member}),
  });
  const relay = createRelay({
    identity,
    clients,
    member,
    owner,
    placer,
    policy,
    isDeterministic: model =>
      getFileSet().models.get(model)?.deterministic ?? false,
  });

  /** Rejects new requests on an isolated instance, whose view may be stale. */
  function assertNotIsolated(): void {
    if (member.isIsolated()) {
      throw new RouterError(
        'isolated',
        'neither the configuration service nor a majority of the peers has confirmed the view',
      );
    }
  }

  /** Relays an answer and charges its actual length to the customer's rate. */
  async function* relayAdmitted(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk> {
    let outputTokens = 0;
    let isComplete = false;
    try {
      for await (const chunk of relay.relay(admitted, signal)) {
        outputTokens += chunk.tokens;
        yield chunk;
      }
      // A resumed answer lacks its first part, so its length is no sample.
      isComplete = admitted.request.resumeOffset === 0;
    } finally {
      admission.settle(admitted, outputTokens, isComplete);
    }
  }

  return {
    getCustomerId: apiKeyDigest => admission.getCustomerId(apiKeyDigest),
    async *answer(customerId, request, signal) {
      assertNotIsolated();
      const admitted = admission.accept(customerId, request);
      options.logger.debug('request_admitted', {request: request.requestId});
      yield* relayAdmitted(admitted, signal);
    },
    getServiceRoute: (name, method, path) => {
      const service = getFileSet().services.get(name);
      const route = service?.routes.find(
        item => item.method === method && item.path === path,
      );
      if (!route) {
        throw new RouterError(
          'unknown_service',
          `service "${name}" has no route ${method} ${path}`,
        );
      }
      return route;
    },
    callService: async call => {
      assertNotIsolated();
      return options.services.callIdempotent(call);
    },
    issueTicket: (customerId, call, key) => {
      assertNotIsolated();
      return options.tickets.issue(customerId, call, key);
    },
    executeTicket: (customerId, ticketText, call) =>
      options.tickets.execute(customerId, ticketText, call),
    listEntries: callerDataCentre =>
      listEntries(
        {
          identity,
          callerAddress: options.getCallerAddress(),
          member,
          isServing:
            !options.isLeaving() && member.isReady() && !member.isIsolated(),
        },
        callerDataCentre,
      ),
    describeStatus: () =>
      describeStatus({
        identity,
        member,
        owner,
        fileSet: options.findFileSet(),
        isLeaving: options.isLeaving(),
        peerTraffic: options.getPeerTraffic(),
      }),
  };
}
