/** What holds a request back: more urgent ones that lack the same capacity. */
import {createRankHeadroom} from '@buckthornbeam/decisions';
import type {RankReserve, RoomShortages} from '@buckthornbeam/decisions';
import type {Route} from '../model.js';
import type {SelectionClusterState} from '../state/server_selection.js';
import {AdmissionReason} from './admission_reason.js';

/** A service that may serve a request. */
export interface CapacityTarget {
  name: string;
  /** Identifies the part of its servers that may. */
  key: string;
}

/** The most urgent positions that lack capacity at this instance, by target key. */
export type BlockedPositions = Map<string, number>;

/** A request that lacks capacity. */
export interface LackingRequest {
  position: number;
  /** Ids of servers that must not be chosen. */
  excluded: ReadonlySet<string>;
}

/** Options of {@link createCapacityHolds}. */
export interface CapacityHoldOptions {
  clusterState: Pick<SelectionClusterState, 'listServers'>;
  shortages: RoomShortages;
  reserve: RankReserve;
}

export interface CapacityHolds {
  /** Finds what holds a request back from a service; undefined if nothing does. */
  find(
    target: CapacityTarget,
    position: number,
    blocked: BlockedPositions,
    now: number,
  ): AdmissionReason | undefined;
  /** Computes the fraction of the usual backlog that a request may meet. */
  computeBacklogFactor(
    targets: readonly CapacityTarget[],
    position: number,
    now: number,
  ): number;
  /** Lets the request hold back less urgent ones of this instance. */
  addBlocked(
    blocked: BlockedPositions,
    targets: readonly CapacityTarget[],
    request: LackingRequest,
  ): void;
  /**
   * Announces the lack. It holds back less urgent requests of all instances if these use
   * the same capacity. Shares of rates and connections are of one instance: those that
   * others leave unused would be lost.
   */
  announce(
    targets: readonly CapacityTarget[],
    request: LackingRequest & {isShared: boolean},
    now: number,
  ): void;
}

/** Position of a shortage that holds nothing back. */
const LAST_POSITION = 1;

/** Lists the services of a route once each. */
export function listTargets({
  targets,
  allowedRegions,
}: Route): CapacityTarget[] {
  const names = new Set(targets.map(target => target.serviceName));
  // Requests that are restricted to regions wait for a part of the servers, so that they
  // hold back those with the same restriction only.
  const suffix =
    allowedRegions.length === 0 ? '' : `@${[...allowedRegions].sort().join()}`;
  return [...names].map(name => ({name, key: `${name}${suffix}`}));
}

export function createCapacityHolds({
  clusterState,
  shortages,
  reserve,
}: CapacityHoldOptions): CapacityHolds {
  /** Whether servers exist that have not failed the request, or none at all. */
  function hasOtherServer(
    {name}: CapacityTarget,
    {excluded}: LackingRequest,
  ): boolean {
    const servers = clusterState.listServers(name);
    return (
      servers.length === 0 ||
      servers.some(({server}) => !excluded.has(server.id))
    );
  }

  const headroom = createRankHeadroom();

  return {
    computeBacklogFactor: (targets, position, now) =>
      Math.min(
        ...targets.map(({name}) =>
          headroom.computeFactor(
            name,
            position,
            shortages.isHeldBack(name, position, now),
            now,
          ),
        ),
      ),
    find: ({name, key}, position, blocked, now) => {
      if (reserve.canPass(name, position)) {
        return undefined;
      }
      const keys = key === name ? [name] : [name, key];
      if (keys.some(item => (blocked.get(item) ?? Infinity) < position)) {
        return AdmissionReason.ORDER;
      }
      return keys.some(item => shortages.isHeldBack(item, position, now))
        ? AdmissionReason.SHORTAGE
        : undefined;
    },
    addBlocked: (blocked, targets, request) => {
      for (const target of targets) {
        const present = blocked.get(target.key) ?? Infinity;
        if (request.position < present && hasOtherServer(target, request)) {
          blocked.set(target.key, request.position);
        }
      }
    },
    announce: (targets, request, now) => {
      for (const target of targets) {
        if (!hasOtherServer(target, request)) {
          continue;
        }
        const {name, key} = target;
        if (request.isShared) {
          shortages.record(key, request.position, now);
        }
        if (!request.isShared || key !== name) {
          // Shows that capacity of the service is scarce.
          shortages.record(name, LAST_POSITION, now);
        }
      }
    },
  };
}
