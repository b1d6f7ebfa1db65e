import * as assert from 'uvu/assert';
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import {createServerQueue} from '../src/index.js';
import type {QueueAction, QueuedRequest} from '../src/index.js';

const SEED = 20261204;
const LIMIT = 8;
const PREFILL_MS = 30;
const MS_PER_TOKEN = 25;
/** Time from a preemption until the request has stopped. */
const PREEMPTION_MS = 25;
const TICK_MS = 50;
/** Equal to the minimum lead time of an owned server. */
const LEAD_MS = 100;
const DURATION_MS = 120_000;

interface TestClass {
  className: string;
  tier: number;
  firstTokenMs: number;
  tokens: number;
  share: number;
  /** Ratio of offered tokens to the capacity of the server. */
  load: number;
}

interface Job {
  request: QueuedRequest;
  arrivedAt: number;
  remainingTokens: number;
  tokens: number;
  firstTokenAt?: number;
  startedAt: number;
  runId: number;
  isDone: boolean;
}

interface Totals {
  arrived: number;
  inTime: number;
  tokens: number;
  goodTokens: number;
}

interface SimulationEvent {
  at: number;
  run: () => void;
}

/** Event queue, sorted by time. */
function createEventQueue() {
  const items: SimulationEvent[] = [];
  return {
    add(at: number, run: () => void): void {
      let low = 0;
      let high = items.length;
      while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if (items[middle]!.at > at) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      items.splice(low, 0, {at, run});
    },
    next: () => items.pop(),
  };
}

/** Simulates one queue and one server whose streams have a constant speed. */
function runServer(classes: readonly TestClass[]): Map<string, Totals> {
  const random = createRandom(SEED);
  const shares = new Map(classes.map(item => [item.className, item.share]));
  const queue = createServerQueue({
    limit: LIMIT,
    leadMs: LEAD_MS,
    getMinimumShare: name => shares.get(name)!,
  });
  const jobs = new Map<string, Job>();
  const events = createEventQueue();
  let now = 0;

  function countGenerated(job: Job): number {
    const ms = Math.max(0, now - job.startedAt - PREFILL_MS);
    return Math.min(job.remainingTokens, Math.floor(ms / MS_PER_TOKEN));
  }

  function applyActions(actions: readonly QueueAction[]): void {
    for (const {type, request} of actions) {
      const job = jobs.get(request.attemptId)!;
      if (type === 'dispatch') {
        startJob(job);
      } else if (type === 'preempt') {
        stopJob(job);
      }
    }
  }

  function startJob(job: Job): void {
    job.startedAt = now;
    job.runId += 1;
    const {runId} = job;
    job.firstTokenAt ??= now + PREFILL_MS;
    events.add(now + PREFILL_MS + job.remainingTokens * MS_PER_TOKEN, () => {
      if (job.runId === runId) {
        job.remainingTokens = 0;
        job.isDone = true;
        finishJob(job, job.tokens);
      }
    });
  }

  function finishJob({request}: Job, tokens: number): void {
    const {attemptId} = request;
    applyActions(queue.step({type: 'finish', attemptId, tokens}, now));
  }

  /** Preempts a stream; its remaining tokens are queued again. */
  function stopJob(job: Job): void {
    const done = countGenerated(job);
    job.runId += 1;
    if (
      now < job.startedAt + PREFILL_MS &&
      job.remainingTokens === job.tokens
    ) {
      job.firstTokenAt = undefined;
    }
    job.remainingTokens -= done;
    events.add(now + PREEMPTION_MS, () => {
      finishJob(job, done);
      applyActions(queue.step({type: 'enqueue', request: job.request}, now));
    });
  }

  const tokensPerSecond = (LIMIT * 1000) / MS_PER_TOKEN;
  let count = 0;
  for (const item of classes) {
    let at = 0;
    for (;;) {
      const gapMs = (1000 * item.tokens) / (tokensPerSecond * item.load);
      at -= Math.log(1 - random.nextFloat()) * gapMs;
      if (at > DURATION_MS) {
        break;
      }
      const tokens = Math.ceil(item.tokens * (0.5 + random.nextFloat()));
      const arrivedAt = at;
      count += 1;
      const attemptId = `${item.className}-${count}`;
      events.add(arrivedAt, () => {
        const request: QueuedRequest = {
          attemptId,
          className: item.className,
          customerId: `customer-${count % 7}`,
          tier: item.tier,
          deadline: now + item.firstTokenMs,
          estimatedTokens: item.tokens,
        };
        jobs.set(attemptId, {
          request,
          arrivedAt,
          tokens,
          remainingTokens: tokens,
          startedAt: 0,
          runId: 0,
          isDone: false,
        });
        applyActions(queue.step({type: 'enqueue', request}, now));
      });
    }
  }
  for (let at = 0; at < DURATION_MS; at += TICK_MS) {
    events.add(at, () => applyActions(queue.step({type: 'tick'}, now)));
  }
  for (
    let event = events.next();
    event && event.at <= DURATION_MS;
    event = events.next()
  ) {
    now = event.at;
    event.run();
  }

  const totals = new Map<string, Totals>();
  for (const item of classes) {
    totals.set(item.className, {
      arrived: 0,
      inTime: 0,
      tokens: 0,
      goodTokens: 0,
    });
  }
  for (const job of jobs.values()) {
    const total = totals.get(job.request.className)!;
    const isInTime =
      job.firstTokenAt !== undefined &&
      job.firstTokenAt <= job.request.deadline;
    // Ignores requests whose deadline is after the end of the run.
    if (job.request.deadline <= DURATION_MS) {
      total.arrived += 1;
      total.inTime += Number(isInTime);
    }
    const tokens = job.tokens - job.remainingTokens;
    total.tokens += tokens;
    total.goodTokens += job.isDone && isInTime ? tokens : 0;
  }
  return totals;
}

