/** What callers got: credit by kind, and tokens that had to be read for it. */
import {listModelParts} from './load_model.js';
import type {LoadRequest, RequestKind} from './load_model.js';

/** What the callers of one kind got. */
export interface KindResult {
  name: string;
  requests: number;
  onTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Late because of the first event, and because of a pause only. */
  lateFirst: number;
  latePause: number;
  earned: number;
  owed: number;
}

/** How a request ended for its caller. */
export type RequestEnd = 'onTime' | 'late' | 'refused' | 'failed';

/** Why an answer is late. */
export type LateCause = 'lateFirst' | 'latePause';

/** Counts what callers got. */
export interface CreditLedger {
  settleRequest(request: LoadRequest, end: RequestEnd, cause?: LateCause): void;
  /** A server has taken the request. */
  recordTaken(request: LoadRequest): void;
  listResults(): KindResult[];
  /** Tokens that had to be read however the requests were placed. */
  countNeededTokens(): number;
}

/** The largest answers count for this many mean ones at most. */
const MOST_WEIGHT = 4;
const BASE_WEIGHT = 0.3;
/** An output token counts as this many prompt tokens. */
const OUTPUT_WEIGHT = 10;

function sumTokens(request: LoadRequest): number {
  return (
    request.parts.reduce((sum, part) => sum + part.tokens, 0) +
    OUTPUT_WEIGHT * request.outputTokens
  );
}

/** Computes the weight of each request against the mean of its kind. */
function createWeights(load: readonly LoadRequest[]) {
  const sums = new Map<string, {tokens: number; count: number}>();
  for (const request of load) {
    const sum = sums.get(request.kind.name) ?? {tokens: 0, count: 0};
    sum.tokens += sumTokens(request);
    sum.count += 1;
    sums.set(request.kind.name, sum);
  }
  return (request: LoadRequest): number => {
    const {tokens, count} = sums.get(request.kind.name)!;
    const size = (sumTokens(request) * count) / tokens;
    return Math.min(MOST_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * size);
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

/** Creates a ledger for a load. */
export function createCreditLedger(
  kinds: readonly RequestKind[],
  load: readonly LoadRequest[],
): CreditLedger {
  const computeWeight = createWeights(load);
  const results = new Map(
    kinds.map(kind => [kind.name, createKindResult(kind)]),
  );
  const readOnce = new Set<string>();
  let neededTokens = 0;

  return {
    settleRequest: (request, end, cause) => {
      const result = results.get(request.kind.name)!;
      const {worth, lateWorth} = request.kind;
      const weight = computeWeight(request);
      const credit = {onTime: worth, late: lateWorth, refused: 0, failed: 0};
      result.requests += 1;
      result[end] += 1;
      if (cause) {
        result[cause] += 1;
      }
      result.owed += worth * weight;
      result.earned += credit[end] * weight;
    },
    recordTaken: request => {
      for (const {key, tokens} of listModelParts(request)) {
        if (key === '' || !readOnce.has(key)) {
          neededTokens += tokens;
          readOnce.add(key);
        }
      }
    },
    listResults: () => [...results.values()],
    countNeededTokens: () => neededTokens,
  };
}
