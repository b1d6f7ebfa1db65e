/** Runs one measurement with real entry processes and stand-in engines. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {loadFileSet} from '@buckthornbeam/config';
import type {FileSet, Policy} from '@buckthornbeam/config';
import {RouterError, SECOND_MS, waitFor} from '@buckthornbeam/shared';
import {startCluster} from '../cluster/cluster.js';
import type {Cluster} from '../cluster/cluster.js';
import {EngineEventKind} from '../engine/engine.js';
import type {EngineEvent, EngineOptions} from '../engine/engine.js';
import {
  SLOWDOWN_RATIO,
  cases,
  computeEngineRate,
  deployments,
  engineOptions,
} from './cases.js';
import type {Deployment, MeasuredCase} from './cases.js';
import {runLoad} from './load_generator.js';
import {computeMetrics} from './metrics.js';
import type {RunMetrics} from './metrics.js';
import {planArrivals} from './traffic.js';
import type {Arrival} from './traffic.js';

/** Options of {@link runMeasurement}. */
export interface MeasurementOptions {
  deployment: string;
  policy: Policy;
  caseName: string;
  seconds: number;
  seed: number;
}

export interface Measurement extends MeasurementOptions, RunMetrics {
  /** Maximum output of all engines together, in tokens per second. */
  capacity: number;
  /** Maximum number of concurrent requests at a cold engine. */
  coldPeak: number;
  coldLimit: number;
  /** Number of times that a cold engine failed under overload. */
  falls: number;
}

const examples = new URL('../../../../../examples/', import.meta.url);
/** Lets the first load reports and heartbeats arrive. */
const SETTLE_DELAY_MS = 1500;
/** Traffic before the measurement, so that the processes run at full speed. */
const WARM_UP_SECONDS = 3;
const WARM_UP_LOAD_RATIO = 0.6;
const DRAIN_MS = 10 * SECOND_MS;
/** Raises the rate limits of customers, so that only queues limit the load. */
const CUSTOMER_RATE_RATIO = 1000;

function getDeployment(name: string): Deployment {
  const found = deployments[name];
  if (!found) {
    throw new RouterError('usage', `no deployment "${name}"`);
  }
  return found;
}

function getCase(name: string): MeasuredCase {
  const found = cases[name];
  if (!found) {
    throw new RouterError('usage', `no case "${name}"`);
  }
  return found;
}

/**
 * Writes an example file set with the capacities of the deployment, and with
 * times scaled by {@link SLOWDOWN_RATIO}.
 */
function writeScaledFileSet(
  name: string,
  {requests, startingRequests}: Deployment,
  directory: string,
): FileSet {
  const set = loadFileSet(fileURLToPath(new URL(name, examples)));
  const files = {
    ...set.files,
    'backend-servers.json': {
      backendServers: [...set.servers.values()].map(server => ({
        ...server,
        capacity: {...server.capacity, requests, startingRequests},
      })),
    },
    'service.json': {
      ...set.files['service.json'],
      maximumRequestMs:
        set.files['service.json'].maximumRequestMs * SLOWDOWN_RATIO,
    },
    'classes.json': {
      classes: [...set.classes.values()].map(item => ({
        ...item,
        targets: {
          firstTokenMs: item.targets.firstTokenMs * SLOWDOWN_RATIO,
          betweenTokensMs: item.targets.betweenTokensMs * SLOWDOWN_RATIO,
          completionMs: item.targets.completionMs * SLOWDOWN_RATIO,
        },
      })),
    },
    'customers.json': {
      customers: [...set.customers.values()].map(customer => ({
        ...customer,
        tokensPerSecond: customer.tokensPerSecond * CUSTOMER_RATE_RATIO,
        burstTokens: customer.burstTokens * CUSTOMER_RATE_RATIO,
      })),
    },
  };
  for (const [file, value] of Object.entries(files)) {
    writeFileSync(join(directory, file), JSON.stringify(value));
  }
  return loadFileSet(directory);
}

/** Counts events of the engines between `start` and `stop`. */
function createEngineObserver() {
  const preempted = new Map<number, number>();
  let coldPeak = 0;
  let isRecording = false;
  return {
    preempted,
    getColdPeak: () => coldPeak,
    start(): void {
      isRecording = true;
    },
    stop(): void {
      isRecording = false;
    },
    handleEvent({kind, tier, isCold, running}: EngineEvent): void {
      if (!isRecording) {
        return;
      }
      if (kind === EngineEventKind.CANCELLED) {
        preempted.set(tier, (preempted.get(tier) ?? 0) + 1);
      }
      if (isCold && kind === EngineEventKind.ARRIVED) {
        coldPeak = Math.max(coldPeak, running);
      }
    },
  };
}

function planTraffic(
  options: Pick<MeasurementOptions, 'deployment' | 'seed' | 'seconds'>,
  set: FileSet,
  capacity: number,
  loads: readonly number[],
): Arrival[] {
  const {classes} = getDeployment(options.deployment);
  return planArrivals({
    seed: options.seed,
    seconds: options.seconds,
    customerIds: [...set.customers.keys()],
    classes: classes.map((item, index) => ({
      ...item,
      tokensPerSecond: capacity * loads[index]!,
    })),
  });
}

