/** Plays a described load on a fleet and counts what callers get. */
import {createRandom} from '@buckthornbeam/shared';
import {createAgenda} from './agenda.js';
import type {EngineJob, EngineProfile} from './engine.js';
import {createFleetModel} from './fleet_model.js';
import type {FleetModel, ModelInstance} from './fleet_model.js';
import {createLoad} from './load_model.js';
import type {Burst, Crash, LoadRequest, RequestKind} from './load_model.js';

/** A fleet and its load. */
export interface ExperimentCase {
  instances: number;
  servers: number;
  profile: EngineProfile;
  slowness: readonly number[];
  kinds: readonly RequestKind[];
  bursts: readonly Burst[];
  crashes: readonly Crash[];
  durationMs: number;
  gossipMs: number;
  fanout: number;
  shortPromptPart: number;
}

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

/** What a run gave. */
export interface ExperimentResult {
  kinds: KindResult[];
  /** Earned part of the credit owed. */
  credit: number;
  readTokens: number;
  /** Shared tokens that had been read somewhere before. */
  readAgainTokens: number;
  copiedTokens: number;
  preemptions: number;
}

/** Way between caller and server, both directions, in milliseconds. */
const ROUND_TRIP_MS = 8;
/** Pause between two looks of a waiting request for a server, in milliseconds. */
const LOOK_MS = 10;
/** Part of the target for which a request waits for a server. */
const WAIT_PART = 0.25;
const MINIMUM_WAIT_MS = 40;
/** Part of the time left after which a refused caller returns. */
const RETURN_PART = 0.23;
/** Callers ask so often again after a refusal. */
const RETRIES = 1;
/** A caller leaves after a silence of two seconds or multiples of the aims. */
const LEAST_PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;
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

/** Lists the parts of a prompt with the identity of all that come before. */
function buildModelParts(request: LoadRequest) {
  let key = '';
  return request.parts.map(({id, tokens}, index) => {
    key += `/${id}`;
    const isOwn = index === request.parts.length - 1;
    return {key: isOwn ? '' : key, tokens};
  });
}

