/** Fleets and loads, each named after the pattern that it shows. */
import type {EngineProfile} from './engine.js';
import type {RequestKind} from './load_model.js';
import type {ExperimentCase} from './run_experiment.js';

const profile: EngineProfile = {
  slots: 64,
  maximumWaiting: 192,
  memoryTokens: 414_825,
  stepMs: 3.79,
  stepMsPerRequest: 0.0893,
  contextMsPerThousand: 0.00138,
  readingTokensPerMs: 56.6,
  chunkTokens: 2048,
  tokensPerEvent: 7,
  copiedTokensPerMs: 2509,
  copySetUpMs: 5,
};

/** A long document that several callers ask about. */
const brief: RequestKind = {
  name: 'brief',
  requestsPerSecond: 154,
  priority: 2,
  targetMs: 1500,
  pauseMs: 1200,
  deadlineMs: 8000,
  worth: 1.4,
  lateWorth: 0.43,
  shared: [{count: 771, size: {mean: 13_300, spread: 0.7, maximum: 39_900}}],
  ownTokens: {mean: 3720, spread: 1.1, maximum: 53_200},
  outputTokens: {mean: 120, spread: 1.4, maximum: 480},
};

/** A draft on top of a common instruction. */
const draft: RequestKind = {
  name: 'draft',
  requestsPerSecond: 81,
  priority: 1,
  targetMs: 600,
  pauseMs: 500,
  deadlineMs: 5000,
  worth: 2.2,
  lateWorth: 0.65,
  shared: [
    {count: 4, size: {mean: 2520, spread: 0.4, maximum: 6290}},
    {count: 796, size: {mean: 3780, spread: 0.7, maximum: 11_300}},
  ],
  ownTokens: {mean: 2890, spread: 1, maximum: 39_600},
  outputTokens: {mean: 52, spread: 1.4, maximum: 209},
};

/** A short question whose answer is read as it comes. */
const reply: RequestKind = {
  name: 'reply',
  requestsPerSecond: 126,
  priority: 0,
  targetMs: 400,
  pauseMs: 300,
  deadlineMs: 10_000,
  worth: 2.1,
  lateWorth: 0.18,
  shared: [
    {count: 40, size: {mean: 210, spread: 0.4, maximum: 524}},
    {count: 818, size: {mean: 140, spread: 0.7, maximum: 419}},
  ],
  ownTokens: {mean: 1110, spread: 1, maximum: 3790},
  outputTokens: {mean: 172, spread: 0.89, maximum: 601},
};

const fleet = {
  instances: 88,
  servers: 63,
  profile,
  slowness: [1, 1, 1.3],
  kinds: [brief, draft, reply],
  bursts: [],
  crashes: [],
  durationMs: 24_000,
  gossipMs: 250,
  fanout: 16,
  shortPromptPart: 0.2,
};

/** All cases by name. */
export const cases: Readonly<Record<string, ExperimentCase>> = {
  /** The load that the fleet is made for. */
  steady: fleet,
  /** Many short questions while long documents are read. */
  'burst-of-replies': {
    ...fleet,
    bursts: [{kind: 'reply', atMs: 6000, forMs: 6000, factor: 4}],
  },
  /** Many long documents, most of them not in memory yet. */
  'burst-of-briefs': {
    ...fleet,
    bursts: [{kind: 'brief', atMs: 500, forMs: 9000, factor: 2.4}],
  },
  /** A quarter of the servers lost with their memory, beside bursts in turn. */
  'crash-between-bursts': {
    ...fleet,
    bursts: [
      {kind: 'brief', atMs: 500, forMs: 9000, factor: 2.4},
      {kind: 'reply', atMs: 11_000, forMs: 5000, factor: 4},
      {kind: 'brief', atMs: 17_500, forMs: 3500, factor: 2.4},
    ],
    crashes: [{atMs: 9500, forMs: 2000, part: 0.25}],
  },
};
