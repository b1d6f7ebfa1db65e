/**
 * Model of choosers that place requests by load reports of a given age, without a
 * network: servers with speeds, reports at an interval, and Poisson arrivals.
 */
import {createRandom} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';

/** A kind of request; without tokens it is a request of a plain service. */
export interface ModelKind {
  /** Arrivals per second and server. */
  rate: number;
  /** Number of shared prompt parts; 0 without. */
  subjects: number;
  sharedTokens: number;
  ownTokens: number;
  /** Mean time on a server of speed 1 after the prefill, in milliseconds. */
  serviceMs: number;
  targetMs: number;
}

export interface ModelRequest {
  kind: ModelKind;
  subject: string;
}

/** Load at one server, of all choosers or of one. */
export interface ModelLoad {
  inFlight: number;
  pendingTokens: number;
  /** Prompt tokens sent to it in the last 2 s, per millisecond. */
  tokensPerMs: number;
}

const NO_LOAD: ModelLoad = {inFlight: 0, pendingTokens: 0, tokensPerMs: 0};

/** A server as one chooser sees it. */
export interface ServerView {
  index: number;
  speed: number;
  own: ModelLoad;
  /** Load of the others in the last report. */
  others: ModelLoad;
  cachedTokens: number;
}

export interface ChooserView {
  chooser: number;
  choosers: number;
  ageMs: number;
  reportedAt: number;
  now: number;
  servers: ServerView[];
  random: RandomSource;
}

export type ChooseServer = (view: ChooserView, request: ModelRequest) => number;

export interface ModelOptions {
  choosers: number;
  speeds: readonly number[];
  kinds: readonly ModelKind[];
  /** Mean age of the load reports at a decision; 0: exact loads. */
  ageMs: number;
  slots: number;
  choose: ChooseServer;
  /** Chooser pairs that do not receive each other's load: two halves. */
  isPartitioned?: boolean;
  /** Whether choosers get no reports at all. */
  isIsolated?: boolean;
  seed?: number;
}

export interface ModelResult {
  /** Busiest over mean load, relative to speed: means of windows of 1 s. */
  peakRatio: number;
  /** The same at single moments, 100 ms apart. */
  momentRatio: number;
  lateRatio: number;
  /** Prefilled tokens relative to the prompt tokens. */
  prefillRatio: number;
  /** Shared tokens prefilled while another server had them, of the prompt tokens. */
  repeatedRatio: number;
}

interface Job {
  server: number;
  sentAt: number;
  prefillTokens: number;
  prefilledAt: number;
  endsAt: number;
}

interface Server {
  speed: number;
  /** End of the last prefill. */
  prefillFreeAt: number;
  /** Times at which the slots are free. */
  slots: number[];
  /** Times at which a subject was sent and was prefilled. */
  cached: Map<string, {chooser: number; sentAt: number; at: number}>;
}

export const MODEL_TOKENS_PER_MS = 61.8;
const DURATION_MS = 8000;
const WARM_UP_MS = 3000;
const CHOICE_SEED = 1000;
const INTERVAL_MS = 250;
const RATE_WINDOW_MS = 2000;
/** Shortest to mean service time; the rest is distributed exponentially. */
const MINIMUM_SERVICE_RATIO = 0.25;
const SAMPLE_MS = 100;
const SAMPLES_PER_WINDOW = 10;

/** Time of the state in the report that is in use at `now`. */
function computeReportedAt(now: number, ageMs: number): number {
  const interval = Math.min(INTERVAL_MS, 2 * ageMs);
  const delay = ageMs - interval / 2;
  return ageMs === 0 ? now : Math.floor((now - delay) / interval) * interval;
}

/** Sums the jobs of each server at a time, of one chooser or of several. */
function sumLoads(
  servers: number,
  jobs: readonly Job[],
  at: number,
): ModelLoad[] {
  const loads = Array.from({length: servers}, () => ({
    inFlight: 0,
    pendingTokens: 0,
    tokensPerMs: 0,
  }));
  for (const {server, sentAt, prefilledAt, endsAt, prefillTokens} of jobs) {
    if (sentAt <= at) {
      const load = loads[server]!;
      load.inFlight += endsAt > at ? 1 : 0;
      load.pendingTokens += prefilledAt > at ? prefillTokens : 0;
      load.tokensPerMs +=
        sentAt > at - RATE_WINDOW_MS ? prefillTokens / RATE_WINDOW_MS : 0;
    }
  }
  return loads;
}

function computeRest(total: ModelLoad, part: ModelLoad): ModelLoad {
  return {
    inFlight: total.inFlight - part.inFlight,
    pendingTokens: total.pendingTokens - part.pendingTokens,
    tokensPerMs: total.tokensPerMs - part.tokensPerMs,
  };
}

