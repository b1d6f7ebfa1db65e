/**
 * Order by urgency: requests of this instance that wait for a server take free capacity
 * by their urgency, then by arrival. docs/design/admission.md describes it.
 */
import {
  createCapacityReturns,
  createRankReserve,
} from '@buckthornbeam/decisions';
import type {RoomShortages} from '@buckthornbeam/decisions';
import type {Clock} from '@buckthornbeam/shared';
import type {Route} from '../model.js';
import {CapacityLack} from '../state/capacity_lack.js';
import type {
  SelectedServer,
  SelectionClusterState,
} from '../state/server_selection.js';
import {computeWaitLimits} from '../state/start_estimate.js';
import type {WaitLimits} from '../state/start_estimate.js';
import type {WaitingPlace} from '../state/waiting_requests.js';
import {AdmissionReason} from './admission_reason.js';
import type {
  Admission,
  AdmissionResult,
  AdmittedRequest,
} from './admission_reason.js';
import {createCapacityHolds, listTargets} from './capacity_holds.js';
import type {BlockedPositions, CapacityTarget} from './capacity_holds.js';
import {HONOURED_RATIO, computeRetryAfter} from './retry_after.js';
import {selectTried, sortByTurn} from './waiting_turn.js';
import type {TurnRequest} from './waiting_turn.js';

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  clusterState: SelectionClusterState;
  shortages: RoomShortages;
  /** Prompt tokens that a model server prefills in a millisecond. */
  prefillTokensPerMs: number;
  clock: Clock;
  /** Called when a wait has ended. */
  onWaitEnd?: (result: AdmissionResult) => void;
  /** Returns a number in [0, 1). */
  random?: () => number;
  /** Calls the function regularly until the returned one is called. */
  startTimer?: (advance: () => void) => () => void;
}

interface Waiter extends TurnRequest {
  request: AdmittedRequest;
  position: number;
  excluded: ReadonlySet<string>;
  targets: readonly CapacityTarget[];
  startedAt: number;
  limits: WaitLimits;
  /** Set while only limited rates keep it back. */
  place: WaitingPlace | undefined;
  reason: AdmissionReason;
  limitWaitMs: number | undefined;
  resolve: (result: AdmissionResult) => void;
}

/** Interval at which servers are selected for waiting requests. */
const TURN_MS = 10;
/**
 * What a longer wait does not help against: a backlog shrinks no faster than the time
 * that the request has left, and other instances serve the caller at once.
 */
const END_AT_ONCE: ReadonlySet<CapacityLack> = new Set([
  CapacityLack.SHARED,
  CapacityLack.ELSEWHERE,
]);
/**
 * Fraction of the usual backlog that a request may meet that passes by the reserve. Its
 * prefill slows down the answers of the more urgent ones that run on the server.
 */
const PASSING_BACKLOG_FACTOR = 0.25;
/** Of a request that passes by the reserve. */
const FIRST_PLACE: WaitingPlace = {
  countAhead: () => 0,
  end: () => undefined,
};

function startInterval(advance: () => void): () => void {
  const timer = setInterval(advance, TURN_MS);
  return () => clearInterval(timer);
}

