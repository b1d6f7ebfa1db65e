/** Methods of choosing servers by stale reports, for the comparison of even load. */
import {hashToUint32, rankByRendezvous} from '@buckthornbeam/shared';
import {
  chooseByShare,
  chooseShortPool,
  computeFill,
  createLoadSpread,
  estimateEndedRatio,
  estimateSentRatio,
  estimateUnseenTokens,
  placeGeneration,
} from '../../src/index.js';
import type {EvenLoadOptions, LoadSpread} from '../../src/index.js';
import {MODEL_TOKENS_PER_MS} from './stale_load_model.js';
import type {
  ChooseServer,
  ChooserView,
  ModelRequest,
  ServerView,
} from './stale_load_model.js';

export const MODEL_SLOTS = 64;
const POOL_RATIO = 0.2;
/** As countLoadSharers of the membership: each has a view of its own up to here. */
const FULL_MESH_MAXIMUM = 17;
/** As in the gateway's load_spreading. */
const PREFILL_TIME_RATIO = 0.5;
const SHORT_PROMPT_TOKENS = 5000;
const SUBSET_SIZE = 8;
const BOUND_RATIO = 1.25;
const RANDOM_COST = 0.05;

function computePlainCost({own, others, speed}: ServerView): number {
  return (own.inFlight + others.inFlight) / (MODEL_SLOTS * speed);
}

function isShortPrompt({kind}: ModelRequest): boolean {
  return kind.sharedTokens + kind.ownTokens <= SHORT_PROMPT_TOKENS;
}

function listPool({servers}: ChooserView): Set<string> {
  return chooseShortPool({
    serverIds: servers.map(({index}) => `s${index}`),
    ratio: POOL_RATIO,
  });
}

/** Chooses among the listed servers as the code without spreading does. */
function chooseToday(
  view: ChooserView,
  request: ModelRequest,
  servers: readonly ServerView[],
  {
    evenLoad,
    isExact,
    hasSpeeds = evenLoad !== undefined,
  }: {
    evenLoad?: EvenLoadOptions;
    isExact?: boolean;
    /** Whether the choice knows the speeds of model servers. */
    hasSpeeds?: boolean;
  } = {},
): number {
  const {random, choosers} = view;
  const {kind} = request;
  if (kind.ownTokens === 0) {
    const costs = servers.map(
      server => computePlainCost(server) + random.nextFloat() * RANDOM_COST,
    );
    return servers[costs.indexOf(Math.min(...costs))]!.index;
  }
  const sharers = choosers > FULL_MESH_MAXIMUM && !isExact ? choosers : 1;
  const candidates = servers.map(server => ({
    serverId: `s${server.index}`,
    slots: MODEL_SLOTS,
    kvCacheTokens: 504_167,
    inFlight: server.own.inFlight + server.others.inFlight,
    ownInFlight: server.own.inFlight,
    pendingPrefillTokens:
      server.own.pendingTokens +
      server.others.pendingTokens +
      (evenLoad
        ? 0
        : estimateUnseenTokens({
            prefillTokensPerMs:
              server.own.tokensPerMs + server.others.tokensPerMs,
            sharers,
            random: () => random.nextFloat(),
          })),
    inFlightTokens: (server.own.inFlight + server.others.inFlight) * 2000,
    prefillTokensPerMs: server.own.tokensPerMs + server.others.tokensPerMs,
    cachedTokens: server.cachedTokens,
    prefilledTokens: server.cachedTokens,
    failureRate: 0,
    ...(hasSpeeds ? {speed: server.speed} : {}),
  }));
  const placement = placeGeneration(
    candidates,
    {
      promptTokens: kind.sharedTokens + kind.ownTokens,
      sharedTokens: kind.sharedTokens,
      sharedKey: request.subject,
      outputTokens: Math.round(kind.serviceMs / 4),
      targetMs: kind.targetMs,
      remainingMs: 8000,
    },
    {
      tokensPerMs: MODEL_TOKENS_PER_MS,
      shortPool: listPool(view),
      instances: evenLoad || isExact ? 1 : choosers,
      evenLoad,
    },
  );
  return Number(placement!.serverId.slice(1));
}

function chooseTwo(view: ChooserView, request: ModelRequest): number {
  const {servers, random} = view;
  const first = random.nextInt(servers.length);
  const second =
    (first + 1 + random.nextInt(servers.length - 1)) % servers.length;
  const pair = [servers[first]!, servers[second]!];
  return chooseToday(view, request, pair, {isExact: true});
}

function chooseByFreeCapacity({servers, random}: ChooserView): number {
  const shares = servers.map(server =>
    Math.max(0.01, (1 - computePlainCost(server)) * server.speed),
  );
  return chooseByShare(shares, random.nextFloat());
}

