/** Requests over one or more attempts, against small servers on loopback. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createPrefixLocations} from '@buckthornbeam/decisions';
import {createSystemClock} from '@buckthornbeam/shared';
import type {RouterError} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import type {Route} from '../src/model.js';
import type {AnswerHead} from '../src/relay/attempt.js';
import type {CallerAnswer} from '../src/relay/caller_answer.js';
import {relayRequest} from '../src/relay/request_relay.js';
import {createServerConnections} from '../src/relay/server_connections.js';
import {createRepeatBudgets} from '../src/state/repeat_budgets.js';
import {createServerActivity} from '../src/state/server_activity.js';
import {createServerLoads} from '../src/state/server_loads.js';
import {createServerSelection} from '../src/state/server_selection.js';
import {
  createConfiguration,
  createFilledKnowledge,
  createRoute,
  createServerEntry,
  testDialect,
} from './support/fixtures.js';

type Script = (request: IncomingMessage, response: ServerResponse) => void;

/** Collects what a caller would get. */
function createCollector() {
  const got = {
    status: 0,
    seal: '',
    body: '',
    isWhole: false,
    error: undefined as RouterError | undefined,
  };
  function acceptHead(head: AnswerHead): void {
    got.status = head.status;
    const index = head.headers.findIndex(name => name === 'seal');
    got.seal = index >= 0 ? head.headers[index + 1]! : '';
  }
  const answer: CallerAnswer = {
    get hasBegun() {
      return got.status !== 0;
    },
    get status() {
      return got.status;
    },
    sendWhole: (head, body) => {
      acceptHead(head);
      got.body = body.toString();
      got.isWhole = true;
    },
    beginStream: acceptHead,
    sendPart: bytes => {
      got.body += bytes.toString();
      return true;
    },
    endStream: () => {
      got.isWhole = true;
    },
    sendError: error => {
      got.error = error;
    },
    onDrain: () => undefined,
  };
  return {answer, got};
}

function startServer(script: Script): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    script(request, response);
  });
  return new Promise(resolve =>
    server.listen(0, '127.0.0.1', () => resolve(server)),
  );
}

interface RunOptions {
  scripts: readonly Script[];
  route?: Partial<Route>;
  extraRepeats?: number;
  left?: AbortSignal;
}

/** Runs one request; server `i` is chosen only after those before it. */
async function runRequest(options: RunOptions) {
  const {scripts, extraRepeats = 10} = options;
  const servers = await Promise.all(scripts.map(startServer));
  const arrivals = scripts.map(() => 0);
  servers.forEach((server, index) =>
    server.prependListener('request', () => {
      arrivals[index]! += 1;
    }),
  );
  const route = createRoute({maximumServers: 3, ...options.route});
  const configuration = createConfiguration({routes: [route]});
  const knowledge = createFilledKnowledge(
    configuration,
    servers.map((server, index) =>
      createServerEntry({
        id: `s${index}`,
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        // Fewer slots make a later server look busier.
        slots: 1000,
        dataCentre: index === 0 ? 'here' : 'there',
      }),
    ),
  );
  const clock = createSystemClock();
  const activity = createServerActivity();
  const connections = createServerConnections();
  const selection = createServerSelection({
    locations: createPrefixLocations(),
    selfId: 'self',
    dataCentre: 'here',
    regions: {},
    knowledge,
    loads: createServerLoads(),
    activity,
    readingTokensPerMs: 50,
    shortPromptPart: 0,
    listInstances: () => ['self'],
    coldOverage: 1,
    coldSlack: 0,
    random: () => 0,
  });
  const {answer, got} = createCollector();
  const report = await relayRequest(
    {
      facts: {
        id: 'r1',
        host: 'host',
        path: '/a/',
        deadlineMs: 2000,
        apiKey: undefined,
        lastEventId: undefined,
        generation: undefined,
      },
      route,
      customer: undefined,
      method: 'POST',
      url: '/a/',
      headers: ['Host', 'host', 'Content-Length', '0'],
      body: Buffer.alloc(0),
      receivedAt: clock.now(),
      left: options.left ?? new AbortController().signal,
    },
    answer,
    {
      clock,
      dialect: testDialect,
      connections,
      selection,
      activity,
      budgets: createRepeatBudgets({
        fleet: {ratio: 0, extra: extraRepeats, windowMs: 10_000},
        countInstances: () => 1,
      }),
      maximumAnswerBytes: 1_000_000,
      random: () => 0.5,
    },
  );
  connections.close();
  servers.forEach(server => {
    server.closeAllConnections();
    server.close();
  });
  return {got, arrivals, report};
}

