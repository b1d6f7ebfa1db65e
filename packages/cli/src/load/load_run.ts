/** Generates load: a mix of request classes with Poisson arrivals. */
import type {LoadClass} from '@buckthornbeam/config';
import {SECOND_MS, createRandom, pickOne, waitFor} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import {Agent} from 'undici';
import {runChatCall} from './chat_call.js';
import {createClassTally} from './load_report.js';
import type {ClassReport, ClassTally} from './load_report.js';

/** Options of {@link runLoad}. */
export interface LoadOptions {
  mix: readonly LoadClass[];
  /** `host:port` of the instances; each call uses a random one. */
  addresses: readonly string[];
  seconds: number;
  seed: number;
  /** Maximum number of concurrent calls; a call due beyond it is skipped. */
  maximumOpen: number;
  /** Called once a second with the numbers of finished and open calls. */
  onProgress: (done: number, open: number) => void;
}

/** Draws the time between two arrivals of a Poisson process. */
function computeInterarrivalMs(
  ratePerSecond: number,
  random: RandomSource,
): number {
  return (-Math.log(1 - random.nextFloat()) * SECOND_MS) / ratePerSecond;
}

/** Runs the load, waits for the last answers and returns a report per class. */
export async function runLoad(options: LoadOptions): Promise<ClassReport[]> {
  const {mix, addresses, seconds, seed, maximumOpen, onProgress} = options;
  const dispatcher = new Agent({connections: maximumOpen});
  const tallies = mix.map(createClassTally);
  const openCalls = new Set<Promise<void>>();
  const startedAt = performance.now();
  const endsAt = startedAt + seconds * SECOND_MS;

  async function runCall(
    load: LoadClass,
    tally: ClassTally,
    random: RandomSource,
  ): Promise<void> {
    const address = pickOne(addresses, random);
    const filler = 'x'.repeat(load.promptCharacters);
    const prompt = `${random.nextInt(1_000_000)} ${filler}`;
    tally.add(await runChatCall({address, load, prompt, dispatcher}));
  }

  async function runClass(load: LoadClass, index: number): Promise<void> {
    const random = createRandom(seed + index);
    const tally = tallies[index]!;
    let dueAt = startedAt;
    for (;;) {
      dueAt += computeInterarrivalMs(load.requestsPerSecond, random);
      if (dueAt >= endsAt) {
        return;
      }
      await waitFor(Math.max(0, dueAt - performance.now()));
      if (openCalls.size >= maximumOpen) {
        tally.addUnsent();
        continue;
      }
      const call = runCall(load, tally, random);
      openCalls.add(call);
      void call.finally(() => openCalls.delete(call));
    }
  }

  const timer = setInterval(() => {
    const done = tallies.reduce((sum, tally) => sum + tally.countDone(), 0);
    onProgress(done, openCalls.size);
  }, SECOND_MS);
  await Promise.all(mix.map(runClass));
  await Promise.all(openCalls);
  clearInterval(timer);
  await dispatcher.close();
  const elapsedMs = performance.now() - startedAt;
  return tallies.map(tally => tally.report(elapsedMs));
}