function listSubset({chooser, servers}: ChooserView): ServerView[] {
  const ids = servers.map(({index}) => String(index));
  return rankByRendezvous(`chooser-${chooser}`, ids)
    .slice(0, SUBSET_SIZE)
    .map(id => servers[Number(id)]!);
}

/** Takes the first server in the order of the subject that is under the bound. */
function chooseBounded(view: ChooserView, request: ModelRequest): number {
  const {servers} = view;
  const mean =
    servers.reduce((sum, server) => sum + computePlainCost(server), 0) /
    servers.length;
  const key =
    request.kind.subjects > 0
      ? request.subject
      : String(hashToUint32(String(view.random.nextFloat())));
  const order = rankByRendezvous(
    key,
    servers.map(({index}) => String(index)),
  ).map(id => servers[Number(id)]!);
  const chosen =
    order.find(server => computePlainCost(server) <= mean * BOUND_RATIO) ??
    order[0]!;
  return chosen.index;
}

/** Requests beyond the slots of a server wait there, and none of them ends. */
function countRunning({others}: ServerView): number {
  return Math.min(MODEL_SLOTS, others.inFlight);
}

/** Subtracts the load of others that has ended since the report. */
function drainServer(
  server: ServerView,
  ageMs: number,
  endedRatio: number,
): ServerView {
  const {others, speed} = server;
  return {
    ...server,
    others: {
      ...others,
      inFlight: others.inFlight - countRunning(server) * endedRatio,
      pendingTokens: Math.max(
        0,
        others.pendingTokens -
          ageMs * PREFILL_TIME_RATIO * speed * MODEL_TOKENS_PER_MS,
      ),
    },
  };
}

/** Variants of the prediction that are compared. */
interface FillVariant {
  /** Random positions in place of the even ones. */
  isRandom?: boolean;
  /** Without the load that has ended since the report. */
  isUndrained?: boolean;
  /** Long prompts as well; otherwise they are placed as today. */
  isForLong?: boolean;
}

/** Fills the servers with the predicted load since the report. */
function createFill(variant: FillVariant): ChooseServer {
  const spreads = new Map<string, LoadSpread>();

  function getSpread({chooser}: ChooserView, kind: string): LoadSpread {
    const key = `${chooser} ${kind}`;
    const spread = spreads.get(key) ?? createLoadSpread();
    spreads.set(key, spread);
    return spread;
  }

  return (view, request) => {
    const {ageMs, choosers, chooser, now, reportedAt} = view;
    const {ownTokens, sharedTokens} = request.kind;
    const isPlain = ownTokens === 0;
    const requests = getSpread(view, 'requests');
    if (!isPlain && !isShortPrompt(request) && !variant.isForLong) {
      requests.record(1, now);
      return chooseToday(view, request, view.servers, {hasSpeeds: true});
    }
    const place = {rank: chooser, instances: choosers, ageMs, reportedAt};
    const {unseen, position} = requests.next(place, now);
    const reported = view.servers.reduce(
      (sum, server) => sum + countRunning(server) * server.speed,
      0,
    );
    const servers = variant.isUndrained
      ? view.servers
      : view.servers.map(server =>
          drainServer(
            server,
            ageMs,
            estimateEndedRatio({unseen, reported, speed: server.speed}),
          ),
        );
    const evenPosition = variant.isRandom ? view.random.nextFloat() : position;
    requests.record(1, now);
    if (isPlain) {
      const targets = servers.map(server => ({
        cost: computePlainCost(server),
        capacity:
          MODEL_SLOTS *
          server.speed *
          (variant.isUndrained
            ? 1
            : estimateSentRatio({unseen, reported, speed: server.speed})),
      }));
      return chooseByShare(computeFill(targets, unseen), evenPosition);
    }
    const tokens = getSpread(view, 'tokens');
    const evenLoad = {
      unseenTokens: tokens.next(place, now).unseen,
      position: evenPosition,
    };
    tokens.record(ownTokens + sharedTokens, now);
    return chooseToday(view, request, servers, {evenLoad});
  };
}

/** Creates a method for one run of the model; positions are kept by chooser. */
export const methods: Readonly<Record<string, () => ChooseServer>> = {
  today: () => (view, request) => chooseToday(view, request, view.servers),
  'two choices': () => chooseTwo,
  'free capacity': () => chooseByFreeCapacity,
  subset: () => (view, request) => chooseToday(view, request, listSubset(view)),
  'bounded hash': () => chooseBounded,
  'predicted, undrained': () => createFill({isRandom: true, isUndrained: true}),
  'predicted, long': () => createFill({isForLong: true}),
  'predicted, random': () => createFill({isRandom: true}),
  'predicted, even': () => createFill({}),
};

/** Today's choice by exact loads of all servers. */
export const chooseByExact: ChooseServer = (view, request) =>
  chooseToday(view, request, view.servers, {isExact: true});
