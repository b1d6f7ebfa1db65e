/** Counts the results of requests by kind, and the prefill that they require. */
import {listPromptBlocks} from './load_generator.js';
import type {LoadRequest, RequestKind} from './load_generator.js';

/** Results of the requests of one kind. */
export interface KindResult {
  name: string;
  requests: number;
  onTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Late requests whose first event was late. */
  lateFirst: number;
  /** Late requests whose first event was on time, but a later pause too long. */
  latePause: number;
  /** Weighted credit of all results. */
  earned: number;
  /** Weighted credit if all requests had been on time. */
  owed: number;
}

export type RequestOutcome = 'onTime' | 'late' | 'refused' | 'failed';

/** Why a response is late: its first event, or a pause between later events. */
export type LateCause = 'lateFirst' | 'latePause';

export interface ResultTracker {
  /** Records the outcome of a request; `cause` is set if it is late. */
  recordResult(
    request: LoadRequest,
    outcome: RequestOutcome,
    cause?: LateCause,
  ): void;
  /** Records that a server has accepted the request. */
  recordAccepted(request: LoadRequest): void;
  listResults(): KindResult[];
  /**
   * Counts the prompt tokens of accepted requests, with each shared block once:
   * the least prefill that any placement of these requests requires.
   */
  countRequiredPrefillTokens(): number;
}

/** Bounds the weight of a request, as a ratio to a request of mean size. */
const MAXIMUM_WEIGHT_RATIO = 4;
/** Fraction of the weight that does not depend on the size of the request. */
const BASE_WEIGHT_RATIO = 0.3;
/** Size of an output token, in prompt tokens. */
const OUTPUT_TOKEN_WEIGHT = 10;

function sumWeightedTokens(request: LoadRequest): number {
  return (
    request.blocks.reduce((sum, block) => sum + block.tokens, 0) +
    OUTPUT_TOKEN_WEIGHT * request.outputTokens
  );
}

/**
 * Returns a function that computes the weight of a request from the ratio of
 * its size to the mean size of its kind.
 */
function createWeights(load: readonly LoadRequest[]) {
  const sums = new Map<string, {tokens: number; count: number}>();
  for (const request of load) {
    const sum = sums.get(request.kind.name) ?? {tokens: 0, count: 0};
    sum.tokens += sumWeightedTokens(request);
    sum.count += 1;
    sums.set(request.kind.name, sum);
  }
  return (request: LoadRequest): number => {
    const {tokens, count} = sums.get(request.kind.name)!;
    const sizeRatio = (sumWeightedTokens(request) * count) / tokens;
    return Math.min(
      MAXIMUM_WEIGHT_RATIO,
      BASE_WEIGHT_RATIO + (1 - BASE_WEIGHT_RATIO) * sizeRatio,
    );
  };
}

function createKindResult({name}: RequestKind): KindResult {
  return {
    name,
    requests: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    lateFirst: 0,
    latePause: 0,
    earned: 0,
    owed: 0,
  };
}

/** Creates a tracker; weights are relative to the mean sizes in `load`. */
export function createResultTracker(
  kinds: readonly RequestKind[],
  load: readonly LoadRequest[],
): ResultTracker {
  const computeWeight = createWeights(load);
  const results = new Map(
    kinds.map(kind => [kind.name, createKindResult(kind)]),
  );
  const countedKeys = new Set<string>();
  let requiredTokens = 0;

  return {
    recordResult: (request, outcome, cause) => {
      const result = results.get(request.kind.name)!;
      const {onTimeCredit, lateCredit} = request.kind;
      const weight = computeWeight(request);
      const credits = {
        onTime: onTimeCredit,
        late: lateCredit,
        refused: 0,
        failed: 0,
      };
      result.requests += 1;
      result[outcome] += 1;
      if (cause) {
        result[cause] += 1;
      }
      result.owed += onTimeCredit * weight;
      result.earned += credits[outcome] * weight;
    },
    recordAccepted: request => {
      for (const {key, tokens} of listPromptBlocks(request)) {
        if (key === '' || !countedKeys.has(key)) {
          requiredTokens += tokens;
          countedKeys.add(key);
        }
      }
    },
    listResults: () => [...results.values()],
    countRequiredPrefillTokens: () => requiredTokens,
  };
}