export function runModel(options: ModelOptions): ModelResult {
  const {choosers, ageMs, kinds, isPartitioned, isIsolated} = options;
  const random = createRandom(options.seed ?? 1);
  /** Apart, so that all methods place the same requests. */
  const choiceRandom = createRandom(CHOICE_SEED);
  const servers = options.speeds.map(
    (speed): Server => ({
      speed,
      prefillFreeAt: 0,
      slots: Array.from({length: options.slots}, () => 0),
      cached: new Map(),
    }),
  );
  const ownJobs = Array.from({length: choosers}, (): Job[] => []);
  const totalRate =
    kinds.reduce((sum, {rate}) => sum + rate, 0) * servers.length;
  /** Last report of each half, or of all. */
  const reports = new Map<number, {at: number; loads: ModelLoad[]}>();

  function getReport(chooser: number, at: number): ModelLoad[] {
    const half = isPartitioned ? chooser % 2 : 0;
    let report = reports.get(half);
    if (!report || report.at !== at) {
      const members = ownJobs.filter(
        (_, index) => !isPartitioned || index % 2 === half,
      );
      report = {at, loads: sumLoads(servers.length, members.flat(), at)};
      reports.set(half, report);
    }
    return report.loads;
  }

  /** What the chooser's reports contain of others, and its own load now. */
  function buildView(
    chooser: number,
    request: ModelRequest,
    now: number,
  ): ChooserView {
    const at = computeReportedAt(now, ageMs);
    const hasOthers = choosers > 1 && !isIsolated;
    const reported = hasOthers ? getReport(chooser, at) : [];
    const ownReported = hasOthers
      ? sumLoads(servers.length, ownJobs[chooser]!, at)
      : [];
    const own = sumLoads(servers.length, ownJobs[chooser]!, now);
    return {
      chooser,
      choosers,
      ageMs: now - at,
      reportedAt: at,
      now,
      random: choiceRandom,
      servers: servers.map(({speed, cached}, index) => {
        const location = cached.get(request.subject);
        const isKnown =
          location && (location.chooser === chooser || location.at <= at);
        return {
          index,
          speed,
          own: own[index]!,
          others: hasOthers
            ? computeRest(reported[index]!, ownReported[index]!)
            : NO_LOAD,
          cachedTokens: isKnown ? request.kind.sharedTokens : 0,
        };
      }),
    };
  }

  /** Sends the request and counts whether its first event or its answer is late. */
  function sendRequest(
    chooser: number,
    index: number,
    request: ModelRequest,
    now: number,
  ): void {
    const {kind, subject} = request;
    const server = servers[index]!;
    const isCached = kind.subjects > 0 && server.cached.has(subject);
    const isRepeated =
      kind.subjects > 0 &&
      !isCached &&
      servers.some(({cached}) => cached.has(subject));
    const prefillTokens = kind.ownTokens + (isCached ? 0 : kind.sharedTokens);
    const prefilledAt =
      Math.max(now, server.prefillFreeAt) +
      prefillTokens / MODEL_TOKENS_PER_MS / server.speed;
    if (prefillTokens > 0) {
      server.prefillFreeAt = prefilledAt;
    }
    if (kind.subjects > 0 && !isCached) {
      server.cached.set(subject, {chooser, sentAt: now, at: prefilledAt});
    }
    server.slots.sort((a, b) => a - b);
    const startsAt = Math.max(prefilledAt, server.slots[0]!);
    const durationRatio =
      MINIMUM_SERVICE_RATIO -
      (1 - MINIMUM_SERVICE_RATIO) * Math.log(1 - random.nextFloat());
    const endsAt = startsAt + (kind.serviceMs * durationRatio) / server.speed;
    server.slots[0] = endsAt;
    ownJobs[chooser]!.push({
      server: index,
      sentAt: now,
      prefillTokens,
      prefilledAt,
      endsAt,
    });
    if (now > WARM_UP_MS) {
      const responseMs = (prefillTokens > 0 ? startsAt : endsAt) - now;
      count.requests += 1;
      count.late += responseMs > kind.targetMs ? 1 : 0;
      count.prompt += kind.sharedTokens + kind.ownTokens;
      count.prefilled += prefillTokens;
      count.repeated += isRepeated ? kind.sharedTokens : 0;
    }
  }

  const windows: number[][] = [];
  const moments: number[] = [];
  const count = {requests: 0, late: 0, prompt: 0, prefilled: 0, repeated: 0};
  let sampledAt = WARM_UP_MS;

  function computePeak(loads: readonly number[]): number {
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    return Math.max(...loads) / mean;
  }

  function takeSample(at: number): void {
    const loads = sumLoads(servers.length, ownJobs.flat(), at).map(
      ({inFlight}, index) => inFlight / servers[index]!.speed,
    );
    moments.push(computePeak(loads));
    windows.push(loads);
    const reportedFrom = at - 2 * ageMs - INTERVAL_MS;
    for (const [index, jobs] of ownJobs.entries()) {
      ownJobs[index] = jobs.filter(
        ({endsAt, sentAt, prefillTokens}) =>
          endsAt > reportedFrom ||
          (prefillTokens > 0 && sentAt > reportedFrom - RATE_WINDOW_MS),
      );
    }
  }

  for (
    let now = 0;
    now < DURATION_MS;
    now -= (Math.log(1 - random.nextFloat()) / totalRate) * 1000
  ) {
    while (sampledAt <= now) {
      takeSample(sampledAt);
      sampledAt += SAMPLE_MS;
    }
    let position = (random.nextFloat() * totalRate) / servers.length;
    const kind = kinds.find(item => (position -= item.rate) < 0) ?? kinds[0]!;
    const subject = `${kinds.indexOf(kind)}/${random.nextInt(Math.max(1, kind.subjects))}`;
    const chooser = random.nextInt(choosers);
    const request = {kind, subject};
    const view = buildView(chooser, request, now);
    sendRequest(chooser, options.choose(view, request), request, now);
  }
  const peaks: number[] = [];
  for (let from = 0; from < windows.length; from += SAMPLES_PER_WINDOW) {
    const window = windows.slice(from, from + SAMPLES_PER_WINDOW);
    peaks.push(
      computePeak(
        servers.map((_, index) =>
          window.reduce((sum, loads) => sum + loads[index]!, 0),
        ),
      ),
    );
  }
  const computeMean = (values: number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    peakRatio: computeMean(peaks),
    momentRatio: computeMean(moments),
    lateRatio: count.late / count.requests,
    prefillRatio: count.prompt > 0 ? count.prefilled / count.prompt : 0,
    repeatedRatio: count.prompt > 0 ? count.repeated / count.prompt : 0,
  };
}
