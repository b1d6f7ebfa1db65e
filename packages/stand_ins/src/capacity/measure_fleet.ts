/** Measures the control-plane cost of an entry in a fleet without traffic. */
import {waitFor} from '@buckthornbeam/shared';
import {startFleet} from './fleet.js';
import type {EntryStatus, Fleet, FleetOptions} from './fleet.js';
import {readProcessUsage} from './process_usage.js';

/** Control-plane cost; a mean per entry unless stated otherwise. */
export interface FleetCost {
  entries: number;
  servers: number;
  /** Bytes per second sent to and received from other instances. */
  peerBytesPerSecond: number;
  /** Calls per second received from peers. */
  peerCallsPerSecond: number;
  /** CPU time as a fraction of one core. */
  cpuShare: number;
  residentBytes: number;
  /** Reads and watches per second at the configuration service, whole fleet. */
  platformCallsPerSecond: number;
  /** Servers owned by the busiest owner, divided by the mean per entry. */
  ownedServersPeakToMean: number;
}

/** Options of {@link measureFleet}. */
export interface MeasureFleetOptions extends FleetOptions {
  durationMs: number;
  /** Delay between readiness of the fleet and the start of the measurement. */
  settleMs: number;
}

interface Sample {
  takenAt: number;
  cpuMs: number;
  residentBytes: number;
  peerBytes: number;
  peerCalls: number;
  serviceCalls: number;
}

function sumOver<T>(items: readonly T[], getValue: (item: T) => number) {
  return items.reduce((total, item) => total + getValue(item), 0);
}

async function takeSample(fleet: Fleet): Promise<Sample> {
  const statuses = await fleet.fetchStatuses();
  const usages = fleet.entries.map(entry => readProcessUsage(entry.child.pid!));
  return {
    takenAt: performance.now(),
    cpuMs: sumOver(usages, usage => usage.cpuMs),
    residentBytes: sumOver(usages, usage => usage.residentBytes),
    peerBytes: sumOver(
      statuses,
      ({peerTraffic}) => peerTraffic.bytesIn + peerTraffic.bytesOut,
    ),
    peerCalls: sumOver(statuses, ({peerTraffic}) => peerTraffic.calls),
    serviceCalls: fleet.configurationService.countCalls(),
  };
}

function computePeakToMean(status: EntryStatus, entries: number): number {
  const counts = new Map<string, number>();
  for (const {owner} of status.servers) {
    counts.set(owner!, (counts.get(owner!) ?? 0) + 1);
  }
  return (Math.max(...counts.values()) * entries) / status.servers.length;
}

/** Starts a fleet, measures it for `durationMs` and stops it. */
export async function measureFleet(
  options: MeasureFleetOptions,
): Promise<FleetCost> {
  const {entries} = options;
  const fleet = await startFleet(options);
  try {
    await waitFor(options.settleMs);
    const before = await takeSample(fleet);
    await waitFor(options.durationMs);
    const after = await takeSample(fleet);
    const seconds = (after.takenAt - before.takenAt) / 1000;
    const [status] = await fleet.fetchStatuses();
    // Only the server side of a peer call counts its bytes; the client side
    // transfers the same number.
    const peerBytes = 2 * (after.peerBytes - before.peerBytes);
    return {
      entries,
      servers: status!.servers.length,
      peerBytesPerSecond: peerBytes / seconds / entries,
      peerCallsPerSecond:
        (after.peerCalls - before.peerCalls) / seconds / entries,
      cpuShare: (after.cpuMs - before.cpuMs) / 1000 / seconds / entries,
      residentBytes: after.residentBytes / entries,
      platformCallsPerSecond:
        (after.serviceCalls - before.serviceCalls) / seconds,
      ownedServersPeakToMean: computePeakToMean(status!, entries),
    };
  } finally {
    await fleet.stop();
  }
}
