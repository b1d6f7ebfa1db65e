/** Who dispatches to a backend server, by the policy in the settings. */
import {Policy} from '@buckthornbeam/config';
import type {Member} from './member.js';

/** The answers of a policy. */
export interface DispatchPolicy {
  /** Finds the instance that a request for the server goes to. */
  findOwner(serverId: string): string | undefined;
  /** Part of a server's limit that this instance may use now. */
  getShare(serverId: string, limit: number): number;
  /** Whether placement trusts the engines' own reports alone. */
  readonly usesEngineReports: boolean;
  /** Whether placement uses the loads that peers report. */
  readonly usesPeerLoads: boolean;
}

/** Options of {@link createDispatchPolicy}. */
export interface DispatchPolicyOptions {
  policy: Policy;
  instanceId: string;
  member: Member;
}

/** Creates the policy; all but `owner` are baselines for measurements. */
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
