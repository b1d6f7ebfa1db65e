/** Counts what was refused for a limit of the machine, and logs it once a second. */
import type {Clock, Logger} from '@buckthornbeam/shared';
import {SECOND_MS} from '@buckthornbeam/shared';

export interface LimitReports {
  /** Counts a refusal; `reason` is a name for logs and metrics. */
  record(reason: string): void;
}

/** Options of {@link createLimitReports}. */
export interface LimitReportsOptions {
  clock: Pick<Clock, 'now'>;
  logger: Logger;
  /** Called for each refusal. */
  onRefusal?: (reason: string) => void;
}

export function createLimitReports({
  clock,
  logger,
  onRefusal = () => undefined,
}: LimitReportsOptions): LimitReports {
  let counts: Record<string, number> = {};
  let lastLoggedAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  function logCounts(): void {
    timer = undefined;
    lastLoggedAt = clock.now();
    logger.warn('limit_reached', counts);
    counts = {};
  }

  return {
    record: reason => {
      onRefusal(reason);
      counts[reason] = (counts[reason] ?? 0) + 1;
      if (timer === undefined) {
        const waitMs = Math.max(0, lastLoggedAt + SECOND_MS - clock.now());
        timer = setTimeout(logCounts, waitMs).unref();
      }
    },
  };
}
