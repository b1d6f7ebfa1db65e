/** The time from a dispatch to its first token, with a margin for its spread. */

/** Options of {@link createLeadTime}. */
export interface LeadTimeOptions {
  /** Used until something is known, and the least value, in milliseconds. */
  minimumMs: number;
  /** Largest value, in milliseconds. */
  maximumMs: number;
}

/** Follows the times to the first token of one server. */
export interface LeadTime {
  observe(ms: number): void;
  readonly ms: number;
}

const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Deviations above the mean that the margin covers. */
const MARGIN_DEVIATIONS = 2;

/**
 * Creates an estimate from the mean and the mean deviation, as TCP does for
 * its retransmission time (RFC 6298).
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