const OWN = {id: 'r1', seal: 'sealed'};

const answerWell: Script = (_, response) => {
  response.writeHead(200, OWN);
  response.end('good');
};
const answerFailure: Script = (_, response) => {
  response.writeHead(500, OWN);
  response.end('bad');
};
const refuseUnrun: Script = (_, response) => {
  response.writeHead(503, {'not-run': '1'});
  response.end();
};
const breakOff: Script = request => {
  request.socket.destroy();
};
const answerForeign: Script = (_, response) => {
  response.writeHead(200, {id: 'r0', seal: 'sealed'});
  response.end('of another request');
};
const refuseForeign: Script = (_, response) => {
  response.writeHead(503, {id: 'r0', 'not-run': '1'});
  response.end();
};
const answerUnsigned: Script = (_, response) => {
  response.writeHead(200, {id: 'r1'});
  response.end('unsigned');
};
const answerOther: Script = (_, response) => {
  response.writeHead(421, {});
  response.end();
};
const sendEvents =
  (from: number, to: number, isWhole: boolean): Script =>
  (_, response) => {
    response.writeHead(200, OWN);
    for (let id = from; id <= to; id++) {
      response.write(`id: ${id}\ndata: ${id}\n\n`);
    }
    if (isWhole) {
      response.end();
    } else {
      response.write('id: 99\nda', () => response.destroy());
    }
  };

const UNSAFE = {kind: RouteKind.UNSAFE};
const STREAM = {kind: RouteKind.STREAM};
const RESUMABLE = {kind: RouteKind.STREAM, isResumable: true};

