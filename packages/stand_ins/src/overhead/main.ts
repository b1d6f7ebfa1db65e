/**
 * `npm run overhead`: measures the latency that an entry and an owner add to a
 * direct call of the same engine, with sequential pairs of calls and then with
 * closed loops of many concurrent streams.
 */
import {readFileSync} from 'node:fs';
import {availableParallelism} from 'node:os';
import {parseArgs} from 'node:util';
import {createRandom} from '@buckthornbeam/shared';
import {startOverheadCluster} from './overhead_cluster.js';
import type {OverheadCluster} from './overhead_cluster.js';
import {runTimedCall} from './timed_call.js';
import type {TimedCall} from './timed_call.js';

interface OverheadOptions {
  /** Number of call pairs: one direct, one through the router. */
  pairs: number;
  /** Duration of each closed loop. */
  seconds: number;
  /** Numbers of concurrent streams; each is measured in a loop of its own. */
  streams: number[];
  seed: number;
}

/** Pairs of calls that precede the measurement and are not counted. */
const WARM_UP_PAIRS = 30;
const PAIR_ANSWER_TOKENS = 40;
const LOOP_ANSWER_TOKENS = 60;

/** Length of a clock tick in `/proc/PID/stat`. */
const CLOCK_TICK_MS = 10;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function toRounded(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Reads the user and system CPU time of a process since its start. */
function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
}

function computeMsPerToken(call: TimedCall): number {
  return call.streamMs / call.tokens;
}

async function measurePairs(
  cluster: OverheadCluster,
  options: OverheadOptions,
) {
  const direct: TimedCall[] = [];
  const routed: TimedCall[] = [];
  const entryAddress = cluster.entry.instance.callerAddress;
  const random = createRandom(options.seed);
  const run = (address: string, prompt: string) =>
    runTimedCall({address, prompt, maximumTokens: PAIR_ANSWER_TOKENS});
  for (let index = -WARM_UP_PAIRS; index < options.pairs; index++) {
    const prompt = `pair ${index}`;
    const isDirectFirst = random.nextInt(2) === 0;
    const addresses = isDirectFirst
      ? [cluster.engineAddress, entryAddress]
      : [entryAddress, cluster.engineAddress];
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
  const compareMedians = (getValue: (call: TimedCall) => number) => {
    const directMedian = computeMedian(direct.map(getValue));
    const routedMedian = computeMedian(routed.map(getValue));
    const differences = direct.map(
      (call, index) => getValue(routed[index]!) - getValue(call),
    );
    return {
      direct: toRounded(directMedian),
      routed: toRounded(routedMedian),
      medianAdded: toRounded(computeMedian(differences)),
      ratio: toRounded(routedMedian / directMedian),
    };
  };
  return {
    pairs: direct.length,
    firstTokenMs: compareMedians(call => call.firstTokenMs),
    perTokenMs: compareMedians(computeMsPerToken),
  };
}

/**
 * Runs concurrent streams, each of which starts its next call when the previous
 * one has ended. Rejects at the first failed call.
 */
async function runLoop(
  address: string,
  streams: number,
  seconds: number,
): Promise<TimedCall[]> {
  const calls: TimedCall[] = [];
  const deadline = performance.now() + seconds * 1000;
  async function runStream(stream: number): Promise<void> {
    for (let index = 0; performance.now() < deadline; index++) {
      const prompt = `stream ${stream}, call ${index}`;
      const maximumTokens = LOOP_ANSWER_TOKENS;
      calls.push(await runTimedCall({address, prompt, maximumTokens}));
    }
  }
  await Promise.all(Array.from({length: streams}, (_, i) => runStream(i)));
  return calls;
}

async function measureLoop(
  cluster: OverheadCluster,
  streams: number,
  seconds: number,
) {
  const direct = await runLoop(cluster.engineAddress, streams, seconds);
  const pids = [cluster.entry.child.pid!, cluster.owner.child.pid!];
  const cpuBefore = pids.map(readCpuMs);
  const startedAt = performance.now();
  const routed = await runLoop(
    cluster.entry.instance.callerAddress,
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
      direct: toRounded(computeMedian(direct.map(computeMsPerToken))),
      routed: toRounded(computeMedian(routed.map(computeMsPerToken))),
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

function parseOptions(): OverheadOptions & {json: boolean} {
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
  const cluster = await startOverheadCluster();
  try {
    const latency = await measurePairs(cluster, options);
    const loops = [];
    for (const streams of options.streams) {
      loops.push(await measureLoop(cluster, streams, options.seconds));
    }
    const {seed} = options;
    const result = {seed, cores: availableParallelism(), latency, loops};
    process.stdout.write(
      `${JSON.stringify(result, null, options.json ? 0 : 2)}\n`,
    );
  } finally {
    await cluster.stop();
  }
}

await runMeasurement();
