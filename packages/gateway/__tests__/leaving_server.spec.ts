/** Servers that state in their answers that they leave, before a gateway on loopback. */
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import {answerSoon, startLeavingFleet} from './support/leaving_fleet.js';
import type {
  Answerer,
  LeavingFleetOptions,
  LeavingServer,
} from './support/leaving_fleet.js';

type Fleet = Awaited<ReturnType<typeof startLeavingFleet>>;

const CALLERS = 10;
const BEFORE_MS = 150;
const AFTER_MS = 500;
/** Longer than the interval of the maintenance of statements. */
const SETTLE_MS = 400;
const EVENTS = 8;
const EVENT_INTERVAL_MS = 25;

const answerError: Answerer = (_, response, headers) => {
  response.writeHead(500, headers);
  response.end('bad');
};
const refuse: Answerer = (_, response, headers) => {
  response.writeHead(503, {...headers, 'not-run': '1'});
  response.end();
};
const refuseWithoutId: Answerer = (_, response, headers) => {
  const {leaving = '0'} = headers;
  response.writeHead(503, {leaving, 'not-run': '1', connection: 'close'});
  response.end();
};
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

const STREAM = {kind: RouteKind.STREAM, maximumServers: 3};

async function runWithFleet(
  options: LeavingFleetOptions,
  run: (fleet: Fleet, leaving: LeavingServer) => Promise<void>,
): Promise<void> {
  const fleet = await startLeavingFleet(options);
  try {
    await run(fleet, fleet.servers[0]!);
  } finally {
    await fleet.close();
  }
}

/** Has ten callers send while the first server begins to leave. */
async function runLeave(
  fleet: Fleet,
  leaving: LeavingServer,
  afterMs = AFTER_MS,
) {
  await fleet.runCallers(CALLERS, BEFORE_MS);
  leaving.isLeaving = true;
  return fleet.runCallers(CALLERS, afterMs);
}

function checkNoneAfter(fleet: Fleet, leaving: LeavingServer): void {
  assert.ok(leaving.passedOnAt !== undefined, 'no answer passed on');
  assert.is(fleet.countAfter(leaving), 0, 'requests after the answer');
}

