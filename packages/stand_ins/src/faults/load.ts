/** A small steady load of every class, and of non-idempotent calls. */
import {waitFor} from '@buckthornbeam/shared';
import type {Caller} from './caller.js';
import type {Site} from './site.js';

/** A running load. */
export interface Load {
  /** Ends the load; returns once its last calls have ended. */
  stop(): Promise<void>;
}

const WORKERS_PER_CLASS = 2;
const PAUSE_MS = 50;
const PROBE_MS = 200;

/** Starts the load and the probes of whether a class is in force. */
export function startLoad(
  site: Site,
  caller: Caller,
  probedClass: string,
): Load {
  let isStopped = false;

  async function runWorker(
    pauseMs: number,
    work: (count: number) => Promise<void>,
  ): Promise<void> {
    for (let count = 0; !isStopped; count++) {
      await work(count);
      await waitFor(pauseMs);
    }
  }

  const workers = [...site.fileSet.classes.keys()].flatMap((className, index) =>
    Array.from({length: WORKERS_PER_CLASS}, (_, worker) =>
      runWorker(PAUSE_MS, count =>
        caller.chat({
          requestId: `${className}-${worker}-${count}`,
          className,
          entry: index + worker + count,
        }),
      ),
    ),
  );
  workers.push(
    runWorker(PAUSE_MS, async count => {
      const reference = `certificate-${count}`;
      const ticket = await caller.fetchTicket(reference, count);
      if (ticket !== undefined) {
        await caller.presentTicket(reference, ticket, count + 1);
      }
    }),
    runWorker(PROBE_MS, async () => {
      await Promise.all(
        site.entries.map(entry => caller.probeClass(entry, probedClass)),
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
