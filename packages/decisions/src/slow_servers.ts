/** Detects servers that are much slower than the median, with hysteresis. */

/** Options of {@link createSlowServerDetector}. */
export interface SlowServerDetectorOptions {
  /** A server counts as slow below this ratio of the median rate. */
  slowRatio?: number;
  /** A slow server counts as recovered above this ratio of the median rate. */
  recoveredRatio?: number;
  /** Consecutive observations required to change the verdict. */
  confirmations?: number;
}

export interface SlowServerDetector {
  /** Evaluates the rate of one stream on each server, in tokens per second. */
  observe(rates: ReadonlyMap<string, number>): void;
  isSlow(serverId: string): boolean;
}

interface Verdict {
  isSlow: boolean;
  /** Consecutive observations that contradict the verdict. */
  contraryCount: number;
}

/** Minimum number of servers for a meaningful median. */
const MINIMUM_SERVERS = 3;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

export function createSlowServerDetector(
  options: SlowServerDetectorOptions = {},
): SlowServerDetector {
  const {slowRatio = 0.5, recoveredRatio = 0.75, confirmations = 3} = options;
  const verdicts = new Map<string, Verdict>();

  function observeServer(serverId: string, ratio: number): void {
    const verdict = verdicts.get(serverId) ?? {
      isSlow: false,
      contraryCount: 0,
    };
    verdicts.set(serverId, verdict);
    const isContrary = verdict.isSlow
      ? ratio > recoveredRatio
      : ratio < slowRatio;
    verdict.contraryCount = isContrary ? verdict.contraryCount + 1 : 0;
    if (verdict.contraryCount >= confirmations) {
      verdict.isSlow = !verdict.isSlow;
      verdict.contraryCount = 0;
    }
  }

  return {
    observe: rates => {
      for (const serverId of verdicts.keys()) {
        if (!rates.has(serverId)) {
          verdicts.delete(serverId);
        }
      }
      if (rates.size < MINIMUM_SERVERS) {
        return;
      }
      const median = computeMedian([...rates.values()]);
      for (const [serverId, rate] of rates) {
        observeServer(serverId, rate / median);
      }
    },
    isSlow: serverId => verdicts.get(serverId)?.isSlow ?? false,
  };
}
