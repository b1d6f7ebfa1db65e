/** Checks of gossiping fleets that several tests share. */
import {createGossipFleet} from './gossip_fleet.js';
import type {FleetInstance, GossipFleet} from './gossip_fleet.js';

/** Time in which the fleets of these tests have settled after their start. */
export const SETTLED_MS = 8000;
/** Longest time in which a change of the load must be seen by all instances. */
export const LOAD_AGE_LIMIT_MS = 1000;
export const SERVER = 'server';

export function createSettledFleet(count: number, lossRatio = 0, seed = 1) {
  const fleet = createGossipFleet({count, lossRatio, seed});
  fleet.run(SETTLED_MS);
  return fleet;
}

export function listRunning(fleet: GossipFleet): FleetInstance[] {
  return fleet.instances.filter(instance => instance.isRunning);
}

export function countInFlight(
  fleet: GossipFleet,
  instance: FleetInstance,
): number {
  return instance.loads.getLoad(SERVER, fleet.now).inFlight;
}

/** Whether each running instance counts this number of requests at the server. */
export function isCounted(fleet: GossipFleet, requests: number): boolean {
  return listRunning(fleet).every(
    instance => countInFlight(fleet, instance) === requests,
  );
}

export function listPublishers(fleet: GossipFleet): FleetInstance[] {
  return listRunning(fleet).filter(({node}) => node.isPublishing());
}
