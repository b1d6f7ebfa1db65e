/** Loads of all backend servers as far as this instance knows them. */
import type {ServerLoad} from '@buckthornbeam/membership';
import type {Clock} from '@buckthornbeam/shared';
import type {DispatchPolicy} from './dispatch_policy.js';
import type {Member} from './member.js';
import type {Owner} from './owner.js';

/** A load with the time of its origin. */
export interface KnownLoad {
  load: ServerLoad;
  /** Monotonic time in milliseconds. */
  reportedAt: number;
}

/** Options of {@link listKnownLoads}. */
export interface KnownLoadsOptions {
  clock: Clock;
  policy: DispatchPolicy;
  owner: Owner;
  member: Member;
}

/** Lists own loads, then those of peers where the policy uses them. */
export function listKnownLoads(options: KnownLoadsOptions): KnownLoad[] {
  const {clock, policy, owner, member} = options;
  const now = clock.now();
  if (policy.usesEngineReports) {
    // Reports are of unknown age: placement must not trust their order.
    return owner.listEngineLoads().map(load => ({load, reportedAt: -Infinity}));
  }
  const own = owner.listLoads().map(load => ({load, reportedAt: now}));
  if (!policy.usesPeerLoads) {
    return own;
  }
  const reported = member.listPeers().flatMap(peer =>
    peer.loads.map(load => ({
      load,
      reportedAt: peer.lastHeartbeatAt ?? -Infinity,
    })),
  );
  return [...reported, ...own];
}
