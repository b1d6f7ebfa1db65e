/**
 * Instances that send requests of several classes to one set of servers, on simulated
 * time and without a network.
 */
import {
  createPrefixLocations,
  createRoomShortages,
} from '@buckthornbeam/decisions';
import {createManualClock} from '@buckthornbeam/shared';
import type {RequestMetadata, Route, Service} from '../../src/model.js';
import {RouteKind} from '../../src/model.js';
import {createAdmission} from '../../src/relay/admission.js';
import {AdmissionOrder} from '../../src/relay/admission_reason.js';
import {computeRetryAfter} from '../../src/relay/retry_after.js';
import {waitForServer} from '../../src/relay/server_wait.js';
import {createServerActivity} from '../../src/state/server_activity.js';
import {createServerLoads} from '../../src/state/server_loads.js';
import {createServerSelection} from '../../src/state/server_selection.js';
import type {
  SelectedServer,
  SelectionLimits,
} from '../../src/state/server_selection.js';
import {
  createConfiguration,
  createFilledClusterState,
  createRoute,
  createServerEntry,
} from './fixtures.js';

/** Requests of one kind. */
export interface LoadClass {
  name: string;
  urgencyPosition: number;
  requestsPerSecond: number;
  /** Length of its load, if it ends before the others. */
  lastsMs?: number;
  targetMs: number;
  deadlineMs: number;
  /** Undefined for requests of a plain service. */
  promptTokens?: number;
  /** Time from the end of the prefill until the answer is complete. */
  runMs: number;
}

export interface ClassResult {
  asked: number;
  served: number;
  /** Answers 503 to the first try and to a return after `Retry-After`. */
  refusedFirst: number;
  returned: number;
  refusedAgain: number;
  longestWaitMs: number;
  /** First events after the target. */
  late: number;
}

export interface AdmissionFleetOptions {
  order: AdmissionOrder;
  classes: readonly LoadClass[];
  instances?: number;
  servers?: number;
  /** Requests a second that a cold server accepts; 0 for servers that are warm. */
  coldRequestsPerSecond?: number;
  maximumConnections?: number;
  /** Whether instances hear the shortages of the others; they always hear their loads. */
  hasGossip?: boolean;
  /** Tries of a request; refused clients return after `Retry-After`. */
  maximumTries?: number;
  /** Length of the load. */
  lastsMs: number;
  seed?: number;
}

const GOSSIP_MS = 250;
const GOSSIP_DELAY_MS = 120;
const TURN_MS = 10;
const TOKENS_PER_MS = 50;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Runs events in the order of their times; each ends with all promises settled. */
function createTimeline() {
  const clock = createManualClock();
  const events = new Map<number, Array<() => void>>();
  return {
    clock,
    schedule: (ms: number, run: () => void) => {
      const at = Math.ceil(clock.now() + ms);
      events.set(at, [...(events.get(at) ?? []), run]);
    },
    runUntil: async (endsAt: number) => {
      for (; clock.now() < endsAt; clock.advance(1)) {
        for (
          let due = events.get(clock.now());
          due;
          due = events.get(clock.now())
        ) {
          events.delete(clock.now());
          due.forEach(run => run());
          await new Promise(resolve => setImmediate(resolve));
        }
      }
    },
  };
}

