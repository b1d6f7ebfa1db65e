/** Experiment cases: a fleet and its load, named after the load pattern. */
import {Spreading} from '@buckthornbeam/gateway';
import type {EngineProfile} from './engine.js';
import {LimitDivision} from './limit_division.js';
import type {RequestKind} from './load_generator.js';
import type {ExperimentCase} from './run_experiment.js';

const engineProfile: EngineProfile = {
  slots: 64,
  maximumWaitingRequests: 192,
  kvCacheTokens: 414_825,
  stepMs: 3.79,
  stepMsPerRequest: 0.0893,
  contextMsPerThousandTokens: 0.00138,
  prefillTokensPerMs: 56.6,
  prefillChunkTokens: 2048,
  tokensPerEvent: 7,
  copiedTokensPerMs: 2509,
  copySetUpMs: 5,
};

/** Questions of several callers about the same long document. */
const brief: RequestKind = {
  name: 'brief',
  requestsPerSecond: 154,
  priority: 2,
  targetMs: 1500,
  pauseMs: 1200,
  deadlineMs: 8000,
  onTimeCredit: 1.4,
  lateCredit: 0.43,
  shared: [
    {count: 771, size: {mean: 13_300, logDeviation: 0.7, maximum: 39_900}},
  ],
  unsharedTokens: {mean: 3720, logDeviation: 1.1, maximum: 53_200},
  outputTokens: {mean: 120, logDeviation: 1.4, maximum: 480},
};

/** A draft whose prompt begins with one of a few common instructions. */
const draft: RequestKind = {
  name: 'draft',
  requestsPerSecond: 81,
  priority: 1,
  targetMs: 600,
  pauseMs: 500,
  deadlineMs: 5000,
  onTimeCredit: 2.2,
  lateCredit: 0.65,
  shared: [
    {count: 4, size: {mean: 2520, logDeviation: 0.4, maximum: 6290}},
    {count: 796, size: {mean: 3780, logDeviation: 0.7, maximum: 11_300}},
  ],
  unsharedTokens: {mean: 2890, logDeviation: 1, maximum: 39_600},
  outputTokens: {mean: 52, logDeviation: 1.4, maximum: 209},
};

/** A short question whose answer the user reads while it is streamed. */
const reply: RequestKind = {
  name: 'reply',
  requestsPerSecond: 126,
  priority: 0,
  targetMs: 400,
  pauseMs: 300,
  deadlineMs: 10_000,
  onTimeCredit: 2.1,
  lateCredit: 0.18,
  shared: [
    {count: 40, size: {mean: 210, logDeviation: 0.4, maximum: 524}},
    {count: 818, size: {mean: 140, logDeviation: 0.7, maximum: 419}},
  ],
  unsharedTokens: {mean: 1110, logDeviation: 1, maximum: 3790},
  outputTokens: {mean: 172, logDeviation: 0.89, maximum: 601},
};

const fleet = {
  instances: 88,
  servers: 63,
  profile: engineProfile,
  stepTimeRatios: [1, 1, 1.3],
  kinds: [brief, draft, reply],
  customerPriorities: [],
  bursts: [],
  crashes: [],
  leavings: [],
  needs: [],
  durationMs: 24_000,
  dataCentres: 6,
  shortPromptRatio: 0.2,
  spreading: Spreading.OFF,
  limitDivision: LimitDivision.SHARES,
};

const SMALL_SERVERS = 6;

/** Scales the load of the fleet, with its shared blocks, to fewer servers. */
function buildScaledKind(kind: RequestKind, servers: number): RequestKind {
  const ratio = servers / fleet.servers;
  return {
    ...kind,
    requestsPerSecond: kind.requestsPerSecond * ratio,
    shared: kind.shared.map(({count, size}) => ({
      count: Math.ceil(count * ratio),
      size,
    })),
  };
}

export const cases: Readonly<Record<string, ExperimentCase>> = {
  /** The load that the fleet is sized for. */
  steady: fleet,
  /** Many short questions during the prefill of long documents. */
  'burst-of-replies': {
    ...fleet,
    bursts: [{kind: 'reply', atMs: 6000, durationMs: 6000, rateRatio: 4}],
  },
  /** The same, from customers with priorities of their own. */
  'burst-of-replies-by-customers': {
    ...fleet,
    customerPriorities: [0, 1, 1, 1],
    bursts: [{kind: 'reply', atMs: 6000, durationMs: 6000, rateRatio: 4}],
  },
  /** Many long documents, most of them not yet in a KV cache. */
  'burst-of-briefs': {
    ...fleet,
    bursts: [{kind: 'brief', atMs: 500, durationMs: 9000, rateRatio: 2.4}],
  },
  /** Bursts of several kinds; a quarter of the servers crashes after the first. */
  'crash-between-bursts': {
    ...fleet,
    bursts: [
      {kind: 'brief', atMs: 500, durationMs: 9000, rateRatio: 2.4},
      {kind: 'reply', atMs: 11_000, durationMs: 5000, rateRatio: 4},
      {kind: 'brief', atMs: 17_500, durationMs: 3500, rateRatio: 2.4},
    ],
    crashes: [{atMs: 9500, durationMs: 2000, serverRatio: 0.25}],
  },
  /** A tenth of the servers leaves and starts again, while the list has them as ready. */
  leaving: {
    ...fleet,
    leavings: [
      {atMs: 6000, servesOnMs: 4000, downMs: 1000, serverRatio: 0.1},
      {atMs: 14_000, servesOnMs: 4000, downMs: 1000, serverRatio: 0.1},
    ],
  },
  /** A tenth of the servers refuses requests at times and asks for pauses. */
  pausing: {
    ...fleet,
    needs: [
      {atMs: 6000, durationMs: 3000, serverRatio: 0.1, pauseMs: 1500},
      {atMs: 14_000, durationMs: 500, serverRatio: 0.1, pauseMs: 2500},
    ],
  },
  /** Seven of ten servers of a small fleet state half of their usual rate. */
  limited: {
    ...fleet,
    instances: 8,
    servers: SMALL_SERVERS,
    kinds: fleet.kinds.map(kind => buildScaledKind(kind, SMALL_SERVERS)),
    needs: [{atMs: 3000, durationMs: 19_000, serverRatio: 0.7, rateRatio: 0.5}],
  },
};