const onSite = {className: 'on-site', tier: 1, firstTokenMs: 410, tokens: 22};
const summary = {className: 'summary', tier: 2, firstTokenMs: 1500, tokens: 45};
const overnight = {
  className: 'overnight',
  tier: 4,
  firstTokenMs: 60_000,
  tokens: 90,
};

function computeTotals(loads: readonly [number, number, number]) {
  const totals = runServer([
    {...onSite, share: 0.2, load: loads[0]},
    {...summary, share: 0.15, load: loads[1]},
    {...overnight, share: 0.05, load: loads[2]},
  ]);
  const list = [...totals.values()];
  const capacity = (DURATION_MS / MS_PER_TOKEN) * LIMIT;
  const all = list.reduce((sum, item) => sum + item.tokens, 0);
  return {
    attainment: list.map(item => item.inTime / item.arrived),
    shares: list.map(item => item.tokens / all),
    goodput: list.reduce((sum, item) => sum + item.goodTokens, 0) / capacity,
  };
}

describe('queue under overload', () => {
  it('keeps the highest tier in time if the next tier offers 3 times the capacity', () => {
    const {attainment, shares, goodput} = computeTotals([0.2, 3, 0.2]);
    assert.ok(attainment[0]! >= 0.99, `on-site ${attainment[0]}`);
    assert.ok(shares[2]! >= 0.05, `overnight ${shares[2]}`);
    assert.ok(goodput >= 0.9 * computeTotals([0.3, 0.4, 0.3]).goodput);
  });

  it('keeps the highest tier in time during a rush without starving the lowest', () => {
    const {attainment, shares} = computeTotals([0.3, 1.5, 0.3]);
    assert.ok(attainment[0]! >= 0.99, `on-site ${attainment[0]}`);
    assert.ok(shares[2]! >= 0.05, `overnight ${shares[2]}`);
  });

  it('keeps the highest tier in time if it offers half of the capacity', () => {
    const {attainment, shares} = computeTotals([0.5, 1, 0.3]);
    assert.ok(attainment[0]! >= 0.99, `on-site ${attainment[0]}`);
    assert.ok(shares[2]! >= 0.05, `overnight ${shares[2]}`);
  });

  it('keeps all classes in time at 70 % of the capacity', () => {
    const {attainment} = computeTotals([0.21, 0.28, 0.21]);
    attainment.forEach(ratio => assert.ok(ratio >= 0.99, String(ratio)));
  });
});
