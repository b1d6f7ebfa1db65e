/** Waits until the budget of a service has a repeat for a request. */
import {waitFor} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {RepeatBudgets} from '../state/repeat_budgets.js';

/** Options of {@link waitForRepeat}. */
export interface RepeatWaitOptions {
  budgets: Pick<RepeatBudgets, 'take'>;
  serviceName: string;
  /** End of the wait; the budget is asked once if it is past or absent. */
  waitUntil: number | undefined;
  clock: Clock;
  /** Aborted when the caller disconnects. */
  disconnectSignal: AbortSignal;
  stopSignal: AbortSignal;
}

const POLL_MS = 25;

/** Takes a repeat; false if there is none in time. */
export async function waitForRepeat(
  options: RepeatWaitOptions,
): Promise<boolean> {
  const {budgets, serviceName, clock, waitUntil = -Infinity} = options;
  const {disconnectSignal, stopSignal} = options;
  while (!disconnectSignal.aborted && !stopSignal.aborted) {
    const now = clock.now();
    if (budgets.take(serviceName, now)) {
      return true;
    }
    if (now + POLL_MS > waitUntil) {
      return false;
    }
    await waitFor(POLL_MS, disconnectSignal);
  }
  return false;
}
