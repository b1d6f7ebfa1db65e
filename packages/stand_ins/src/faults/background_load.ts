/** A low, steady load of chats of every class and of plain-service calls. */
import {waitFor} from '@buckthornbeam/shared';
import type {Caller} from './caller.js';
import type {TestCluster} from './test_cluster.js';

export interface BackgroundLoad {
  /** Stops sending; resolves once the calls in flight have ended. */
  stop(): Promise<void>;
}

const WORKERS_PER_CLASS = 2;
const CALL_INTERVAL_MS = 50;
const CLASS_PROBE_INTERVAL_MS = 200;

/** Starts the load, and polls every entry for whether it has `probedClass`. */
export function startBackgroundLoad(
  cluster: TestCluster,
  caller: Caller,
  probedClass: string,
): BackgroundLoad {
  let isStopped = false;

  async function runWorker(
    pauseMs: number,
    runRound: (count: number) => Promise<void>,
  ): Promise<void> {
    for (let count = 0; !isStopped; count++) {
      await runRound(count);
      await waitFor(pauseMs);
    }
  }

  const workers = [...cluster.fileSet.classes.keys()].flatMap((name, index) =>
    Array.from({length: WORKERS_PER_CLASS}, (_, worker) =>
      runWorker(CALL_INTERVAL_MS, count =>
        caller.chat({
          requestId: `${name}-${worker}-${count}`,
          className: name,
          entry: index + worker + count,
        }),
      ),
    ),
  );
  workers.push(
    runWorker(CALL_INTERVAL_MS, async count => {
      const reference = `certificate-${count}`;
      const ticket = await caller.fetchTicket(reference, count);
      if (ticket !== undefined) {
        await caller.presentTicket(reference, ticket, count + 1);
      }
    }),
    runWorker(CLASS_PROBE_INTERVAL_MS, async () => {
      await Promise.all(
        cluster.entries.map(entry => caller.probeClass(entry, probedClass)),
      );
    }),
  );
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(workers);
    },
  };
}
