/** Generates requests of several kinds with shared prefixes, and bursts of them. */
import type {RandomSource} from '@buckthornbeam/shared';
import type {PromptBlock} from './engine.js';

/** A truncated lognormal distribution of sizes, in tokens. */
export interface SizeDistribution {
  mean: number;
  /** Standard deviation of the natural logarithm. */
  logDeviation: number;
  maximum: number;
}

/** Blocks at the same position of the prompts of one kind of requests. */
export interface SharedBlockKind {
  /** Number of different blocks; each request has one of them. */
  count: number;
  size: SizeDistribution;
}

/** Requests with the same latency targets and size distributions. */
export interface RequestKind {
  name: string;
  requestsPerSecond: number;
  /** 0 is the highest. */
  priority: number;
  /** Target for the first event, from the arrival of the request. */
  targetMs: number;
  /** Target for the pause between two events. */
  pauseMs: number;
  deadlineMs: number;
  /** Credit of an on-time request of mean size. */
  onTimeCredit: number;
  /** Credit of a late request of mean size. */
  lateCredit: number;
  /** Shared blocks in the order of the prompt. */
  shared: readonly SharedBlockKind[];
  /** Size of the unshared block at the end of the prompt. */
  unsharedTokens: SizeDistribution;
  outputTokens: SizeDistribution;
}

/** A period with a higher rate of requests of one kind. */
export interface Burst {
  kind: string;
  atMs: number;
  durationMs: number;
  /** Ratio of the rate in the burst to the rate of the kind. */
  rateRatio: number;
}

/** Takes some servers down for a period; they lose their KV cache. */
export interface Crash {
  atMs: number;
  durationMs: number;
  /** Ratio of the crashed servers to all servers. */
  serverRatio: number;
}

/** Servers that state that they leave, serve on for a time, end and start again. */
export interface Leaving {
  atMs: number;
  /** Time for which they serve on. */
  servesOnMs: number;
  /** Time between the end and the next start. */
  downMs: number;
  /** Ratio of the leaving servers to all servers. */
  serverRatio: number;
}

/** Servers that ask for less load for a period. */
export interface Need {
  atMs: number;
  durationMs: number;
  /** Ratio of these servers to all servers. */
  serverRatio: number;
  /** They refuse all requests, and ask for pauses of this time. */
  pauseMs?: number;
  /** They state this part of the rate that a server usually gets. */
  rateRatio?: number;
}

export interface LoadRequest {
  id: string;
  kind: RequestKind;
  atMs: number;
  /** Blocks of the prompt; all but the last are shared. */
  blocks: Array<{id: string; tokens: number}>;
  outputTokens: number;
  /** The caller's estimate of the output tokens. */
  expectedOutputTokens: number;
}

/** Standard deviation of the logarithm of a caller's estimate. */
const ESTIMATE_LOG_DEVIATION = 0.5;
/** The popularity of shared blocks follows Zipf's law: weight is rank ** -exponent. */
const ZIPF_EXPONENT = 0.3;

function makeNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  return radius * Math.cos(2 * Math.PI * random.nextFloat());
}

function makeSize(
  distribution: SizeDistribution,
  random: RandomSource,
): number {
  const {mean, logDeviation, maximum} = distribution;
  const drawn =
    mean * Math.exp(logDeviation * makeNormal(random) - logDeviation ** 2 / 2);
  return Math.max(1, Math.round(Math.min(maximum, drawn)));
}

/** Draws a rank in [0, count) by a continuous approximation of Zipf's law. */
function makeRank(count: number, random: RandomSource): number {
  // Inverse transform sampling: inverts the integral of the weights.
  const position = random.nextFloat() ** (1 / (1 - ZIPF_EXPONENT));
  return Math.min(count - 1, Math.floor(position * count));
}

/** Returns a function that draws the size of a shared block once per block. */
function createBlockSizes(random: RandomSource) {
  const sizes = new Map<string, number>();
  return (id: string, distribution: SizeDistribution): number => {
    let size = sizes.get(id);
    if (size === undefined) {
      size = makeSize(distribution, random);
      sizes.set(id, size);
    }
    return size;
  };
}

function computeRate(
  kind: RequestKind,
  bursts: readonly Burst[],
  atMs: number,
): number {
  return bursts
    .filter(
      burst =>
        burst.kind === kind.name &&
        atMs >= burst.atMs &&
        atMs < burst.atMs + burst.durationMs,
    )
    .reduce((rate, burst) => rate * burst.rateRatio, kind.requestsPerSecond);
}

/** Options of {@link createLoad}. */
export interface LoadOptions {
  kinds: readonly RequestKind[];
  bursts: readonly Burst[];
  durationMs: number;
  random: RandomSource;
}

/** Creates the requests of a load, sorted by arrival time. */
export function createLoad(options: LoadOptions): LoadRequest[] {
  const {kinds, bursts, durationMs, random} = options;
  const getSize = createBlockSizes(random);
  const requests: LoadRequest[] = [];

  function createRequest(kind: RequestKind, atMs: number): LoadRequest {
    const blocks = kind.shared.map((shared, index) => {
      const rank = makeRank(shared.count, random);
      const id = `${kind.name}-${index}-${rank}`;
      return {id, tokens: getSize(id, shared.size)};
    });
    const id = `${kind.name}-${requests.length}`;
    const outputTokens = makeSize(kind.outputTokens, random);
    return {
      id,
      kind,
      atMs,
      blocks: [...blocks, {id, tokens: makeSize(kind.unsharedTokens, random)}],
      outputTokens,
      expectedOutputTokens: Math.max(
        1,
        Math.round(
          outputTokens * Math.exp(ESTIMATE_LOG_DEVIATION * makeNormal(random)),
        ),
      ),
    };
  }

  for (const kind of kinds) {
    let atMs = 0;
    for (;;) {
      const rate = computeRate(kind, bursts, atMs);
      // Poisson arrivals: exponential time until the next request.
      atMs += (-Math.log(1 - random.nextFloat()) * 1000) / rate;
      if (atMs >= durationMs) {
        break;
      }
      requests.push(createRequest(kind, atMs));
    }
  }
  return requests.sort((a, b) => a.atMs - b.atMs);
}

/**
 * Lists the blocks of a prompt. The key of a shared block contains the ids of
 * all blocks before it, as a cached block is only valid after the same prefix.
 */
export function listPromptBlocks(request: LoadRequest): PromptBlock[] {
  let key = '';
  return request.blocks.map(({id, tokens}, index) => {
    key += `/${id}`;
    const isUnshared = index === request.blocks.length - 1;
    return {key: isUnshared ? '' : key, tokens};
  });
}
