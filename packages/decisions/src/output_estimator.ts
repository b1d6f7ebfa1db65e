/**
 * Estimates output lengths as a quantile of recent answers of the same kind.
 */
import {LRUCache} from 'lru-cache';

/** Properties of a request that its output length depends on. */
export interface OutputKey {
  className: string;
  customerId: string;
  model: string;
}

/** Options of {@link createOutputEstimator}. */
export interface OutputEstimatorOptions {
  /** Ratio of answers that should not exceed their estimate. */
  quantile?: number;
  /** Number of recent answers per estimate. */
  windowSize?: number;
  /** Maximum combinations of class, model and customer that are kept. */
  maximumKeys?: number;
}

/** Estimates output lengths in tokens. */
export interface OutputEstimator {
  /** Estimates a length, at most `maximum`, which is also the default. */
  estimate(key: OutputKey, maximum: number): number;
  /** Records the length of a complete answer. */
  observe(key: OutputKey, tokens: number): void;
}

interface LengthWindow {
  lengths: number[];
  /** Index of the oldest length, overwritten next. */
  next: number;
  estimate: number;
}

/**
 * Answers required for an estimate; with fewer from a customer, its class is
 * used.
 */
const MINIMUM_SAMPLES = 8;

export function createOutputEstimator(
  options: OutputEstimatorOptions = {},
): OutputEstimator {
  const {quantile = 0.8, windowSize = 64, maximumKeys = 4096} = options;
  const windows = new LRUCache<string, LengthWindow>({max: maximumKeys});

  function listKeys({className, customerId, model}: OutputKey): string[] {
    return [`${className}\n${model}\n${customerId}`, `${className}\n${model}`];
  }

  function observeWindow(key: string, tokens: number): void {
    const window = windows.get(key) ?? {lengths: [], next: 0, estimate: 0};
    windows.set(key, window);
    window.lengths[window.next] = tokens;
    window.next = (window.next + 1) % windowSize;
    const sorted = [...window.lengths].sort((a, b) => a - b);
    const rank = Math.ceil(sorted.length * quantile) - 1;
    window.estimate = sorted[Math.max(0, rank)]!;
  }

  return {
    estimate: (key, maximum) => {
      for (const name of listKeys(key)) {
        const window = windows.get(name);
        if (window && window.lengths.length >= MINIMUM_SAMPLES) {
          return Math.min(window.estimate, maximum);
        }
      }
      return maximum;
    },
    observe: (key, tokens) => {
      for (const name of listKeys(key)) {
        observeWindow(name, tokens);
      }
    },
  };
}
