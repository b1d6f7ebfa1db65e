/** Callers of an experiment: they wait, come back once and leave. */
import type {RandomSource} from '@buckthornbeam/shared';
import type {SelectedServer} from '@buckthornbeam/gateway';
import type {Agenda} from './agenda.js';
import type {CreditLedger, LateCause} from './credit_ledger.js';
import type {EngineJob} from './engine.js';
import type {FleetModel, ModelInstance} from './fleet_model.js';
import {listModelParts} from './load_model.js';
import type {LoadRequest, RequestKind} from './load_model.js';

/** Options of {@link createModelCallers}. */
export interface ModelCallersOptions {
  agenda: Agenda;
  fleet: FleetModel;
  random: RandomSource;
  ledger: CreditLedger;
}

/** Callers. */
export interface ModelCallers {
  /** Sends a request to an instance that is chosen at random. */
  sendRequest(request: LoadRequest): void;
}

/** One try of a caller at one instance. */
interface CallerTry {
  request: LoadRequest;
  instance: ModelInstance;
  /** Refusals before it. */
  refusals: number;
  /** When it is refused if no server was found, in milliseconds. */
  giveUpAt: number;
  /** Servers that did not take it. */
  excluded: Set<string>;
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

function computePatience({targetMs, pauseMs}: RequestKind): number {
  return Math.max(
    LEAST_PATIENCE_MS,
    PATIENCE_TARGETS * targetMs,
    PATIENCE_PAUSES * pauseMs,
  );
}

function getEnd({kind, atMs}: LoadRequest): number {
  return atMs + kind.deadlineMs;
}

/** Creates the callers of a fleet. */
export function createModelCallers(options: ModelCallersOptions): ModelCallers {
  const {agenda, fleet, random, ledger} = options;

  function startTry(request: LoadRequest, refusals: number): void {
    const {instances} = fleet;
    const {targetMs} = request.kind;
    findServer({
      request,
      instance: instances[Math.floor(random.nextFloat() * instances.length)]!,
      refusals,
      giveUpAt: agenda.now + Math.max(MINIMUM_WAIT_MS, targetMs * WAIT_PART),
      excluded: new Set(),
    });
  }

  function refuseTry({request, refusals}: CallerTry): void {
    if (refusals >= RETRIES) {
      ledger.settleRequest(request, 'refused');
      return;
    }
    const returnMs = (getEnd(request) - agenda.now) * RETURN_PART;
    agenda.runAt(agenda.now + returnMs, () => startTry(request, refusals + 1));
  }

  function findServer(item: CallerTry): void {
    const {request, instance, excluded, giveUpAt} = item;
    const leftMs = getEnd(request) - agenda.now;
    const selected = fleet.select(instance, request, leftMs, excluded);
    if (selected) {
      startAnswer(item, selected);
    } else if (agenda.now + LOOK_MS > giveUpAt) {
      refuseTry(item);
    } else {
      agenda.runAt(agenda.now + LOOK_MS, () => findServer(item));
    }
  }

  /** Follows an answer from its server to its caller. */
  function startAnswer(item: CallerTry, selected: SelectedServer): void {
    const {request, instance} = item;
    const {kind} = request;
    const {server, ticket} = selected;
    const engine = fleet.engines.get(server.id)!;
    // The address of a server of the model is its identity.
    const source = fleet.engines.get(selected.copySource ?? '');
    const patienceMs = computePatience(kind);
    let lastAt: number | undefined;
    let cause: LateCause | undefined;
    let isEnded = false;
    let events = 0;

    function endAnswer(end: 'onTime' | 'late' | 'failed'): void {
      isEnded = true;
      ticket.end();
      ledger.settleRequest(request, end, end === 'late' ? cause : undefined);
    }

    /** The caller leaves when nothing comes for a while. */
    function watchSilence(): void {
      const seen = events;
      const leavesAt = Math.min(agenda.now + patienceMs, getEnd(request));
      agenda.runAt(leavesAt, () => {
        if (!isEnded && seen === events) {
          engine.cancel(job);
          endAnswer('failed');
        }
      });
    }

    function checkTime(): void {
      if (lastAt === undefined) {
        const limit = request.atMs + kind.targetMs - ROUND_TRIP_MS;
        cause = agenda.now > limit ? 'lateFirst' : undefined;
      } else if (agenda.now - lastAt > kind.pauseMs) {
        cause ??= 'latePause';
      }
    }

    const job: EngineJob = {
      urgency: kind.priority,
      parts: listModelParts(request),
      outputTokens: request.outputTokens,
      ...(source ? {copySource: source} : {}),
      onEvent: isLast => {
        if (isEnded) {
          return;
        }
        checkTime();
        if (lastAt === undefined) {
          selected.markRead(agenda.now);
        }
        lastAt = agenda.now;
        events += 1;
        if (isLast) {
          endAnswer(cause ? 'late' : 'onTime');
        } else {
          watchSilence();
        }
      },
      onBroken: () => {
        instance.selection.recordOutcome(server.id, 'failed', agenda.now);
        endAnswer('failed');
      },
    };

    if (!engine.submit(job)) {
      ticket.end();
      const outcome = engine.isUp ? 'failed' : 'unreachable';
      instance.selection.recordOutcome(server.id, outcome, agenda.now);
      item.excluded.add(server.id);
      findServer(item);
      return;
    }
    ledger.recordTaken(request);
    watchSilence();
  }

  return {sendRequest: request => startTry(request, 0)};
}
