/** Records how old and how wrong the loads were by which servers were chosen. */
import type {ServerLoads} from '@buckthornbeam/gateway';

/** Quantiles over the decisions. */
export interface Quantiles {
  p50: number;
  p95: number;
}

export interface Staleness {
  /** Age that the instances assume, in milliseconds; 0 without decisions. */
  ageMs: Quantiles;
  /** Mean error of the requests in flight at a server. */
  error: Quantiles;
}

export interface StalenessTracker {
  /** Compares what one instance assumes with the loads of all of them. */
  observe(loads: ServerLoads, now: number): void;
  describe(): Staleness;
}

function computeQuantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const [p50, p95] = [0.5, 0.95].map(
    ratio => sorted[Math.floor(sorted.length * ratio)] ?? 0,
  );
  return {p50: p50!, p95: p95!};
}

export function createStalenessTracker({
  serverIds,
  loads: allLoads,
}: {
  serverIds: readonly string[];
  loads: readonly ServerLoads[];
}): StalenessTracker {
  const ages: number[] = [];
  const errors: number[] = [];

  function countInFlight(serverId: string): number {
    return allLoads.reduce(
      (sum, loads) => sum + loads.getOwnInFlight(serverId),
      0,
    );
  }

  return {
    observe: (loads, now) => {
      const age = loads.findReportAge(now);
      if (age) {
        ages.push(age.ageMs);
        const sum = serverIds.reduce((total, id) => {
          const assumed = loads.getLoad(id, now).inFlight;
          return total + Math.abs(assumed - countInFlight(id));
        }, 0);
        errors.push(sum / serverIds.length);
      }
    },
    describe: () => ({
      ageMs: computeQuantiles(ages),
      error: computeQuantiles(errors),
    }),
  };
}
