/** Latest available loads of all backend servers, with their times. */
import type {ServerLoad} from '@buckthornbeam/membership';
import type {Clock} from '@buckthornbeam/shared';
import type {DispatchPolicy} from './dispatch_policy.js';
import type {Member} from './member.js';
import type {Owner} from './owner.js';

/** The load of a server and the time at which it was reported. */
export interface TimedServerLoad {
  load: ServerLoad;
  /** Monotonic time in milliseconds; -Infinity if unknown. */
  reportedAt: number;
}

/** Options of {@link listServerLoads}. */
export interface ServerLoadsOptions {
  clock: Clock;
  policy: DispatchPolicy;
  owner: Owner;
  member: Member;
}

/**
 * Lists the loads that peers reported, if the policy uses them, followed by
 * those of the servers that this instance owns. A server may be listed twice;
 * its last entry takes precedence.
 */
export function listServerLoads(
  options: ServerLoadsOptions,
): TimedServerLoad[] {
  const {clock, policy, owner, member} = options;
  const now = clock.now();
  if (policy.usesEngineReports) {
    // Engine reports have no age, so placement must treat them as stale.
    return owner.listEngineLoads().map(load => ({load, reportedAt: -Infinity}));
  }
  const ownLoads = owner.listLoads().map(load => ({load, reportedAt: now}));
  if (!policy.usesPeerLoads) {
    return ownLoads;
  }
  const peerLoads = member.listPeers().flatMap(peer =>
    peer.loads.map(load => ({
      load,
      reportedAt: peer.lastHeartbeatAt ?? -Infinity,
    })),
  );
  return [...peerLoads, ...ownLoads];
}
