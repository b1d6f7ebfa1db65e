/** Decides whether a backend server may be sent a request now. */
import {
  ServerOutcome,
  createColdLimit,
  createServerOutcomes,
} from '@buckthornbeam/decisions';
import type {ColdTolerance} from '@buckthornbeam/decisions';
import type {BackendServer, Service} from '../model.js';
import type {FaultTracker} from './fault_tracker.js';
import type {ServerActivity} from './server_activity.js';
import type {TrackedServer} from './server_entries.js';
import type {ServerLoads} from './server_loads.js';
import type {StatementTracker} from './statement_tracker.js';

/** Options of {@link createServerAvailability}. */
export interface ServerAvailabilityOptions {
  selfId: string;
  loads: Pick<ServerLoads, 'getOwnInFlight'>;
  activity: ServerActivity;
  /** Multiplies the request rate that a service allows to a cold server. */
  coldOverage: number;
  /** Requests a second that a cold server accepts beyond that rate. */
  coldSlack: number;
  /** What servers state in their answers. */
  statements: StatementTracker;
  /** Faults seen by all instances; only the own ones count if absent. */
  faults?: FaultTracker | undefined;
}

export interface ServerAvailability {
  /**
   * Whether the server will accept requests: connections to it succeed, its open
   * answers go on, and it stated nothing that excludes it.
   */
  isUsable(server: BackendServer, now: number): boolean;
  /**
   * Whether the server can accept a request now, apart from a limit of its rate. A cold
   * server cannot unless this instance is one of the few that may use it.
   */
  canAccept(
    tracked: TrackedServer,
    service: Service,
    instances: readonly string[],
    now: number,
  ): boolean;
  /** Whether the server is cold and this instance is not one of the few that may use it. */
  isOutOfReach(
    tracked: TrackedServer,
    service: Service,
    instances: readonly string[],
    now: number,
  ): boolean;
  /** Whether the server is cold and its service limits the rate of requests to it. */
  isCold(tracked: TrackedServer, service: Service, now: number): boolean;
  /**
   * Computes the time until what the server states about itself allows a request,
   * after those ahead of it, in milliseconds.
   */
  computeWait(
    tracked: TrackedServer,
    instances: readonly string[],
    now: number,
    requestsAhead?: number,
  ): number;
  /** Uses up one request where a rate is limited; false if none is available. */
  claim(
    tracked: TrackedServer,
    service: Service,
    instances: readonly string[],
    now: number,
  ): boolean;
  /** Computes the recent ratio of failed requests, from 0 to 1. */
  computeFailureRate(serverId: string, now: number): number;
  recordOutcome(serverId: string, outcome: ServerOutcome, now: number): void;
  /** Removes the state of servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

/** Fraction of a server's connections that the fleet uses. */
const USABLE_CONNECTION_RATIO = 0.8;

export function createServerAvailability(
  options: ServerAvailabilityOptions,
): ServerAvailability {
  const {loads, activity, statements} = options;
  const outcomes = createServerOutcomes();
  const coldLimit = createColdLimit({selfId: options.selfId});

  function isReachable(serverId: string, now: number): boolean {
    return (
      !outcomes.isUnreachable(serverId, now) &&
      !activity.isUnresponsive(serverId, now)
    );
  }

  function hasFreeConnection(
    service: Service,
    serverId: string,
    instances: number,
  ): boolean {
    const share =
      (service.maximumConnections * USABLE_CONNECTION_RATIO) / instances;
    return loads.getOwnInFlight(serverId) < Math.max(1, Math.floor(share));
  }

  function isCold(
    tracked: TrackedServer,
    service: Service,
    now: number,
  ): boolean {
    return tracked.coldUntil > now && service.coldRequestsPerSecond > 0;
  }

  function isOutOfReach(
    tracked: TrackedServer,
    service: Service,
    instances: readonly string[],
    now: number,
  ): boolean {
    return (
      isCold(tracked, service, now) &&
      !coldLimit.isAssigned(tracked.server.id, instances)
    );
  }

  function getColdTolerance(service: Service): ColdTolerance {
    return {
      requestsPerSecond: service.coldRequestsPerSecond,
      overage: options.coldOverage,
      slack: options.coldSlack,
    };
  }

  function claimCold(
    tracked: TrackedServer,
    service: Service,
    instances: readonly string[],
    now: number,
  ): boolean {
    const tolerance = getColdTolerance(service);
    return (
      !isCold(tracked, service, now) ||
      coldLimit.take(tracked.server.id, tolerance, instances, now)
    );
  }

  return {
    isUsable: (server, now) =>
      isReachable(server.id, now) && !statements.isExcluded(server),
    canAccept: (tracked, service, instances, now) => {
      const {server} = tracked;
      const {id} = server;
      return (
        isReachable(id, now) &&
        !statements.isExcluded(server) &&
        hasFreeConnection(service, id, instances.length) &&
        !isOutOfReach(tracked, service, instances, now)
      );
    },
    isCold,
    isOutOfReach,
    computeWait: ({server}, instances, now, requestsAhead) =>
      statements.computeWait(server, {instances}, now, requestsAhead),
    claim: (tracked, service, instances, now) =>
      statements.canSend(tracked.server, {instances}, now) &&
      claimCold(tracked, service, instances, now) &&
      statements.take(tracked.server, {instances}, now),
    computeFailureRate: (serverId, now) =>
      Math.max(
        outcomes.computeFailureRate(serverId, now),
        options.faults?.computeFaultRate(serverId, now) ?? 0,
      ),
    recordOutcome: (serverId, outcome, now) => {
      outcomes.record(serverId, outcome, now);
      if (outcome !== ServerOutcome.UNREACHABLE) {
        options.faults?.record(serverId, outcome === ServerOutcome.FAULTY, now);
      }
    },
    retain: serverIds => {
      outcomes.retain(serverIds);
      options.faults?.retain(serverIds);
      coldLimit.retain(serverIds);
      activity.retain(serverIds);
    },
  };
}
