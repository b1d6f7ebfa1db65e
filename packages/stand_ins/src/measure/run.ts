/** One measured run: real entry processes before stand-in engines. */
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
import {runLoad} from './caller_load.js';
import {
  cases,
  SLOW_MOTION,
  computeEngineRate,
  deployments,
  engineOptions,
} from './cases.js';
import type {Deployment, MeasuredCase} from './cases.js';
import {computeFigures} from './figures.js';
import type {Figures} from './figures.js';
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

/** Result of a run. */
export interface Measurement extends MeasurementOptions, Figures {
  /** Most answer tokens a second that the engines can give. */
  capacity: number;
  /** Most requests at once on the engine that started cold. */
  coldPeak: number;
  coldLimit: number;
  /** Times that an engine fell over. */
  falls: number;
}

const examples = new URL('../../../../../examples/', import.meta.url);
/** Time for load reports and heartbeats. */
const SETTLE_MS = 1500;
/** Traffic before the measured one, which makes the processes quick. */
const WARM_UP_SECONDS = 3;
const WARM_UP_LOAD = 0.6;
const DRAIN_MS = 10 * SECOND_MS;
/** Customers' rates are raised by this, so that queues decide. */
const RATE_FACTOR = 1000;

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

/** Writes the example with the capacities of the measurement. */
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
        set.files['service.json'].maximumRequestMs * SLOW_MOTION,
    },
    'classes.json': {
      classes: [...set.classes.values()].map(item => ({
        ...item,
        targets: {
          firstTokenMs: item.targets.firstTokenMs * SLOW_MOTION,
          betweenTokensMs: item.targets.betweenTokensMs * SLOW_MOTION,
          completionMs: item.targets.completionMs * SLOW_MOTION,
        },
      })),
    },
    'customers.json': {
      customers: [...set.customers.values()].map(customer => ({
        ...customer,
        tokensPerSecond: customer.tokensPerSecond * RATE_FACTOR,
        burstTokens: customer.burstTokens * RATE_FACTOR,
      })),
    },
  };
  for (const [file, value] of Object.entries(files)) {
    writeFileSync(join(directory, file), JSON.stringify(value));
  }
  return loadFileSet(directory);
}

/** Keeps count of what the engines report. */
function createEngineWatch() {
  const preempted = new Map<number, number>();
  let coldPeak = 0;
  let isWatching = false;
  return {
    preempted,
    getColdPeak: () => coldPeak,
    start(): void {
      isWatching = true;
    },
    stop(): void {
      isWatching = false;
    },
    handleEvent({kind, tier, isCold, running}: EngineEvent): void {
      if (!isWatching) {
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

function sumOver(
  cluster: Cluster,
  count: (engine: {countTokens(): number; countFalls(): number}) => number,
): number {
  return [...cluster.engines.values()].reduce(
    (sum, engine) => sum + count(engine),
    0,
  );
}

/** Tokens that the engines made in the window and in the whole run. */
async function countEngineTokens<T>(
  cluster: Cluster,
  windowMs: number,
  run: () => Promise<T>,
): Promise<{result: T; inWindow: number; total: number}> {
  const countTokens = () => sumOver(cluster, engine => engine.countTokens());
  const before = countTokens();
  let atEnd: number | undefined;
  const timer = setTimeout(() => {
    atEnd = countTokens();
  }, windowMs);
  const result = await run();
  clearTimeout(timer);
  const total = countTokens() - before;
  return {result, total, inWindow: (atEnd ?? countTokens()) - before};
}

/** Turns the first engine cold at the time that the case names. */
async function scheduleRestart(
  cluster: Cluster,
  part: number | undefined,
  windowMs: number,
): Promise<void> {
  const [engine] = cluster.engines.values();
  if (part === undefined) {
    return;
  }
  if (part < 0) {
    engine!.restart(false);
    await waitFor(SETTLE_MS);
    return;
  }
  setTimeout(() => engine!.restart(false), part * windowMs);
}

async function measureCluster(
  options: MeasurementOptions,
  cluster: Cluster,
  set: FileSet,
  watch: ReturnType<typeof createEngineWatch>,
): Promise<Measurement> {
  const deployment = getDeployment(options.deployment);
  const measuredCase = getCase(options.caseName);
  const capacity = set.servers.size * computeEngineRate(deployment.requests);
  const windowMs = options.seconds * SECOND_MS;
  const models = new Map(
    deployment.classes.map(item => [item.className, item.model]),
  );
  const load = {
    addresses: cluster.entries.map(entry => entry.instance.callerAddress),
    getModel: (className: string) => models.get(className)!,
    drainMs: DRAIN_MS,
  };
  await waitFor(SETTLE_MS);
  const warmUp = deployment.classes.map(item => item.mix * WARM_UP_LOAD);
  const early = {...options, seconds: WARM_UP_SECONDS, seed: options.seed + 1};
  await runLoad({
    ...load,
    arrivals: planTraffic(early, set, capacity, warmUp),
  });
  await scheduleRestart(cluster, measuredCase.restartAtPart, windowMs);
  watch.start();
  const loads = measuredCase.computeLoads(deployment.classes);
  const arrivals = planTraffic(options, set, capacity, loads);
  const {result, inWindow, total} = await countEngineTokens(
    cluster,
    windowMs,
    () => runLoad({...load, arrivals, onCut: () => watch.stop()}),
  );
  const figures = computeFigures({
    ...result,
    classes: [...set.classes.values()],
    windowMs,
    engineTokens: total,
    engineTokensInWindow: inWindow,
    preempted: watch.preempted,
    getWeight: id => set.customers.get(id)!.weight,
  });
  return {
    ...options,
    capacity,
    ...figures,
    coldPeak: watch.getColdPeak(),
    coldLimit: deployment.startingRequests,
    falls: sumOver(cluster, engine => engine.countFalls()),
  };
}

/** Runs one case and computes its figures. */
export async function runMeasurement(
  options: MeasurementOptions,
): Promise<Measurement> {
  const deployment = getDeployment(options.deployment);
  const measuredCase = getCase(options.caseName);
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-measure-'));
  const set = writeScaledFileSet(options.deployment, deployment, directory);
  const watch = createEngineWatch();
  const cluster = await startCluster({
    fileSetDirectory: directory,
    entries: deployment.entries,
    engine: {
      ...engineOptions,
      maximumRequests: deployment.requests,
      ...measuredCase.allEngines,
      onEvent: event => watch.handleEvent(event),
    },
    engineChanges: buildEngineChanges(set, measuredCase),
    settings: {policy: options.policy},
  });
  try {
    return await measureCluster(options, cluster, set, watch);
  } finally {
    await cluster.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}