export function createAdmission(options: AdmissionOptions): Admission {
  const {clusterState, shortages, clock, random = Math.random} = options;
  const {startTimer = startInterval, onWaitEnd = () => undefined} = options;
  const reserve = createRankReserve({random});
  const returns = createCapacityReturns({random});
  const holds = createCapacityHolds({clusterState, shortages, reserve});
  /** In the order of urgency, then of arrival. */
  let waiters: Waiter[] = [];
  let turn = 0;
  let stopTimer: (() => void) | undefined;

  function listServices({targets}: Route) {
    const services = clusterState.getConfiguration()?.services;
    return targets.flatMap(({serviceName}) => services?.get(serviceName) ?? []);
  }

  function setLimitWait(waiter: Waiter, limitWaitMs: number | undefined): void {
    waiter.limitWaitMs = limitWaitMs;
    if (limitWaitMs === undefined) {
      waiter.reason = AdmissionReason.CAPACITY;
      waiter.place?.end();
      waiter.place = undefined;
    } else {
      const {selection, route} = waiter.request;
      waiter.reason = AdmissionReason.LIMIT;
      waiter.place ??= selection.addWaiting(route, waiter.position);
    }
  }

  /** Selects a server of the services from which nothing holds the request back. */
  function selectServer(
    waiter: Waiter,
    blocked: BlockedPositions,
    now: number,
  ): SelectedServer | undefined {
    const {request, position, targets} = waiter;
    const backlogFactor = holds.computeBacklogFactor(targets, position, now);
    const held = new Map<string, AdmissionReason>();
    for (const target of targets) {
      const reason = holds.find(target, position, blocked, now);
      if (reason) {
        held.set(target.name, reason);
      }
    }
    const open = targets.filter(({name}) => !held.has(name));
    if (open.length === 0) {
      waiter.reason = [...held.values()][0] ?? AdmissionReason.CAPACITY;
      waiter.limitWaitMs = undefined;
      return undefined;
    }
    const canPass = waiter.canPass();
    const place = canPass ? FIRST_PLACE : waiter.place;
    const limits = {
      ...request.buildLimits(now),
      ...(place ? {place} : {}),
      isHeldBack: (name: string) => held.has(name),
      backlogFactor: canPass
        ? Math.max(PASSING_BACKLOG_FACTOR, backlogFactor)
        : backlogFactor,
    };
    waiter.triedInTurn = turn;
    const selected = request.select(limits, now);
    if (selected) {
      return selected;
    }
    const {selection, route, metadata, excluded} = request;
    setLimitWait(
      waiter,
      selection.computeLimitWait(route, metadata, excluded, limits, now),
    );
    holds.addBlocked(blocked, open, waiter);
    // The wait costs the caller something from the next turn on.
    if (now + TURN_MS > waiter.limits.lossBeginsAt) {
      const lack = selection.findLack(route, metadata, excluded, now);
      const isShared =
        lack === CapacityLack.SHARED || lack === CapacityLack.MIXED;
      holds.announce(open, {...waiter, isShared}, now);
      if (END_AT_ONCE.has(lack) && !request.hasBegun) {
        waiter.limits.endsAt = Math.min(
          waiter.limits.endsAt,
          waiter.limits.sharedEndsAt,
        );
      }
    }
    return undefined;
  }

  function finish(waiter: Waiter, selected: SelectedServer | undefined): void {
    const now = clock.now();
    waiters = waiters.filter(item => item !== waiter);
    waiter.place?.end();
    if (waiters.length === 0) {
      stopTimer?.();
      stopTimer = undefined;
    }
    if (selected) {
      for (const {name} of waiter.targets) {
        reserve.recordStart(name, waiter.position, now);
        returns.recordStart(name, waiter.position, now);
      }
    }
    const result = {
      selected,
      limitWaitMs: selected ? undefined : waiter.limitWaitMs,
      waitedMs: now - waiter.startedAt,
      reason: waiter.reason,
    };
    onWaitEnd(result);
    waiter.resolve(result);
  }

  /** Ends the wait of a request that is cancelled or gets no server in time. */
  function endIfOver(waiter: Waiter, now: number): boolean {
    const {request, limits, limitWaitMs = 0} = waiter;
    const isCancelled =
      request.disconnectSignal.aborted || request.stopSignal.aborted;
    const nextAt = now + Math.max(TURN_MS, limitWaitMs);
    if (!isCancelled && nextAt <= limits.endsAt) {
      return false;
    }
    if (!isCancelled && now + TURN_MS > limits.latestStartAt) {
      waiter.reason = AdmissionReason.LATE;
    }
    finish(waiter, undefined);
    return true;
  }

  function advance(): void {
    const now = clock.now();
    turn += 1;
    const blocked: BlockedPositions = new Map();
    const ordered = sortByTurn(waiters);
    const tried = selectTried(ordered);
    let hasStarted = false;
    for (const waiter of ordered) {
      // Where one request was sent, there may be capacity for more of them.
      if (endIfOver(waiter, now) || !(tried.has(waiter) || hasStarted)) {
        continue;
      }
      const selected = selectServer(waiter, blocked, now);
      hasStarted = selected !== undefined;
      if (selected) {
        finish(waiter, selected);
      }
    }
  }

  function addWaiter(waiter: Waiter): void {
    const index = waiters.findIndex(item => item.position > waiter.position);
    waiters.splice(index < 0 ? waiters.length : index, 0, waiter);
    stopTimer ??= startTimer(advance);
  }

  /** Lists the capacity that more urgent waiting requests lack. */
  function listBlocked(position: number): BlockedPositions {
    const blocked: BlockedPositions = new Map();
    for (const other of waiters) {
      if (other.position < position) {
        holds.addBlocked(blocked, other.targets, other);
      }
    }
    return blocked;
  }

  function createWaiter(
    request: AdmittedRequest,
    now: number,
    resolve: Waiter['resolve'],
  ): Waiter {
    const {route, urgencyPosition: position} = request;
    const targets = listTargets(route, request.metadata);
    return {
      request,
      position,
      excluded: request.excluded,
      targets,
      rank: `${position} ${targets.map(({key}) => key).join()}`,
      canPass: () => targets.some(({name}) => reserve.canPass(name, position)),
      startedAt: now,
      limits: computeWaitLimits(
        {...request, now},
        listServices(route),
        options.prefillTokensPerMs,
      ),
      place: undefined,
      reason: AdmissionReason.NONE,
      limitWaitMs: undefined,
      triedInTurn: 0,
      resolve,
    };
  }

  function wait(request: AdmittedRequest): Promise<AdmissionResult> {
    const now = clock.now();
    return new Promise(resolve => {
      const waiter = createWaiter(request, now, resolve);
      const {position, targets, rank} = waiter;
      for (const {name} of targets) {
        reserve.recordAsked(name, position, now);
        returns.recordAsked(name, position, now);
      }
      if (waiters.some(other => other.rank === rank)) {
        waiter.reason = AdmissionReason.ORDER;
        addWaiter(waiter);
        return;
      }
      const selected = selectServer(waiter, listBlocked(position), now);
      if (selected) {
        finish(waiter, selected);
      } else if (!endIfOver(waiter, now)) {
        addWaiter(waiter);
      }
    });
  }

  return {
    wait,
    addHolds: (route, metadata, limits, now) => {
      const position = limits.urgencyPosition;
      const blocked = listBlocked(position);
      const held = listTargets(route, metadata).filter(target =>
        holds.find(target, position, blocked, now),
      );
      return {
        ...limits,
        isHeldBack: serviceName => held.some(({name}) => name === serviceName),
      };
    },
    countWaiting: () => waiters.length,
    computeRetryAfter: ({
      route,
      urgencyPosition,
      deadlineAt,
      availableInMs,
    }) => {
      const now = clock.now();
      const remainingMs = Math.max(0, deadlineAt - now);
      const plannedMs = returns.planReturn({
        serviceName: route.targets[0]?.serviceName ?? '',
        urgencyPosition,
        longestMs: remainingMs * HONOURED_RATIO,
        now,
      });
      return computeRetryAfter({remainingMs, random, availableInMs, plannedMs});
    },
  };
}
