/** Assembles the tasks, servers and clients of one router instance. */
import {create} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {Settings} from '@buckthornbeam/config';
import {
  DispatchService,
  FetchFileSetResponseSchema,
  FetchInstancesResponseSchema,
  PeerService,
  ProbeResponseSchema,
  TicketService,
} from '@buckthornbeam/protocol';
import {
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
  hashToUint32,
} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {createEngineClient} from './engine_client.js';
import {startCallerServer} from './http/caller_server.js';
import type {CallerServer} from './http/caller_server.js';
import {createIdentity} from './identity.js';
import {createPeerClients} from './peer_clients.js';
import {startPeerServer} from './peer_server.js';
import type {PeerServer} from './peer_server.js';
import {createServiceClient} from './service_client.js';
import {createStopSequence} from './stop_sequence.js';
import {createAuditTrail} from './tasks/audit_trail.js';
import {createDispatchPolicy} from './tasks/dispatch_policy.js';
import {createEntry} from './tasks/entry.js';
import {createGauges} from './tasks/gauges.js';
import {createMember} from './tasks/member.js';
import {createOwner} from './tasks/owner.js';
import {createRecordedEntry} from './tasks/recorded_entry.js';
import {createTicketCalls} from './tasks/ticket_calls.js';
import {createWatcher} from './tasks/watcher.js';

/** Options of {@link createRouter}. */
export interface RouterOptions {
  settings: Settings;
  logger?: Logger;
  clock?: Clock;
}

export interface Router {
  /** Opens the sockets and starts the tasks; returns `host:port` of each. */
  start(): Promise<{callerAddress: string; peerAddress: string}>;
  /** Stops gracefully: requests in progress finish first. */
  stop(): Promise<void>;
  /**
   * Describes what would be lost if the process exited now, during a stop; one
   * item per step of the stop sequence.
   */
  listPending(): string[];
}

/** Creates a router; nothing runs until `start`. */
export function createRouter(options: RouterOptions): Router {
  const {settings} = options;
  const {id, dataCentre} = settings.instance;
  const clock = options.clock ?? createSystemClock();
  const logger =
    options.logger ??
    createLogger({level: settings.logLevel, context: {instance: id}});
  const metrics = createMetrics({
    ...settings.metrics,
    globalTags: {instance: id, dataCentre},
  });
  const identity = createIdentity(id, dataCentre);
  const random = createRandom(hashToUint32(identity.incarnation));
  const clients = createPeerClients();
  const engines = createEngineClient();
  let isLeaving = false;
  let callerServer: CallerServer | undefined;
  let peerServer: PeerServer | undefined;

  const watcher = createWatcher({
    settings,
    logger,
    clock,
    isConfigurationReader: () => member.isConfigurationReader(),
    onFileSet: set => {
      auditTrail.applyFileSet(set);
      owner.applyFileSet(set);
      member.applyFileSet(set);
    },
    onInstances: (instances, readAt) =>
      member.applyInstances(instances, readAt),
  });
  const findFileSet = () => watcher.findFileSet()?.set;
  const member = createMember({
    identity,
    settings,
    clock,
    logger,
    clients,
    random,
    findFileSet,
    listLoads: () => owner.listLoads(),
    isLeaving: () => isLeaving,
    onBundle: (bundle, source) =>
      watcher.post({type: 'bundle', bundle, source}),
  });
  const policy = createDispatchPolicy({
    policy: settings.policy,
    instanceId: id,
    member,
  });
  const owner = createOwner({
    settings,
    clock,
    logger,
    metrics,
    engines,
    isOwner: serverId => policy.findOwner(serverId) === id,
    getShare: (serverId, limit) => policy.getShare(serverId, limit),
  });
  const services = createServiceClient({
    maximumResponseBytes: settings.limits.maximumBodyBytes,
    getFileSet: () => findFileSet()!,
  });
  const tickets = createTicketCalls({
    identity,
    ticketKey: settings.ticketKey,
    clock,
    logger,
    clients,
    member,
    services,
    getFileSet: () => findFileSet()!,
    isLeaving: () => isLeaving,
  });
  const entry = createEntry({
    identity,
    getCallerAddress: () => callerServer!.address,
    clock,
    logger,
    random,
    clients,
    member,
    policy,
    owner,
    services,
    tickets,
    findFileSet,
    isLeaving: () => isLeaving,
    getPeerTraffic: () => peerServer!.getTraffic(),
  });

  const recordedEntry = createRecordedEntry({
    entry,
    clock,
    logger,
    metrics,
    findFileSet,
    sampleEvery: settings.logs.sampleEvery,
  });
  const auditTrail = createAuditTrail({
    instanceId: id,
    logger,
    findOwner: serverId => policy.findOwner(serverId),
  });
  const gauges = createGauges({clock, metrics, member, owner});

  function addPeerRoutes(router: ConnectRouter): void {
    router.service(PeerService, {
      heartbeat: request => member.handleHeartbeat(request),
      probe: request =>
        create(ProbeResponseSchema, {
          reachable: member.hasRecentHeartbeat(request.targetId),
        }),
      fetchInstances: () =>
        create(FetchInstancesResponseSchema, member.describeInstances()),
      fetchFileSet: () => {
        const current = watcher.findFileSet();
        return create(FetchFileSetResponseSchema, {
          bundle: Buffer.from(current?.bundle ?? ''),
        });
      },
    });
    router.service(DispatchService, {
      dispatch: (request, context) => owner.dispatch(request, context.signal),
    });
    router.service(TicketService, {
      executeTicket: request => tickets.handleExecute(request),
      claimKey: request => tickets.handleClaimKey(request),
      adoptTickets: request => tickets.handleAdopt(request),
    });
  }

  const stopSequence = createStopSequence({
    logger,
    steps: [
      {
        name: 'announce',
        run: async () => {
          isLeaving = true;
          await member.sendStateToNeighbours();
        },
      },
      {
        name: 'finish_callers',
        run: async () => callerServer?.close(),
      },
      {
        name: 'hand_over_tickets',
        run: () => tickets.handOver(),
        describePending: () => tickets.describePending(),
      },
      {
        name: 'close_tasks',
        run: async () => {
          await watcher.stop();
          member.stop();
          owner.stop();
          auditTrail.stop();
          gauges.stop();
          await peerServer?.close();
          clients.close();
          await engines.close();
          await services.close();
          await metrics.close();
        },
      },
    ],
  });

  return {
    start: async () => {
      peerServer = await startPeerServer(settings.peers, addPeerRoutes);
      callerServer = await startCallerServer(recordedEntry, settings);
      watcher.start();
      member.start();
      owner.start();
      auditTrail.start();
      gauges.start();
      const addresses = {
        callerAddress: callerServer.address,
        peerAddress: peerServer.address,
      };
      logger.info('started', {...addresses, incarnation: identity.incarnation});
      return addresses;
    },
    stop: () => stopSequence.run(),
    listPending: () => stopSequence.listPending(),
  };
}