describe('request relay', () => {
  describe('a request that must not run twice', () => {
    for (const [name, script] of Object.entries({
      breakOff,
      answerForeign,
      refuseForeign,
      answerUnsigned,
    })) {
      it(`is not sent again after ${name}`, async () => {
        const {got, arrivals} = await runRequest({
          scripts: [script, answerWell],
          route: UNSAFE,
        });
        assert.equal(arrivals, [1, 0]);
        assert.is(got.error!.code, 'answer_garbled');
        assert.is(got.error!.outcome, 'unknown');
      });
    }

    for (const [name, script] of Object.entries({refuseUnrun, answerOther})) {
      it(`is sent elsewhere after ${name}`, async () => {
        const {got, arrivals} = await runRequest({
          scripts: [script, answerWell],
          route: UNSAFE,
        });
        assert.equal(arrivals, [1, 1]);
        assert.is(got.body, 'good');
      });
    }

    it('keeps the failure of its server', async () => {
      const {got, arrivals} = await runRequest({
        scripts: [answerFailure, answerWell],
        route: UNSAFE,
      });
      assert.equal(arrivals, [1, 0]);
      assert.is(got.status, 500);
      assert.is(got.seal, 'sealed');
    });

    it('is refused as not run once every server has refused', async () => {
      const {got} = await runRequest({
        scripts: [refuseUnrun, refuseUnrun],
        route: UNSAFE,
      });
      assert.is(got.error!.code, 'server_refused');
      assert.is(got.error!.outcome, 'not_run');
      assert.ok(got.error!.retryAfterMs! > 0);
    });
  });

  describe('a request that may be repeated', () => {
    for (const [name, script] of Object.entries({
      breakOff,
      answerForeign,
      answerUnsigned,
      answerFailure,
      refuseUnrun,
    })) {
      it(`is answered by another server after ${name}`, async () => {
        const {got} = await runRequest({scripts: [script, answerWell]});
        assert.is(got.body, 'good');
      });
    }

    it('runs on no more servers than its route allows', async () => {
      const {got, arrivals} = await runRequest({
        scripts: [breakOff, breakOff, answerWell],
        route: {maximumServers: 2},
      });
      assert.equal(arrivals, [1, 1, 0]);
      assert.is(got.error!.outcome, 'unknown');
    });

    it('is not repeated beyond the budget', async () => {
      const {arrivals} = await runRequest({
        scripts: [breakOff, answerWell],
        extraRepeats: 0,
      });
      assert.equal(arrivals, [1, 0]);
    });

    it('is not called not run after it may have run', async () => {
      const {got} = await runRequest({scripts: [breakOff, refuseUnrun]});
      assert.is(got.error!.outcome, 'unknown');
    });
  });

  describe('a stream', () => {
    it('goes on at another server after its last whole event', async () => {
      let last: string | undefined;
      const {got} = await runRequest({
        scripts: [
          sendEvents(1, 3, false),
          (request, response) => {
            last = request.headers['last'] as string;
            sendEvents(4, 6, true)(request, response);
          },
        ],
        route: RESUMABLE,
      });
      assert.is(last, '3');
      assert.ok(got.isWhole);
      assert.equal(
        [...got.body.matchAll(/^id: (\d+)$/gm)].map(match => match[1]),
        ['1', '2', '3', '4', '5', '6'],
      );
    });

    it('is cut, not ended, when the server that goes on fails', async () => {
      const {got} = await runRequest({
        scripts: [sendEvents(1, 3, false), answerFailure],
        route: RESUMABLE,
      });
      assert.not.ok(got.isWhole);
      assert.is(got.error!.code, 'answer_truncated');
    });

    it('goes on at a third server when the second fails', async () => {
      const {got} = await runRequest({
        scripts: [
          sendEvents(1, 3, false),
          answerFailure,
          sendEvents(4, 6, true),
        ],
        route: RESUMABLE,
      });
      assert.ok(got.isWhole);
      assert.match(got.body, 'id: 6');
    });

    it('is cut, not ended, where it cannot go on', async () => {
      const {got, arrivals} = await runRequest({
        scripts: [sendEvents(1, 3, false), answerWell],
        route: STREAM,
      });
      assert.equal(arrivals, [1, 0]);
      assert.not.ok(got.isWhole);
      assert.is(got.error!.code, 'answer_garbled');
    });
  });

  describe('a caller that leaves', () => {
    it('ends the work of the server', async () => {
      const leaving = new AbortController();
      let isClosed = false;
      const {report} = await runRequest({
        scripts: [
          request => {
            request.socket.on('close', () => {
              isClosed = true;
            });
            leaving.abort();
          },
        ],
        left: leaving.signal,
      });
      assert.equal(report.reasons, ['caller_left']);
      await new Promise(resolve => setTimeout(resolve, 20));
      assert.ok(isClosed);
    });
  });

  describe('a server that hangs', () => {
    it('is left for another one while there is time', async () => {
      const {got, report} = await runRequest({
        scripts: [() => undefined, answerWell],
        route: {timeoutMs: 500},
      });
      assert.equal(report.reasons, ['slow_server', 'complete']);
      assert.is(got.body, 'good');
    });

    it('makes a request that must not repeat time out', async () => {
      const {got} = await runRequest({
        scripts: [() => undefined, answerWell],
        route: {...UNSAFE, timeoutMs: 200},
      });
      assert.is(got.error!.code, 'deadline_passed');
      assert.is(got.error!.outcome, 'unknown');
    });
  });
});
