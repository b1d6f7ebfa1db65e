/** Estimates of unknown output lengths by quantiles of recent answers. */
import {LRUCache} from 'lru-cache';

/** What an answer's length depends on. */
export interface OutputKey {
  className: string;
  customerId: string;
  model: string;
}

/** Options of {@link createOutputEstimator}. */
export interface OutputEstimatorOptions {
  /** Part of the answers that should be no longer than their estimate. */
  quantile?: number;
  /** Recent answers that an estimate is made from. */
  windowSize?: number;
  /** Combinations of class, customer and model that are kept. */
  maximumKeys?: number;
}

/** Estimates output lengths in tokens. */
export interface OutputEstimator {
  /** Estimates a length; `maximum` where nothing is known, and the bound. */
  estimate(key: OutputKey, maximum: number): number;
  /** Takes the length of a whole answer. */
  observe(key: OutputKey, tokens: number): void;
}

interface LengthWindow {
  lengths: number[];
  next: number;
  estimate: number;
}

/** Answers of a customer below which those of its whole class are used. */
const MINIMUM_SAMPLES = 8;

/** Creates an estimator without observations. */
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
