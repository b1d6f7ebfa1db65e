/** What holds a request back: more urgent ones that lack the same capacity. */
import {createRankHeadroom, isShortPrompt} from '@buckthornbeam/decisions';
import type {RankReserve, RoomShortages} from '@buckthornbeam/decisions';
import type {RequestMetadata, Route} from '../model.js';
import type {SelectionClusterState} from '../state/server_selection.js';
import {AdmissionReason} from './admission_reason.js';

/** A service that may serve a request. */
export interface CapacityTarget {
  name: string;
  /** Identifies the capacity: part of the servers, and length of the prompt. */
  key: string;
  /** The capacity that the request lacks if it gets none; requests for it are held back. */
  lackedKeys: readonly string[];
  /** Less urgent requests for this capacity are held back with those for `key`. */
  heldKeys: readonly string[];
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

/** Marks the capacity for short prompts, which long ones lack longer. */
const SHORT_SUFFIX = '#short';

/** Lists the services of a route once each. */
export function listTargets(
  {targets, allowedRegions}: Route,
  {generation}: RequestMetadata,
): CapacityTarget[] {
  const names = new Set(targets.map(target => target.serviceName));
  // Requests that are restricted to regions wait for a part of the servers, so that they
  // hold back those with the same restriction only.
  const region =
    allowedRegions.length === 0 ? '' : `@${[...allowedRegions].sort().join()}`;
  // A long prompt that finds no room does not hold back short ones, which delay it by
  // little; otherwise one that cannot end in time refuses them while servers have room.
  const length =
    generation && isShortPrompt(generation.promptTokens) ? SHORT_SUFFIX : '';
  return [...names].map(name => ({
    name,
    key: `${name}${length}${region}`,
    lackedKeys: [...new Set([`${name}${length}${region}`, `${name}${region}`])],
    heldKeys: [...new Set([`${name}${length}`, `${name}${length}${region}`])],
  }));
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
        ...targets.map(({key, heldKeys}) =>
          headroom.computeFactor(
            key,
            position,
            heldKeys.some(item => shortages.isHeldBack(item, position, now)),
            now,
          ),
        ),
      ),
    find: ({name, heldKeys}, position, blocked, now) => {
      if (reserve.canPass(name, position)) {
        return undefined;
      }
      if (heldKeys.some(item => (blocked.get(item) ?? Infinity) < position)) {
        return AdmissionReason.ORDER;
      }
      return heldKeys.some(item => shortages.isHeldBack(item, position, now))
        ? AdmissionReason.SHORTAGE
        : undefined;
    },
    addBlocked: (blocked, targets, request) => {
      for (const target of targets) {
        if (!hasOtherServer(target, request)) {
          continue;
        }
        for (const key of target.lackedKeys) {
          const present = blocked.get(key) ?? Infinity;
          blocked.set(key, Math.min(present, request.position));
        }
      }
    },
    announce: (targets, request, now) => {
      for (const target of targets) {
        if (!hasOtherServer(target, request)) {
          continue;
        }
        const {name, lackedKeys} = target;
        if (request.isShared) {
          lackedKeys.forEach(key =>
            shortages.record(key, request.position, now),
          );
        }
        if (!request.isShared || !lackedKeys.includes(name)) {
          // Shows that capacity of the service is scarce.
          shortages.record(name, LAST_POSITION, now);
        }
      }
    },
  };
}
