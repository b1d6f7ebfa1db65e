/** Dispatch policies: which instance dispatches to a server, and how much. */
import {Policy} from '@buckthornbeam/config';
import type {Member} from './member.js';

export interface DispatchPolicy {
  /** Finds the instance that dispatches requests to the server. */
  findOwner(serverId: string): string | undefined;
  /** Requests that this instance may run at once on the server; 0 for none. */
  getShare(serverId: string, limit: number): number;
  /** Whether placement uses only the loads that the engines report. */
  readonly usesEngineReports: boolean;
  /** Whether placement also uses the loads that peers report. */
  readonly usesPeerLoads: boolean;
}

/** Options of {@link createDispatchPolicy}. */
export interface DispatchPolicyOptions {
  policy: Policy;
  instanceId: string;
  member: Member;
}

/**
 * Creates the policy named in the settings. `owner` is the policy for
 * production; the others are baselines for benchmarks.
 */
export function createDispatchPolicy(
  options: DispatchPolicyOptions,
): DispatchPolicy {
  const {policy, instanceId, member} = options;
  const policies: Record<Policy, () => DispatchPolicy> = {
    [Policy.OWNER]: () => ({
      findOwner: serverId => member.findOwner(serverId),
      getShare: (serverId, limit) => member.getShare(serverId, limit),
      usesEngineReports: false,
      usesPeerLoads: true,
    }),
    [Policy.INDEPENDENT]: () => ({
      findOwner: () => instanceId,
      getShare: (_serverId, limit) => limit,
      usesEngineReports: true,
      usesPeerLoads: false,
    }),
    [Policy.QUOTA]: () => ({
      findOwner: () => instanceId,
      getShare: (_serverId, limit) => {
        const instances = member.listPeers().length + 1;
        return Math.max(1, Math.floor(limit / instances));
      },
      usesEngineReports: false,
      usesPeerLoads: false,
    }),
  };
  return policies[policy]();
}
