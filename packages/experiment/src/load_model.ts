/** Described load: kinds of requests with shared prompts, and bursts of them. */
import type {RandomSource} from '@buckthornbeam/shared';
import type {ModelPart} from './engine.js';

/** A size with a lognormal spread. */
export interface SizeRange {
  mean: number;
  /** Standard deviation of the logarithm. */
  spread: number;
  maximum: number;
}

/** A part of prompts that requests share. */
export interface SharedPart {
  /** Different parts of this kind. */
  count: number;
  size: SizeRange;
}

/** A kind of requests. */
export interface RequestKind {
  name: string;
  requestsPerSecond: number;
  /** 0 is the highest. */
  priority: number;
  targetMs: number;
  /** Longest pause between two events that is on time, in milliseconds. */
  pauseMs: number;
  deadlineMs: number;
  /** Credit of a mean request that is on time, and of a late one. */
  worth: number;
  lateWorth: number;
  shared: readonly SharedPart[];
  /** Tokens of the prompt that nobody shares. */
  ownTokens: SizeRange;
  outputTokens: SizeRange;
}

/** More requests of a kind for a while. */
export interface Burst {
  kind: string;
  atMs: number;
  forMs: number;
  factor: number;
}

/** Model servers that are down for a while. */
export interface Crash {
  atMs: number;
  forMs: number;
  /** Part of the servers. */
  part: number;
}

/** A request of the load. */
export interface LoadRequest {
  id: string;
  kind: RequestKind;
  atMs: number;
  /** Shared parts first; the last one is the request's own. */
  parts: Array<{id: string; tokens: number}>;
  outputTokens: number;
  /** The caller's estimate of the output. */
  expectedOutputTokens: number;
}

/** Spread of the callers' estimates, as standard deviation of the logarithm. */
const ESTIMATE_SPREAD = 0.5;
/** Skew of the popularity of shared parts: weight is rank to this power, negated. */
const POPULARITY_SKEW = 0.3;

function makeNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  return radius * Math.cos(2 * Math.PI * random.nextFloat());
}

function makeSize(range: SizeRange, random: RandomSource): number {
  const {mean, spread, maximum} = range;
  const drawn = mean * Math.exp(spread * makeNormal(random) - spread ** 2 / 2);
  return Math.max(1, Math.round(Math.min(maximum, drawn)));
}

/** Draws a rank in [0, count) with the skew of popularity. */
function makeRank(count: number, random: RandomSource): number {
  // Inverse of the integral of the weights.
  const position = random.nextFloat() ** (1 / (1 - POPULARITY_SKEW));
  return Math.min(count - 1, Math.floor(position * count));
}

/** Creates the sizes of shared parts, which stay the same for a run. */
function createPartSizes(random: RandomSource) {
  const sizes = new Map<string, number>();
  return (id: string, range: SizeRange): number => {
    let size = sizes.get(id);
    if (size === undefined) {
      size = makeSize(range, random);
      sizes.set(id, size);
    }
    return size;
  };
}

function computeRate(
  kind: RequestKind,
  bursts: readonly Burst[],
  at: number,
): number {
  return bursts
    .filter(
      burst =>
        burst.kind === kind.name &&
        at >= burst.atMs &&
        at < burst.atMs + burst.forMs,
    )
    .reduce((rate, burst) => rate * burst.factor, kind.requestsPerSecond);
}

/** Options of {@link createLoad}. */
export interface LoadOptions {
  kinds: readonly RequestKind[];
  bursts: readonly Burst[];
  durationMs: number;
  random: RandomSource;
}

/** Creates the requests of a load in the order of time. */
export function createLoad(options: LoadOptions): LoadRequest[] {
  const {kinds, bursts, durationMs, random} = options;
  const getSize = createPartSizes(random);
  const requests: LoadRequest[] = [];

  function createRequest(kind: RequestKind, atMs: number): LoadRequest {
    const parts = kind.shared.map((shared, index) => {
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
      parts: [...parts, {id, tokens: makeSize(kind.ownTokens, random)}],
      outputTokens,
      expectedOutputTokens: Math.max(
        1,
        Math.round(
          outputTokens * Math.exp(ESTIMATE_SPREAD * makeNormal(random)),
        ),
      ),
    };
  }

  for (const kind of kinds) {
    let at = 0;
    for (;;) {
      const rate = computeRate(kind, bursts, at);
      at += (-Math.log(1 - random.nextFloat()) * 1000) / rate;
      if (at >= durationMs) {
        break;
      }
      requests.push(createRequest(kind, at));
    }
  }
  return requests.sort((a, b) => a.atMs - b.atMs);
}

/** Lists the parts of a prompt with the identity of all that come before. */
export function listModelParts(request: LoadRequest): ModelPart[] {
  let key = '';
  return request.parts.map(({id, tokens}, index) => {
    key += `/${id}`;
    const isOwn = index === request.parts.length - 1;
    return {key: isOwn ? '' : key, tokens};
  });
}