/** Plays the load and returns what each class got. */
export async function runAdmissionFleet({
  order,
  classes,
  instances: instanceCount = 8,
  servers: serverCount = 6,
  coldRequestsPerSecond = 0,
  maximumConnections = 1000,
  hasGossip = true,
  maximumTries = 1,
  lastsMs,
  seed = 1,
}: AdmissionFleetOptions): Promise<Record<string, ClassResult>> {
  const random = createRandom(seed);
  const {clock, schedule, runUntil} = createTimeline();
  const isEngine = classes.some(item => item.promptTokens !== undefined);
  const service: Service = {
    name: 'service',
    maximumConnections,
    coldMs: coldRequestsPerSecond > 0 ? 10 * lastsMs : 0,
    coldRequestsPerSecond,
    engine: isEngine
      ? {
          slots: 64,
          kvCacheTokens: 500_000,
          copiedTokensPerMs: 0,
          tokensPerEvent: 8,
        }
      : undefined,
  };
  const routes = new Map(
    classes.map((item): [LoadClass, Route] => [
      item,
      createRoute({
        name: item.name,
        kind: isEngine ? RouteKind.STREAM : RouteKind.SAFE,
        timeoutMs: item.deadlineMs,
        targetLatencyMs: item.targetMs,
        eventPauseMs: isEngine ? 300 : undefined,
      }),
    ]),
  );
  const clusterState = createFilledClusterState(
    createConfiguration({
      routes: [...routes.values()],
      services: new Map([['service', service]]),
    }),
    Array.from({length: serverCount}, (_, index) =>
      createServerEntry({
        id: `s${index}`,
        address: `a:${index}`,
        slots: 64,
        coldLeftMs: service.coldMs,
      }),
    ),
  );
  const instanceIds = Array.from(
    {length: instanceCount},
    (_, index) => `i${index}`,
  );
  const instances = instanceIds.map(selfId => {
    const shortages = createRoomShortages();
    const loads = createServerLoads();
    const selection = createServerSelection({
      locations: createPrefixLocations(),
      selfId,
      dataCentre: 'north',
      regions: {},
      clusterState,
      loads,
      activity: createServerActivity(),
      prefillTokensPerMs: TOKENS_PER_MS,
      shortPromptRatio: 0.2,
      listInstances: () => instanceIds,
      coldOverage: 1,
      coldSlack: 0,
      random,
    });
    const admission = createAdmission({
      clusterState,
      shortages,
      prefillTokensPerMs: TOKENS_PER_MS,
      clock,
      random,
      startTimer: advance => {
        let isStopped = false;
        const run = () => {
          if (!isStopped) {
            advance();
            schedule(TURN_MS, run);
          }
        };
        schedule(TURN_MS, run);
        return () => {
          isStopped = true;
        };
      },
    });
    return {selfId, shortages, loads, selection, admission};
  });
  const results = Object.fromEntries(
    classes.map((item): [string, ClassResult] => [
      item.name,
      {
        asked: 0,
        served: 0,
        refusedFirst: 0,
        returned: 0,
        refusedAgain: 0,
        longestWaitMs: 0,
        late: 0,
      },
    ]),
  );

  /** When the servers have prefilled what they were sent. */
  const prefilledUntil = new Map<string, number>();

  /** Servers prefill in the order of arrival; returns the time of the end. */
  function addPrefill(serverId: string, tokens: number): number {
    const beginsAt = Math.max(clock.now(), prefilledUntil.get(serverId) ?? 0);
    const endsAt = beginsAt + tokens / TOKENS_PER_MS;
    prefilledUntil.set(serverId, endsAt);
    return endsAt;
  }

  /** Waits at one instance; returns the delay of a retry if it refuses. */
  async function callInstance(
    item: LoadClass,
    metadata: RequestMetadata,
    deadlineAt: number,
  ): Promise<{selected?: SelectedServer; retryAfterMs: number}> {
    const instance = instances[Math.floor(random() * instances.length)]!;
    const {selection, admission} = instance;
    const route = routes.get(item)!;
    const {urgencyPosition} = item;
    const receivedAt = clock.now();
    const options = {
      selection,
      route,
      metadata,
      excluded: new Set<string>(),
      buildLimits: (now: number): SelectionLimits => ({
        targetMs: route.targetLatencyMs,
        pauseMs: route.eventPauseMs,
        remainingMs: deadlineAt - now,
        urgencyPosition,
      }),
      select: (limits: SelectionLimits, now: number) =>
        selection.select(route, metadata, new Set(), limits, now),
      deadlineAt,
      clock,
      disconnectSignal: new AbortController().signal,
      stopSignal: new AbortController().signal,
    };
    const isOrdered = order === AdmissionOrder.URGENCY;
    const {selected} = isOrdered
      ? await admission.wait({
          ...options,
          urgencyPosition,
          receivedAt,
          hasBegun: false,
        })
      : await waitForServer({
          ...options,
          pause: ms => new Promise(resolve => schedule(ms, resolve)),
        });
    const result = results[item.name]!;
    const waitedMs = clock.now() - receivedAt;
    result.longestWaitMs = Math.max(result.longestWaitMs, waitedMs);
    if (selected) {
      return {selected, retryAfterMs: 0};
    }
    const remainingMs = deadlineAt - clock.now();
    const retryAfterMs = isOrdered
      ? admission.computeRetryAfter({
          route,
          urgencyPosition,
          deadlineAt,
          availableInMs: undefined,
        })
      : computeRetryAfter({remainingMs, random});
    return {retryAfterMs};
  }

  async function runRequest(item: LoadClass, id: string): Promise<void> {
    const result = results[item.name]!;
    const beganAt = clock.now();
    const deadlineAt = beganAt + item.deadlineMs;
    const {promptTokens} = item;
    const metadata: RequestMetadata = {
      id,
      host: 'host',
      path: '/a/',
      deadlineMs: item.deadlineMs,
      apiKey: undefined,
      lastEventId: undefined,
      generation:
        promptTokens === undefined
          ? undefined
          : {
              model: 'model',
              promptTokens,
              maximumOutputTokens: 20,
              expectedOutputTokens: 20,
              blocks: [{id: `own-${id}`, tokens: promptTokens}],
            },
    };
    result.asked += 1;
    for (let tries = 1; tries <= maximumTries; tries++) {
      const {selected, retryAfterMs} = await callInstance(
        item,
        metadata,
        deadlineAt,
      );
      if (selected) {
        result.served += 1;
        const prefilledAt = addPrefill(selected.server.id, promptTokens ?? 0);
        result.late += prefilledAt > beganAt + item.targetMs ? 1 : 0;
        const prefillMs = prefilledAt - clock.now();
        schedule(prefillMs, () => selected.markPrefilled(clock.now()));
        schedule(prefillMs + item.runMs, () => selected.requestHandle.end());
        return;
      }
      if (tries === 1) {
        result.refusedFirst += 1;
      } else {
        result.refusedAgain += 1;
      }
      const remainingMs = deadlineAt - clock.now();
      if (tries === maximumTries || retryAfterMs > remainingMs / 3) {
        return;
      }
      await new Promise<void>(resolve => schedule(retryAfterMs, resolve));
      result.returned += 1;
    }
  }

  function scheduleArrivals(item: LoadClass): void {
    const endsAt = item.lastsMs ?? lastsMs;
    const intervalMs = 1000 / item.requestsPerSecond;
    for (let index = 0; index * intervalMs < endsAt; index++) {
      schedule((index + random()) * intervalMs, () => {
        void runRequest(item, `${item.name}-${index}`);
      });
    }
  }

  function spreadNews(): void {
    for (const {selfId, shortages, loads} of instances) {
      const news = hasGossip ? shortages.listNews(clock.now(), 0) : [];
      const report = loads.buildGroupSum(clock.now());
      schedule(GOSSIP_DELAY_MS, () => {
        for (const other of instances) {
          if (other.selfId !== selfId) {
            other.loads.receiveGroupSum(selfId, report, clock.now());
            other.shortages.acceptNews(selfId, news, clock.now());
          }
        }
      });
    }
    schedule(GOSSIP_MS, spreadNews);
  }

  classes.forEach(scheduleArrivals);
  spreadNews();
  await runUntil(
    lastsMs + Math.max(...classes.map(({deadlineMs}) => deadlineMs)),
  );
  return results;
}
