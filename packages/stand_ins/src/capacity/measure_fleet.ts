/** Control cost of one entry in a fleet without load. */
import {waitFor} from '@buckthornbeam/shared';
import {startFleet} from './fleet.js';
import type {EntryStatus, Fleet, FleetOptions} from './fleet.js';
import {readProcessUsage} from './process_usage.js';

/** Cost of control per entry, as the mean over the fleet. */
export interface FleetCost {
  entries: number;
  servers: number;
  /** Bytes sent and received a second between instances. */
  peerBytesPerSecond: number;
  /** Calls a second that an entry receives from peers. */
  peerCallsPerSecond: number;
  /** Processor time as a share of one core. */
  cpuShare: number;
  residentBytes: number;
  /** Reads and watches a second at the platform, over the whole fleet. */
  platformCallsPerSecond: number;
  /** Most servers that one entry owns, against the mean. */
  ownedServersPeakToMean: number;
}

/** Options of {@link measureFleet}. */
export interface MeasureFleetOptions extends FleetOptions {
  /** Length of the measurement, in milliseconds. */
  durationMs: number;
  /** Time to settle before it, in milliseconds. */
  settleMs: number;
}

interface Sample {
  at: number;
  cpuMs: number;
  residentBytes: number;
  peerBytes: number;
  peerCalls: number;
  platformCalls: number;
}

function sumOver<T>(items: readonly T[], getValue: (item: T) => number) {
  return items.reduce((total, item) => total + getValue(item), 0);
}

async function takeSample(fleet: Fleet): Promise<Sample> {
  const statuses = await fleet.fetchStatuses();
  const usages = fleet.entries.map(entry => readProcessUsage(entry.child.pid!));
  return {
    at: performance.now(),
    cpuMs: sumOver(usages, usage => usage.cpuMs),
    residentBytes: sumOver(usages, usage => usage.residentBytes),
    peerBytes: sumOver(
      statuses,
      ({peerTraffic}) => peerTraffic.bytesIn + peerTraffic.bytesOut,
    ),
    peerCalls: sumOver(statuses, ({peerTraffic}) => peerTraffic.calls),
    platformCalls: fleet.platform.countCalls(),
  };
}

function computePeakToMean(status: EntryStatus, entries: number): number {
  const counts = new Map<string, number>();
  for (const {owner} of status.servers) {
    counts.set(owner!, (counts.get(owner!) ?? 0) + 1);
  }
  return (Math.max(...counts.values()) * entries) / status.servers.length;
}

/** Starts a fleet, measures it for a while and stops it. */
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
    const seconds = (after.at - before.at) / 1000;
    const [status] = await fleet.fetchStatuses();
    // Every byte is counted by its server alone; its client sees it as well.
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
        (after.platformCalls - before.platformCalls) / seconds,
      ownedServersPeakToMean: computePeakToMean(status!, entries),
    };
  } finally {
    await fleet.stop();
  }
}