describe('a server that states that it leaves', () => {
  // Guards against requests that reach it while the list still has it as ready.
  it('gets no request of ten callers after that answer', async () => {
    await runWithFleet({}, async (fleet, leaving) => {
      const results = await runLeave(fleet, leaving);
      // A busy machine needs more time for as many answers.
      for (let round = 0; round < 20 && results.length <= 100; round += 1) {
        results.push(...(await fleet.runCallers(CALLERS, AFTER_MS)));
      }
      checkNoneAfter(fleet, leaving);
      assert.ok(results.every(({status}) => status === 200));
      // The others serve all that comes.
      assert.ok(results.length > 100, `${results.length} answers`);
    });
  });

  // Guards against a list that is read again after a failure of the store and overrules the answer.
  it('gets none while the store is away, nor when its entry lapses and returns', async () => {
    await runWithFleet({}, async (fleet, leaving) => {
      await fleet.runCallers(CALLERS, BEFORE_MS);
      fleet.store.isAway = true;
      leaving.isLeaving = true;
      await fleet.runCallers(CALLERS, SETTLE_MS);
      checkNoneAfter(fleet, leaving);
      fleet.setListed(fleet.servers.slice(1));
      fleet.store.isAway = false;
      await fleet.waitForRead();
      await fleet.runCallers(CALLERS, SETTLE_MS);
      fleet.setListed(fleet.servers);
      await fleet.waitForRead();
      await fleet.runCallers(CALLERS, SETTLE_MS);
      checkNoneAfter(fleet, leaving);
    });
  });

  // Guards against a statement that is forgotten with the entry.
  it('gets none when its entry was removed and returns with the same start', async () => {
    await runWithFleet({}, async (fleet, leaving) => {
      await runLeave(fleet, leaving, SETTLE_MS);
      fleet.setListed(fleet.servers.slice(1));
      await fleet.waitForRead();
      await waitFor(SETTLE_MS);
      fleet.setListed(fleet.servers);
      await fleet.waitForRead();
      await fleet.runCallers(CALLERS, SETTLE_MS);
      checkNoneAfter(fleet, leaving);
    });
  });

  const answers: Array<[string, Answerer]> = [
    ['an error', answerError],
    ['a refusal', refuse],
    ['a refusal without an id', refuseWithoutId],
  ];
  for (const [name, answer] of answers) {
    // Guards against a statement that is read from successes alone.
    it(`gets no request after ${name}`, async () => {
      await runWithFleet({servers: 1}, async (fleet, leaving) => {
        leaving.answer = answer;
        leaving.isLeaving = true;
        await fleet.send();
        leaving.answer = answerSoon;
        leaving.isLeaving = false;
        const arrived = leaving.arrivals.length;
        const {status} = await fleet.send();
        assert.equal(
          {status, more: leaving.arrivals.length - arrived},
          {status: 503, more: 0},
        );
      });
    });
  }

  // Guards against a stream whose statement is read only at its end.
  it('gets no request after the head of a stream', async () => {
    await runWithFleet({route: STREAM}, async (fleet, leaving) => {
      fleet.servers.forEach(server => {
        server.answer = sendEvents;
      });
      const results = await runLeave(fleet, leaving);
      checkNoneAfter(fleet, leaving);
      const bodies = new Set(results.map(({body}) => body));
      // Streams of the server that leaves are read to their end.
      assert.is(bodies.size, 1);
    });
  });

  // Guards against repeats and resumed streams that go to it.
  it('gets no repeat and resumes no stream', async () => {
    const route = {...STREAM, isResumable: true};
    await runWithFleet({route}, async (fleet, leaving) => {
      fleet.servers.forEach(server => {
        server.answer = sendEvents;
      });
      await runLeave(fleet, leaving, SETTLE_MS);
      const [, breaking, sound] = fleet.servers as [
        LeavingServer,
        LeavingServer,
        LeavingServer,
      ];
      breaking.answer = breakStream;
      sound.answer = sendEvents;
      await fleet.runCallers(CALLERS, SETTLE_MS);
      breaking.answer = refuse;
      await fleet.runCallers(CALLERS, SETTLE_MS);
      checkNoneAfter(fleet, leaving);
    });
  });

  // Guards against requests that wait, and go to it when it has room again.
  it('gets no request that waits for a server', async () => {
    const options = {servers: 2, service: {maximumConnections: 4}};
    await runWithFleet(options, async (fleet, leaving) => {
      await runLeave(fleet, leaving);
      checkNoneAfter(fleet, leaving);
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
      service: {engine},
      route: {...STREAM, targetLatencyMs: 500},
      blocks: ['shared', 'own'],
    };
    await runWithFleet(options, async fleet => {
      fleet.servers.forEach(server => {
        server.answer = sendEvents;
      });
      await fleet.runCallers(1, SETTLE_MS);
      const preferred = fleet.servers.reduce((most, server) =>
        server.arrivals.length > most.arrivals.length ? server : most,
      );
      preferred.isLeaving = true;
      await fleet.runCallers(1, 2 * SETTLE_MS);
      checkNoneAfter(fleet, preferred);
    });
  });

  // Guards against an untrue refusal, or a request that waits in vain, where no server is left.
  it('leaves callers with a refusal that says that the request was not run', async () => {
    await runWithFleet({servers: 1}, async (fleet, leaving) => {
      leaving.isLeaving = true;
      assert.is((await fleet.send()).status, 200);
      const {status, retryAfter} = await fleet.send();
      assert.is(status, 503);
      assert.ok(Number(retryAfter) > 0);
      checkNoneAfter(fleet, leaving);
    });
  });

  // Guards against a successor that is avoided for what its predecessor stated.
  it('does not keep requests from its successor', async () => {
    await runWithFleet({servers: 1}, async (fleet, leaving) => {
      leaving.isLeaving = true;
      await fleet.send();
      leaving.isLeaving = false;
      const sameAddress = {...leaving.entry, startedAt: 2};
      leaving.entry = sameAddress;
      fleet.setListed([leaving]);
      await fleet.waitForRead();
      assert.is((await fleet.send()).status, 200);
      leaving.isLeaving = true;
      await fleet.send();
      const successor = await fleet.addServer({id: 's9', startedAt: 3});
      fleet.setListed([leaving, successor]);
      await fleet.waitForRead();
      assert.is((await fleet.send()).serverId, 's9');
    });
  });
});

describe('an answer of another server at the address', () => {
  // Guards against a sound server that is avoided for what another one states.
  it('states nothing about the server that was expected', async () => {
    await runWithFleet({servers: 1}, async (fleet, server) => {
      server.isLeaving = true;
      server.answer = (_, response, headers) => {
        response.writeHead(421, headers);
        response.end();
      };
      await fleet.send();
      server.isLeaving = false;
      server.answer = answerSoon;
      await waitFor(2 * SETTLE_MS);
      assert.is((await fleet.send()).status, 200);
    });
  });
});
