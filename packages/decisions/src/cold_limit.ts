/**
 * Limits the requests of all instances to cold servers without coordination:
 * rendezvous hashing assigns a few instances to each server, and only these
 * send requests to it.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';
import {createTokenBucket} from './token_bucket.js';
import type {TokenBucket} from './token_bucket.js';

/** Request rate that a cold server of a service tolerates. */
export interface ColdTolerance {
  requestsPerSecond: number;
  /** Multiplier of the rate that the service accepts. */
  overage: number;
  /** Requests per second beyond the multiplied rate. */
  slack: number;
}

/** Options of {@link createColdLimit}. */
export interface ColdLimitOptions {
  /** This instance's id; an element of the `instances` of each call. */
  selfId: string;
}

/** Decides whether this instance may send a request to a cold server. */
export interface ColdLimit {
  /** Whether this instance is assigned to the server. */
  isAssigned(serverId: string, instances: readonly string[]): boolean;
  /**
   * Takes one request from this instance's share; false if the share is used
   * up or the instance is not assigned. `now` is in milliseconds.
   */
  take(
    serverId: string,
    tolerance: ColdTolerance,
    instances: readonly string[],
    now: number,
  ): boolean;
  /** Removes the state of servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

/**
 * Instances assigned to one cold server; the shares of more instances would be
 * below one request.
 */
const MAXIMUM_INSTANCES_PER_SERVER = 3;
/**
 * Ratio of the tolerated rate that is used. The remainder covers times at which
 * instances have different member lists and so disagree on the assignment.
 */
const USED_RATIO = 0.4;

/** Computes the rate of one assigned instance, in requests per second. */
export function computeColdRate(
  tolerance: ColdTolerance,
  assignedInstances: number,
): number {
  const total =
    tolerance.requestsPerSecond * tolerance.overage + tolerance.slack;
  return (total * USED_RATIO) / Math.max(1, assignedInstances);
}

export function createColdLimit(options: ColdLimitOptions): ColdLimit {
  const {selfId} = options;
  const buckets = new Map<string, TokenBucket>();

  function listAssigned(
    serverId: string,
    instances: readonly string[],
  ): readonly string[] {
    return rankByRendezvous(serverId, instances).slice(
      0,
      MAXIMUM_INSTANCES_PER_SERVER,
    );
  }

  return {
    isAssigned: (serverId, instances) =>
      listAssigned(serverId, instances).includes(selfId),
    take: (serverId, tolerance, instances, now) => {
      const assigned = listAssigned(serverId, instances);
      if (!assigned.includes(selfId)) {
        return false;
      }
      const rate = {
        tokensPerSecond: computeColdRate(tolerance, assigned.length),
        burstTokens: 1,
      };
      let bucket = buckets.get(serverId);
      if (!bucket) {
        bucket = createTokenBucket(rate);
        buckets.set(serverId, bucket);
      } else {
        bucket.resize(rate, now);
      }
      return bucket.take(1, now) === 0;
    },
    retain: serverIds => {
      for (const serverId of buckets.keys()) {
        if (!serverIds.has(serverId)) {
          buckets.delete(serverId);
        }
      }
    },
  };
}
