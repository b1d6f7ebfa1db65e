/** Servers that answer 503 with `Retry-After`, before a gateway on loopback. */
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import {answerSoon, clock, startLeavingFleet} from './support/leaving_fleet.js';
import type {
  Answerer,
  LeavingFleetOptions,
  LeavingServer,
} from './support/leaving_fleet.js';

type Fleet = Awaited<ReturnType<typeof startLeavingFleet>>;

const CALLERS = 10;
const BEFORE_MS = 150;
const PAUSE_S = 1.2;
const PAUSE_MS = PAUSE_S * 1000;
/** Time that an instance has to act on the answer. */
const REACTION_MS = 500;
/** Requests that may reach a server in the rest of the time. */
const MAXIMUM_ARRIVALS = 2;
const EVENTS = 5;
const EVENT_INTERVAL_MS = 20;
const SLOW_TRIAL_MS = 250;

/** The other servers are full, so that requests go wherever they may. */
const FULL = {service: {maximumConnections: 4}};

const STREAM = {kind: RouteKind.STREAM, maximumServers: 3};

const sendEvents: Answerer = (_, response, headers) => {
  let sent = 0;
  response.writeHead(200, headers);
  const timer = setInterval(() => {
    sent += 1;
    response.write(`id: ${sent}\ndata: ${sent}\n\n`);
    if (sent === EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_INTERVAL_MS);
  response.on('close', () => clearInterval(timer));
};
/** Breaks each stream off after its first event. */
const breakStream: Answerer = (_, response, headers) => {
  response.writeHead(200, headers);
  response.write('id: 1\ndata: 1\n\n', () =>
    setTimeout(() => response.destroy(), 5),
  );
};
const answerSlowly: Answerer = (_, response, headers) => {
  setTimeout(() => {
    response.writeHead(200, headers);
    response.end('good');
  }, SLOW_TRIAL_MS);
};

/** Has a server pause; returns the times of its answers that say so. */
function pause(
  server: LeavingServer,
  selectHeaders: (
    headers: Record<string, string>,
  ) => Record<string, string> = headers => ({...headers, 'not-run': '1'}),
): number[] {
  const answeredAt: number[] = [];
  server.answer = (_, response, headers) => {
    answeredAt.push(clock.now());
    response.writeHead(503, {
      ...selectHeaders(headers),
      'retry-after': String(PAUSE_S),
    });
    response.end();
  };
  return answeredAt;
}

/** Counts the requests in the time for which an answer binds the instance. */
function countBound({arrivals}: LeavingServer, answeredAt: number): number {
  return arrivals.filter(
    ({arrivedAt}) =>
      arrivedAt > answeredAt + REACTION_MS && arrivedAt < answeredAt + PAUSE_MS,
  ).length;
}

function checkPause(server: LeavingServer, answers: readonly number[]): void {
  assert.ok(answers.length > 0, 'no answer with a pause');
  for (const answeredAt of answers) {
    const count = countBound(server, answeredAt);
    assert.ok(count <= MAXIMUM_ARRIVALS, `${count} requests in a pause`);
  }
}

async function runWithFleet(
  options: LeavingFleetOptions,
  run: (fleet: Fleet, pausing: LeavingServer) => Promise<void>,
): Promise<void> {
  const fleet = await startLeavingFleet(options);
  try {
    await run(fleet, fleet.servers[0]!);
  } finally {
    await fleet.close();
  }
}

describe('a server that answers 503 with Retry-After', () => {
  const heads: Array<
    [string, (headers: Record<string, string>) => Record<string, string>]
  > = [
    ['that states that nothing ran', headers => ({...headers, 'not-run': '1'})],
    ['without that', headers => headers],
    ['without an id', () => ({'not-run': '1'})],
    ['without an id and without that', () => ({})],
  ];
  for (const [name, selectHeaders] of heads) {
    // Guards against requests that go on to reach a server that asked for none (measured: 6).
    it(`gets two requests at most in that time: ${name}`, async () => {
      await runWithFleet(FULL, async (fleet, pausing) => {
        await fleet.runCallers(CALLERS, BEFORE_MS);
        const answers = pause(pausing, selectHeaders);
        await fleet.runCallers(CALLERS, 2 * PAUSE_MS + REACTION_MS);
        checkPause(pausing, answers);
      });
    });
  }

  // Guards against waiting requests that go to it when the others are full.
  it('gets no request that waits for a server', async () => {
    const options = {...FULL, servers: 2};
    await runWithFleet(options, async (fleet, pausing) => {
      await fleet.runCallers(CALLERS, BEFORE_MS);
      const answers = pause(pausing);
      await fleet.runCallers(CALLERS, PAUSE_MS);
      checkPause(pausing, answers);
    });
  });

  // Guards against repeats and resumed streams that go to it.
  it('gets no repeat and resumes no stream', async () => {
    const route = {...STREAM, isResumable: true};
    await runWithFleet({...FULL, route}, async (fleet, pausing) => {
      const [, breaking, sound] = fleet.servers;
      fleet.servers.forEach(server => {
        server.answer = sendEvents;
      });
      await fleet.runCallers(CALLERS, BEFORE_MS);
      const answers = pause(pausing);
      breaking!.answer = breakStream;
      sound!.answer = sendEvents;
      await fleet.runCallers(CALLERS, PAUSE_MS);
      checkPause(pausing, answers);
    });
  });

  // Guards against prompts that follow their cached prefix to it.
  it('gets no generation whose prefix it has cached', async () => {
    const engine = {
      slots: 16,
      kvCacheTokens: 100_000,
      copiedTokensPerMs: 100,
      tokensPerEvent: 5,
    };
    const options = {
      service: {...FULL.service, engine},
      route: {...STREAM, targetLatencyMs: 500},
      blocks: ['shared', 'own'],
    };
    await runWithFleet(options, async fleet => {
      fleet.servers.forEach(server => {
        server.answer = sendEvents;
      });
      await fleet.runCallers(2, 400);
      const preferred = fleet.servers.reduce((most, server) =>
        server.arrivals.length > most.arrivals.length ? server : most,
      );
      const answers = pause(preferred);
      await fleet.runCallers(CALLERS, PAUSE_MS);
      checkPause(preferred, answers);
    });
  });

  // Guards against a burst at the end of the time, and against a server that stays unused.
  it('returns with one trial, and then serves again', async () => {
    await runWithFleet({}, async (fleet, pausing) => {
      await fleet.runCallers(CALLERS, BEFORE_MS);
      const answers = pause(pausing);
      await fleet.runCallers(CALLERS, REACTION_MS);
      const lastAnswer = Math.max(...answers);
      pausing.answer = answerSlowly;
      const callers = fleet.runCallers(CALLERS, 2 * PAUSE_MS);
      await waitFor(lastAnswer + PAUSE_MS + SLOW_TRIAL_MS - clock.now());
      checkPause(pausing, answers);
      const trials = pausing.arrivals.filter(
        ({arrivedAt}) => arrivedAt > lastAnswer + REACTION_MS,
      );
      assert.ok(trials.length <= 1, `${trials.length} trials`);
      pausing.answer = answerSoon;
      await callers;
      const before = pausing.arrivals.length;
      const results = await fleet.runCallers(CALLERS, REACTION_MS);
      assert.ok(results.every(({status}) => status === 200));
      const served = pausing.arrivals.length - before;
      assert.ok(served > results.length / 6, `${served} of ${results.length}`);
    });
  });

  // Guards against a caller that returns before the server does, and against a request held in vain.
  it('leaves callers with the time when a server is expected, if none is left', async () => {
    await runWithFleet({servers: 2}, async (fleet, pausing) => {
      const answers = pause(pausing);
      const others = pause(fleet.servers[1]!);
      const refused = await fleet.send();
      const sentAt = clock.now();
      const later = await fleet.send();
      assert.ok(clock.now() - sentAt < 100, 'refused at once');
      for (const {status, retryAfter} of [refused, later]) {
        assert.is(status, 503);
        const seconds = Number(retryAfter);
        assert.ok(seconds > 0.9 && seconds <= PAUSE_S, `after ${retryAfter} s`);
      }
      fleet.servers.forEach(server => {
        server.answer = answerSoon;
      });
      await waitFor(Number(later.retryAfter) * 1000);
      assert.is((await fleet.send()).status, 200, 'served after that time');
      checkPause(pausing, answers);
      checkPause(fleet.servers[1]!, others);
    });
  });

  // Guards against a successor that is avoided for what its predecessor stated.
  it('does not keep requests from its successor', async () => {
    await runWithFleet({servers: 1}, async (fleet, pausing) => {
      pause(pausing);
      await fleet.send();
      pausing.answer = answerSoon;
      pausing.entry = {...pausing.entry, startedAt: 2};
      fleet.setListed([pausing]);
      await fleet.waitForRead();
      assert.is((await fleet.send()).status, 200);
    });
  });
});

describe('a server that answers 503 without Retry-After', () => {
  // Guards against a server that is avoided without having asked for it.
  it('still gets requests', async () => {
    await runWithFleet({servers: 1}, async (fleet, refusing) => {
      refusing.answer = (_, response, headers) => {
        response.writeHead(503, {...headers, 'not-run': '1'});
        response.end();
      };
      await fleet.send();
      refusing.answer = answerSoon;
      assert.is((await fleet.send()).status, 200);
    });
  });
});