function buildEngineChanges(
  set: FileSet,
  measuredCase: MeasuredCase,
): Record<string, EngineOptions> {
  const [first] = set.servers.keys();
  return {[first!]: {...measuredCase.firstEngine}};
}

function sumOverEngines(
  cluster: Cluster,
  count: (engine: {countTokens(): number; countCrashes(): number}) => number,
): number {
  return [...cluster.engines.values()].reduce(
    (sum, engine) => sum + count(engine),
    0,
  );
}

/** Counts the tokens that engines generate in the arrival window and in the whole run. */
async function countEngineTokens<T>(
  cluster: Cluster,
  windowMs: number,
  run: () => Promise<T>,
): Promise<{result: T; tokensInWindow: number; totalTokens: number}> {
  const countTokens = () =>
    sumOverEngines(cluster, engine => engine.countTokens());
  const before = countTokens();
  let atWindowEnd: number | undefined;
  const timer = setTimeout(() => {
    atWindowEnd = countTokens();
  }, windowMs);
  const result = await run();
  clearTimeout(timer);
  const totalTokens = countTokens() - before;
  return {
    result,
    totalTokens,
    tokensInWindow: (atWindowEnd ?? countTokens()) - before,
  };
}

/**
 * Makes the first engine cold after a fraction of the arrival window. If it is
 * negative, does so at once and waits until it is reported; see
 * {@link MeasuredCase.restartAtFraction}.
 */
async function scheduleRestart(
  cluster: Cluster,
  fraction: number | undefined,
  windowMs: number,
): Promise<void> {
  const [engine] = cluster.engines.values();
  if (fraction === undefined) {
    return;
  }
  if (fraction < 0) {
    engine!.restart(false);
    await waitFor(SETTLE_DELAY_MS);
    return;
  }
  setTimeout(() => engine!.restart(false), fraction * windowMs);
}

async function measureCluster(
  options: MeasurementOptions,
  cluster: Cluster,
  set: FileSet,
  observer: ReturnType<typeof createEngineObserver>,
): Promise<Measurement> {
  const deployment = getDeployment(options.deployment);
  const measuredCase = getCase(options.caseName);
  const capacity = set.servers.size * computeEngineRate(deployment.requests);
  const windowMs = options.seconds * SECOND_MS;
  const models = new Map(
    deployment.classes.map(item => [item.className, item.model]),
  );
  const loadOptions = {
    addresses: cluster.entries.map(entry => entry.instance.callerAddress),
    getModel: (className: string) => models.get(className)!,
    drainMs: DRAIN_MS,
  };
  await waitFor(SETTLE_DELAY_MS);
  const warmUpLoads = deployment.classes.map(
    item => item.tokenRatio * WARM_UP_LOAD_RATIO,
  );
  const warmUpOptions = {
    ...options,
    seconds: WARM_UP_SECONDS,
    seed: options.seed + 1,
  };
  await runLoad({
    ...loadOptions,
    arrivals: planTraffic(warmUpOptions, set, capacity, warmUpLoads),
  });
  await scheduleRestart(cluster, measuredCase.restartAtFraction, windowMs);
  observer.start();
  const loads = measuredCase.computeLoads(deployment.classes);
  const arrivals = planTraffic(options, set, capacity, loads);
  const {result, tokensInWindow, totalTokens} = await countEngineTokens(
    cluster,
    windowMs,
    () => runLoad({...loadOptions, arrivals, onAbort: () => observer.stop()}),
  );
  const metrics = computeMetrics({
    ...result,
    classes: [...set.classes.values()],
    windowMs,
    engineTokens: totalTokens,
    engineTokensInWindow: tokensInWindow,
    preempted: observer.preempted,
    getWeight: id => set.customers.get(id)!.weight,
  });
  return {
    ...options,
    capacity,
    ...metrics,
    coldPeak: observer.getColdPeak(),
    coldLimit: deployment.startingRequests,
    falls: sumOverEngines(cluster, engine => engine.countCrashes()),
  };
}

export async function runMeasurement(
  options: MeasurementOptions,
): Promise<Measurement> {
  const deployment = getDeployment(options.deployment);
  const measuredCase = getCase(options.caseName);
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-measure-'));
  const set = writeScaledFileSet(options.deployment, deployment, directory);
  const observer = createEngineObserver();
  const cluster = await startCluster({
    fileSetDirectory: directory,
    entries: deployment.entries,
    engine: {
      ...engineOptions,
      maximumRequests: deployment.requests,
      ...measuredCase.allEngines,
      onEvent: event => observer.handleEvent(event),
    },
    engineChanges: buildEngineChanges(set, measuredCase),
    settings: {policy: options.policy},
  });
  try {
    return await measureCluster(options, cluster, set, observer);
  } finally {
    await cluster.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}
