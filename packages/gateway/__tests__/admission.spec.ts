/** The queue of one instance, with scripted servers and turns. */
import {createRoomShortages} from '@buckthornbeam/decisions';
import {createManualClock} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import type {Route} from '../src/model.js';
import {createAdmission} from '../src/relay/admission.js';
import {AdmissionReason} from '../src/relay/admission_reason.js';
import type {AdmissionResult} from '../src/relay/admission_reason.js';
import {CapacityLack} from '../src/state/capacity_lack.js';
import type {SelectedServer} from '../src/state/server_selection.js';
import {
  createConfiguration,
  createFilledClusterState,
  createRoute,
  createServerEntry,
} from './support/fixtures.js';

const TURN_MS = 10;
const SERVER = createServerEntry();

interface WaitOptions {
  name: string;
  position?: number;
  route?: Partial<Route>;
  excluded?: readonly string[];
  deadlineMs?: number;
  promptTokens?: number;
  limitWaitMs?: number;
  lack?: CapacityLack;
}

function createQueue() {
  const clock = createManualClock(1000);
  const shortages = createRoomShortages();
  let advance: (() => void) | undefined;
  /** Requests that got a server, in order. */
  const started: string[] = [];
  const results = new Map<string, AdmissionResult>();
  const state = {capacity: 0, places: 0};
  const configuration = createConfiguration();
  const service = configuration.services.get('service')!;
  const engine = {
    slots: 4,
    kvCacheTokens: 1000,
    copiedTokensPerMs: 0,
    tokensPerEvent: 1,
  };
  const admission = createAdmission({
    clusterState: createFilledClusterState(
      {
        ...configuration,
        services: new Map([['service', {...service, engine}]]),
      },
      [SERVER],
    ),
    shortages,
    prefillTokensPerMs: 50,
    clock,
    random: () => 0,
    startTimer: run => {
      advance = run;
      return () => {
        advance = undefined;
      };
    },
  });

  function startWait({
    name,
    position = 0,
    route: changes,
    excluded = [],
    deadlineMs = 4000,
    promptTokens,
    limitWaitMs,
    lack = CapacityLack.OWN,
  }: WaitOptions): AbortController {
    const disconnect = new AbortController();
    const route = createRoute({targetLatencyMs: 400, ...changes});
    const receivedAt = clock.now();
    const deadlineAt = receivedAt + deadlineMs;
    void admission
      .wait({
        route,
        metadata: {
          id: name,
          host: 'host',
          path: '/a/',
          deadlineMs,
          apiKey: undefined,
          lastEventId: undefined,
          generation:
            promptTokens === undefined
              ? undefined
              : {
                  model: 'model',
                  promptTokens,
                  maximumOutputTokens: 1,
                  expectedOutputTokens: 1,
                  blocks: [],
                },
        },
        urgencyPosition: position,
        excluded: new Set(excluded),
        receivedAt,
        deadlineAt,
        hasBegun: false,
        buildLimits: now => ({
          targetMs: 400,
          pauseMs: undefined,
          remainingMs: deadlineAt - now,
          urgencyPosition: position,
        }),
        select: limits => {
          if (state.capacity === 0 || limits.isHeldBack?.('service')) {
            return undefined;
          }
          state.capacity -= 1;
          started.push(name);
          return {server: SERVER} as SelectedServer;
        },
        selection: {
          addWaiting: () => {
            state.places += 1;
            return {
              countAhead: () => 0,
              end: () => {
                state.places -= 1;
              },
            };
          },
          computeLimitWait: () => limitWaitMs,
          findLack: () => lack,
        },
        disconnectSignal: disconnect.signal,
        stopSignal: new AbortController().signal,
      })
      .then(result => results.set(name, result));
    return disconnect;
  }

  async function runFor(ms: number): Promise<void> {
    for (const endsAt = clock.now() + ms; clock.now() < endsAt; ) {
      clock.advance(TURN_MS);
      advance?.();
      await Promise.resolve();
    }
    await new Promise(resolve => setImmediate(resolve));
  }

  return {
    admission,
    clock,
    shortages,
    state,
    started,
    results,
    startWait,
    runFor,
    isRunning: () => advance !== undefined,
  };
}

