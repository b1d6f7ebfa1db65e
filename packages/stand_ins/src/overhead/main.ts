/**
 * Measures what an entry and an owner add to a direct call of the same engine:
 * paired calls one at a time, then closed loops of many streams at once.
 */
import {readFileSync} from 'node:fs';
import {availableParallelism} from 'node:os';
import {parseArgs} from 'node:util';
import {createRandom} from '@buckthornbeam/shared';
import {startOverheadSite} from './site.js';
import type {OverheadSite} from './site.js';
import {runTimedCall} from './timed_call.js';
import type {TimedCall} from './timed_call.js';

interface Options {
  pairs: number;
  seconds: number;
  streams: number[];
  seed: number;
}

const WARM_UP_CALLS = 30;
const PAIR_TOKENS = 40;
const LOOP_TOKENS = 60;

/** Clock ticks of /proc/PID/stat, in milliseconds. */
const TICK_MS = 10;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function toRounded(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Processor time of a process since its start, in milliseconds. */
function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
}

function computePerTokenMs(call: TimedCall): number {
  return call.streamMs / call.tokens;
}

async function measurePairs(site: OverheadSite, options: Options) {
  const direct: TimedCall[] = [];
  const routed: TimedCall[] = [];
  const entryAddress = site.entry.instance.callerAddress;
  const random = createRandom(options.seed);
  const run = (address: string, prompt: string) =>
    runTimedCall({address, prompt, maximumTokens: PAIR_TOKENS});
  for (let index = -WARM_UP_CALLS; index < options.pairs; index++) {
    const prompt = `pair ${index}`;
    const isDirectFirst = random.nextInt(2) === 0;
    const addresses = isDirectFirst
      ? [site.engineAddress, entryAddress]
      : [entryAddress, site.engineAddress];
    const first = await run(addresses[0]!, prompt);
    const second = await run(addresses[1]!, prompt);
    if (index >= 0) {
      direct.push(isDirectFirst ? first : second);
      routed.push(isDirectFirst ? second : first);
    }
  }
  return comparePairs(direct, routed);
}

function comparePairs(direct: TimedCall[], routed: TimedCall[]) {
  const compare = (measure: (call: TimedCall) => number) => {
    const before = computeMedian(direct.map(measure));
    const after = computeMedian(routed.map(measure));
    const added = direct.map(
      (call, index) => measure(routed[index]!) - measure(call),
    );
    return {
      direct: toRounded(before),
      routed: toRounded(after),
      medianAdded: toRounded(computeMedian(added)),
      ratio: toRounded(after / before),
    };
  };
  return {
    pairs: direct.length,
    firstTokenMs: compare(call => call.firstTokenMs),
    perTokenMs: compare(computePerTokenMs),
  };
}

/** Runs a closed loop of streams for a time; failures end the measurement. */
async function runLoop(
  address: string,
  streams: number,
  seconds: number,
): Promise<TimedCall[]> {
  const calls: TimedCall[] = [];
  const endsAt = performance.now() + seconds * 1000;
  async function runStream(stream: number): Promise<void> {
    for (let index = 0; performance.now() < endsAt; index++) {
      const prompt = `stream ${stream}, call ${index}`;
      const maximumTokens = LOOP_TOKENS;
      calls.push(await runTimedCall({address, prompt, maximumTokens}));
    }
  }
  await Promise.all(Array.from({length: streams}, (_, i) => runStream(i)));
  return calls;
}

async function measureLoop(
  site: OverheadSite,
  streams: number,
  seconds: number,
) {
  const direct = await runLoop(site.engineAddress, streams, seconds);
  const pids = [site.entry.child.pid!, site.owner.child.pid!];
  const cpuBefore = pids.map(readCpuMs);
  const startedAt = performance.now();
  const routed = await runLoop(
    site.entry.instance.callerAddress,
    streams,
    seconds,
  );
  const elapsedMs = performance.now() - startedAt;
  const [entryCpuMs, ownerCpuMs] = pids.map(
    (pid, index) => readCpuMs(pid) - cpuBefore[index]!,
  );
  const tokens = routed.reduce((total, call) => total + call.tokens, 0);
  const {firstTokenMs, perTokenMs} = {
    firstTokenMs: {
      direct: toRounded(computeMedian(direct.map(call => call.firstTokenMs))),
      routed: toRounded(computeMedian(routed.map(call => call.firstTokenMs))),
    },
    perTokenMs: {
      direct: toRounded(computeMedian(direct.map(computePerTokenMs))),
      routed: toRounded(computeMedian(routed.map(computePerTokenMs))),
    },
  };
  return {
    streams,
    requestsPerSecond: toRounded((routed.length * 1000) / elapsedMs),
    tokensPerSecond: Math.round((tokens * 1000) / elapsedMs),
    firstTokenMs,
    perTokenMs,
    entryCores: toRounded(entryCpuMs! / elapsedMs),
    ownerCores: toRounded(ownerCpuMs! / elapsedMs),
    entryCpuMsPer1000Tokens: toRounded((entryCpuMs! * 1000) / tokens),
    ownerCpuMsPer1000Tokens: toRounded((ownerCpuMs! * 1000) / tokens),
  };
}

function parseOptions(): Options & {json: boolean} {
  const {values} = parseArgs({
    options: {
      pairs: {type: 'string', default: '100'},
      seconds: {type: 'string', default: '4'},
      streams: {type: 'string', default: '8,32,64'},
      seed: {type: 'string', default: '1'},
      json: {type: 'boolean', default: false},
    },
  });
  return {
    pairs: Number(values.pairs),
    seconds: Number(values.seconds),
    streams: values.streams.split(',').map(Number),
    seed: Number(values.seed),
    json: values.json,
  };
}

async function runMeasurement(): Promise<void> {
  const options = parseOptions();
  const site = await startOverheadSite();
  try {
    const latency = await measurePairs(site, options);
    const loops = [];
    for (const streams of options.streams) {
      loops.push(await measureLoop(site, streams, options.seconds));
    }
    const {seed} = options;
    const result = {seed, cores: availableParallelism(), latency, loops};
    process.stdout.write(
      `${JSON.stringify(result, null, options.json ? 0 : 2)}\n`,
    );
  } finally {
    await site.stop();
  }
}

await runMeasurement();
