/**
 * Estimates the time from a dispatch to its first token, with a safety margin.
 */

/** Options of {@link createLeadTime}. */
export interface LeadTimeOptions {
  /** Lower bound, also used before the first sample, in milliseconds. */
  minimumMs: number;
  /** Upper bound, in milliseconds. */
  maximumMs: number;
}

/** Estimate for one server. */
export interface LeadTime {
  /** Adds a sample, in milliseconds. */
  observe(ms: number): void;
  /** Estimated mean plus margin, within the bounds. */
  readonly ms: number;
}

const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Margin above the mean, in mean deviations. */
const MARGIN_DEVIATIONS = 2;

/**
 * Creates an estimate from the smoothed mean and mean deviation, like the
 * retransmission timeout of TCP (RFC 6298).
 */
export function createLeadTime(options: LeadTimeOptions): LeadTime {
  const {minimumMs, maximumMs} = options;
  let mean: number | undefined;
  let deviation = 0;
  return {
    observe: sample => {
      if (mean === undefined) {
        mean = sample;
        deviation = sample / 2;
        return;
      }
      const error = Math.abs(sample - mean);
      deviation += DEVIATION_GAIN * (error - deviation);
      mean += MEAN_GAIN * (sample - mean);
    },
    get ms() {
      const value = (mean ?? 0) + MARGIN_DEVIATIONS * deviation;
      return Math.min(maximumMs, Math.max(minimumMs, value));
    },
  };
}
