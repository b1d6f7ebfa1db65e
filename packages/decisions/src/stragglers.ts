/** Detection of servers that are much slower than their peers. */

/** Options of {@link createStragglerDetector}. */
export interface StragglerDetectorOptions {
  /** A server becomes a straggler below this part of the median rate. */
  slowRatio?: number;
  /** It stops being one above this part. */
  recoveredRatio?: number;
  /** Observations in a row that change the verdict. */
  confirmations?: number;
}

/** Detects stragglers with hysteresis. */
export interface StragglerDetector {
  /** Takes the token rates of one stream on each server, tokens a second. */
  observe(rates: ReadonlyMap<string, number>): void;
  isStraggler(serverId: string): boolean;
}

interface Verdict {
  isStraggler: boolean;
  /** Observations in a row that speak against the verdict. */
  contrary: number;
}

/** Fewer servers than this have no meaningful median. */
const MINIMUM_PEERS = 3;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

/** Creates a detector without observations. */
export function createStragglerDetector(
  options: StragglerDetectorOptions = {},
): StragglerDetector {
  const {slowRatio = 0.5, recoveredRatio = 0.75, confirmations = 3} = options;
  const verdicts = new Map<string, Verdict>();

  function observeServer(serverId: string, ratio: number): void {
    const verdict = verdicts.get(serverId) ?? {isStraggler: false, contrary: 0};
    verdicts.set(serverId, verdict);
    const isContrary = verdict.isStraggler
      ? ratio > recoveredRatio
      : ratio < slowRatio;
    verdict.contrary = isContrary ? verdict.contrary + 1 : 0;
    if (verdict.contrary >= confirmations) {
      verdict.isStraggler = !verdict.isStraggler;
      verdict.contrary = 0;
    }
  }

  return {
    observe: rates => {
      for (const serverId of verdicts.keys()) {
        if (!rates.has(serverId)) {
          verdicts.delete(serverId);
        }
      }
      if (rates.size < MINIMUM_PEERS) {
        return;
      }
      const median = computeMedian([...rates.values()]);
      for (const [serverId, rate] of rates) {
        observeServer(serverId, rate / median);
      }
    },
    isStraggler: serverId => verdicts.get(serverId)?.isStraggler ?? false,
  };
}
