/**
 * Limits requests to cold servers over the whole fleet without messages: only
 * a few instances, ranked by rendezvous hashing for each server, use it at all.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';
import {createTokenBucket} from './token_bucket.js';
import type {TokenBucket} from './token_bucket.js';

/** What a cold server of a service tolerates. */
export interface ColdTolerance {
  /** Requests a second. */
  requestsPerSecond: number;
  /** Factor on the rate that the service allows for. */
  overage: number;
  /** Requests in a second beyond that. */
  slack: number;
}

/** Options of {@link createColdLimit}. */
export interface ColdLimitOptions {
  /** Identity of this instance among `instances`. */
  selfId: string;
}

/** Tells whether this instance may send a request to a cold server. */
export interface ColdLimit {
  /** Whether this instance is one of those that use the server. */
  isUser(serverId: string, instances: readonly string[]): boolean;
  /** Takes one request; false if the share of this instance is used up. */
  take(
    serverId: string,
    tolerance: ColdTolerance,
    instances: readonly string[],
    now: number,
  ): boolean;
  /** Forgets servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

/** Instances that use one cold server. More would need shares below one request. */
const MAXIMUM_USERS = 3;
/**
 * Part of the tolerance that is used. The rest covers the moments in which
 * instances rank by different views of the fleet.
 */
const USED_PART = 0.4;

/** Computes the request rate of one user of a cold server, per second. */
export function computeColdRate(
  tolerance: ColdTolerance,
  users: number,
): number {
  const total =
    tolerance.requestsPerSecond * tolerance.overage + tolerance.slack;
  return (total * USED_PART) / Math.max(1, users);
}

/** Creates a limit that has seen no request. */
export function createColdLimit(options: ColdLimitOptions): ColdLimit {
  const {selfId} = options;
  const buckets = new Map<string, TokenBucket>();

  function listUsers(
    serverId: string,
    instances: readonly string[],
  ): readonly string[] {
    return rankByRendezvous(serverId, instances).slice(0, MAXIMUM_USERS);
  }

  return {
    isUser: (serverId, instances) =>
      listUsers(serverId, instances).includes(selfId),
    take: (serverId, tolerance, instances, now) => {
      const users = listUsers(serverId, instances);
      if (!users.includes(selfId)) {
        return false;
      }
      const rate = {
        tokensPerSecond: computeColdRate(tolerance, users.length),
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