/** Plays a case; the same seed gives the same result. */
export function runExperiment(
  experiment: ExperimentCase,
  seed: number,
): ExperimentResult {
  const random = createRandom(seed);
  const agenda = createAgenda();
  const load = createLoad({...experiment, random});
  const fleet: FleetModel = createFleetModel({...experiment, agenda, random});
  const computeWeight = createWeights(load);
  const results = new Map(
    experiment.kinds.map(kind => [kind.name, createKindResult(kind)]),
  );
  const readOnce = new Set<string>();
  let neededTokens = 0;

  function settleRequest(
    request: LoadRequest,
    end: 'onTime' | 'late' | 'refused' | 'failed',
    cause?: 'lateFirst' | 'latePause',
  ): void {
    const result = results.get(request.kind.name)!;
    const {worth, lateWorth} = request.kind;
    const weight = computeWeight(request);
    result.requests += 1;
    result[end] += 1;
    if (cause) {
      result[cause] += 1;
    }
    result.owed += worth * weight;
    const credit = {onTime: worth, late: lateWorth, refused: 0, failed: 0}[end];
    result.earned += credit * weight;
  }

  /** Tokens that have to be read however requests are placed. */
  function countNeeded(request: LoadRequest): void {
    for (const {key, tokens} of buildModelParts(request)) {
      if (key === '' || !readOnce.has(key)) {
        neededTokens += tokens;
        readOnce.add(key);
      }
    }
  }

  function sendRequest(
    request: LoadRequest,
    instance: ModelInstance,
    refusals: number,
  ): void {
    const {kind} = request;
    const endsAt = request.atMs + kind.deadlineMs;
    const patienceMs = Math.max(
      LEAST_PATIENCE_MS,
      PATIENCE_TARGETS * kind.targetMs,
      PATIENCE_PAUSES * kind.pauseMs,
    );
    const giveUpAt =
      agenda.now + Math.max(MINIMUM_WAIT_MS, kind.targetMs * WAIT_PART);
    const excluded = new Set<string>();

    function refuse(): void {
      if (refusals >= RETRIES) {
        settleRequest(request, 'refused');
        return;
      }
      const returnMs = (endsAt - agenda.now) * RETURN_PART;
      const other =
        fleet.instances[
          Math.floor(random.nextFloat() * fleet.instances.length)
        ]!;
      agenda.runAt(agenda.now + returnMs, () =>
        sendRequest(request, other, refusals + 1),
      );
    }

    function findServer(): void {
      const leftMs = endsAt - agenda.now;
      const selected = fleet.select(instance, request, leftMs, excluded);
      if (!selected) {
        if (agenda.now + LOOK_MS > giveUpAt) {
          refuse();
        } else {
          agenda.runAt(agenda.now + LOOK_MS, findServer);
        }
        return;
      }
      const {server, ticket} = selected;
      const engine = fleet.engines.get(server.id)!;
      // The address of a server of the model is its identity.
      const source = fleet.engines.get(selected.copySource ?? '');
      let lastAt = agenda.now;
      let isFirst = true;
      let cause: 'lateFirst' | 'latePause' | undefined;
      let isEnded = false;
      let silenceId = 0;

      function end(result: 'onTime' | 'late' | 'failed'): void {
        isEnded = true;
        ticket.end();
        settleRequest(request, result, result === 'late' ? cause : undefined);
      }

      function watchSilence(): void {
        silenceId += 1;
        const id = silenceId;
        agenda.runAt(Math.min(agenda.now + patienceMs, endsAt), () => {
          if (!isEnded && id === silenceId) {
            engine.cancel(job);
            end('failed');
          }
        });
      }

      const job: EngineJob = {
        urgency: kind.priority,
        parts: buildModelParts(request),
        outputTokens: request.outputTokens,
        ...(source ? {copySource: source} : {}),
        onEvent: isLast => {
          if (isEnded) {
            return;
          }
          const since = isFirst ? request.atMs : lastAt;
          const limit = isFirst ? kind.targetMs - ROUND_TRIP_MS : kind.pauseMs;
          if (agenda.now - since > limit) {
            cause ??= isFirst ? 'lateFirst' : 'latePause';
          }
          if (isFirst) {
            selected.markRead(agenda.now);
          }
          isFirst = false;
          lastAt = agenda.now;
          if (isLast) {
            end(cause ? 'late' : 'onTime');
          } else {
            watchSilence();
          }
        },
        onBroken: () => {
          instance.selection.recordOutcome(server.id, 'failed', agenda.now);
          end('failed');
        },
      };
      if (!engine.submit(job)) {
        ticket.end();
        const outcome = engine.isUp ? 'failed' : 'unreachable';
        instance.selection.recordOutcome(server.id, outcome, agenda.now);
        excluded.add(server.id);
        findServer();
        return;
      }
      countNeeded(request);
      watchSilence();
    }
    findServer();
  }

  for (const request of load) {
    const instance =
      fleet.instances[Math.floor(random.nextFloat() * fleet.instances.length)]!;
    agenda.runAt(request.atMs, () => sendRequest(request, instance, 0));
  }
  for (const {atMs, forMs, part} of experiment.crashes) {
    const engines = [...fleet.engines.values()];
    const count = Math.round(engines.length * part);
    const first = Math.floor(random.nextFloat() * engines.length);
    for (let index = 0; index < count; index++) {
      const engine = engines[(first + index) % engines.length]!;
      agenda.runAt(atMs, () => engine.crash());
      agenda.runAt(atMs + forMs, () => engine.start());
    }
  }
  const longestMs = Math.max(...experiment.kinds.map(kind => kind.deadlineMs));
  agenda.advanceTo(experiment.durationMs + longestMs);

  const kinds = [...results.values()];
  const engines = [...fleet.engines.values()];
  const readTokens = engines.reduce(
    (sum, engine) => sum + engine.totals.readTokens,
    0,
  );
  return {
    kinds,
    credit:
      kinds.reduce((sum, kind) => sum + kind.earned, 0) /
      kinds.reduce((sum, kind) => sum + kind.owed, 0),
    readTokens,
    readAgainTokens: readTokens - neededTokens,
    copiedTokens: engines.reduce(
      (sum, engine) => sum + engine.totals.copiedTokens,
      0,
    ),
    preemptions: engines.reduce(
      (sum, engine) => sum + engine.totals.preemptions,
      0,
    ),
  };
}