describe('waiting requests of one instance', () => {
  // Guards against capacity that goes to whoever asks at the right moment.
  it('start by urgency, then by arrival', async () => {
    const queue = createQueue();
    queue.startWait({name: 'late rank', position: 1});
    queue.startWait({name: 'first', position: 0});
    queue.startWait({name: 'second', position: 0});
    queue.state.capacity = 1;
    queue.startWait({name: 'new', position: 1});
    assert.equal(queue.started, []);
    await queue.runFor(TURN_MS);
    assert.equal(queue.started, ['first']);
    queue.state.capacity = 3;
    await queue.runFor(2 * TURN_MS);
    assert.equal(queue.started, ['first', 'second', 'late rank', 'new']);
    assert.is(queue.admission.countWaiting(), 0);
    assert.not.ok(queue.isRunning());
  });

  // Guards against a request that no server can take and that stops all others.
  it('are not held back by one whose servers have all failed it', async () => {
    const queue = createQueue();
    queue.startWait({name: 'failed', excluded: [SERVER.id]});
    await queue.runFor(TURN_MS);
    queue.state.capacity = 1;
    queue.startWait({name: 'other', position: 1});
    assert.equal(queue.started, ['other']);
  });

  it('are not held back by those restricted to a region', async () => {
    const queue = createQueue();
    queue.startWait({name: 'restricted', route: {allowedRegions: ['eu']}});
    await queue.runFor(TURN_MS);
    queue.state.capacity = 1;
    queue.startWait({name: 'other', position: 1});
    assert.equal(queue.started, ['other']);
  });

  describe('held back by a shortage', () => {
    // Guards against a rank that gets nothing for as long as others lack capacity.
    it('start by the reserve, or after its end', async () => {
      const queue = createQueue();
      let passed = 0;
      for (let now = 0; now < 4000; now += 50) {
        queue.shortages.record('service', 0, queue.clock.now());
        queue.state.capacity = 1;
        queue.startWait({name: `r${now}`, position: 1, deadlineMs: 1000});
        await queue.runFor(50);
        passed = queue.started.length;
      }
      assert.ok(passed >= 1 && passed < 40, `passed: ${passed}`);
      await queue.runFor(600);
      queue.startWait({name: 'afterwards', position: 1});
      assert.ok(queue.started.length > passed);
    });
  });
});

describe('the wait of a request', () => {
  // Guards against requests that are held while nobody gains from it, and against
  // urgent ones that are refused after an eighth of the target, before room returns.
  it('ends after a loss of an eighth, at once if it cannot end in time', async () => {
    const queue = createQueue();
    queue.startWait({name: 'usual'});
    queue.startWait({name: 'hopeless', deadlineMs: 500, promptTokens: 40_000});
    queue.startWait({
      name: 'backlog',
      route: {name: 'b', targets: [{serviceName: 'b', weight: 1}]},
      lack: CapacityLack.SHARED,
    });
    queue.startWait({
      name: 'unassigned',
      route: {name: 'c', targets: [{serviceName: 'c', weight: 1}]},
      lack: CapacityLack.ELSEWHERE,
    });
    await queue.runFor(2000);
    const {CAPACITY, LATE} = AdmissionReason;
    const expected: ReadonlyArray<[string, string, number]> = [
      ['usual', CAPACITY, 410],
      ['hopeless', LATE, 10],
      ['backlog', CAPACITY, 100],
      ['unassigned', CAPACITY, 100],
    ];
    for (const [name, reason, waitedMs] of expected) {
      const result = queue.results.get(name)!;
      assert.is(result.selected, undefined);
      assert.is(result.reason, reason, name);
      const text = `${name}: ${result.waitedMs} ms`;
      assert.ok(Math.abs(result.waitedMs - waitedMs) <= 20, text);
    }
  });

  // Guards against a stream that starts after its client has left.
  it('ends before the client leaves a stream without an event', async () => {
    const queue = createQueue();
    queue.startWait({
      name: 'stream',
      route: {kind: RouteKind.STREAM, targetLatencyMs: 400},
      deadlineMs: 60_000,
    });
    await queue.runFor(6000);
    const {waitedMs, reason} = queue.results.get('stream')!;
    assert.ok(waitedMs > 1900 && waitedMs < 2000, `${waitedMs} ms`);
    assert.is(reason, AdmissionReason.LATE);
  });

  // Guards against places that stay taken, and against a timer that never stops.
  it('ends with the caller, and gives back its place', async () => {
    const queue = createQueue();
    const disconnect = queue.startWait({name: 'limited', limitWaitMs: 100});
    await queue.runFor(TURN_MS);
    assert.is(queue.state.places, 1);
    disconnect.abort();
    await queue.runFor(TURN_MS);
    assert.is(queue.results.get('limited')!.selected, undefined);
    assert.is(queue.state.places, 0);
    assert.not.ok(queue.isRunning());
  });

  it('ends at once if limited rates allow nothing before its end', async () => {
    const queue = createQueue();
    queue.startWait({name: 'limited', limitWaitMs: 3000});
    await queue.runFor(TURN_MS);
    const {reason, limitWaitMs} = queue.results.get('limited')!;
    assert.is(reason, AdmissionReason.LIMIT);
    assert.is(limitWaitMs, 3000);
  });

  // Guards against shortages that are announced for what others cannot give.
  it('is announced only where others use the same capacity', async () => {
    const queue = createQueue();
    queue.startWait({name: 'own'});
    await queue.runFor(100);
    const now = queue.clock.now();
    assert.ok(queue.shortages.isScarce('service', now));
    assert.not.ok(queue.shortages.isHeldBack('service', 1, now));
    const other = createQueue();
    other.startWait({name: 'shared', lack: CapacityLack.SHARED});
    await other.runFor(100);
    assert.ok(other.shortages.isHeldBack('service', 1, other.clock.now()));
  });
});
