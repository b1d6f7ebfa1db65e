/** Requests that wait in the order of urgency, to servers on loopback. */
import {Outcome} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import type {Route} from '../src/model.js';
import {AdmissionReason} from '../src/relay/admission_reason.js';
import {
  createRelayFixture,
  encodeAnswer,
  startRawServer,
} from './support/relay_fixture.js';
import type {ReceivedAnswer, RequestHandler} from './support/relay_fixture.js';

/** Sends one request to two servers that do the same. */
async function runRequest(
  onRequest: RequestHandler,
  route: Partial<Route>,
): Promise<ReceivedAnswer> {
  const servers = [
    await startRawServer({onRequest}),
    await startRawServer({onRequest}),
  ];
  const fixture = createRelayFixture({
    addresses: {s0: servers[0]!.address, s1: servers[1]!.address},
    route,
    isOrdered: true,
  });
  try {
    return await fixture.send('r1');
  } finally {
    fixture.close();
    servers.forEach(server => server.close());
  }
}

const refuse: RequestHandler = ({id}, socket) => {
  socket.write(encodeAnswer('503 Busy', [`id: ${id}`, 'not-run: 1']));
};

describe('a request in the order of urgency', () => {
  it('is answered without a wait where a server has capacity', async () => {
    const answer = await runRequest(
      ({id}, socket) =>
        socket.write(
          encodeAnswer('200 OK', [`id: ${id}`, 'seal: s'], 'answer'),
        ),
      {kind: RouteKind.UNSAFE},
    );
    assert.is(answer.body, 'answer');
    assert.is(answer.report.waitReason, AdmissionReason.NONE);
  });

  // Guards against a wait that turns a request that may have run into one that has not.
  it('is not refused as not run after an attempt that may have run', async () => {
    const answer = await runRequest((_request, socket) => socket.destroy(), {
      kind: RouteKind.UNSAFE,
    });
    assert.is(answer.error!.outcome, Outcome.UNKNOWN);
    assert.is(answer.error!.retryAfterMs, undefined);
    assert.is(answer.report.servers.length, 1);
  });

  // Guards against a refusal that is held back, or without a time to return.
  it('is refused with a time to return after all servers refused it', async () => {
    const answer = await runRequest(refuse, {kind: RouteKind.UNSAFE});
    assert.is(answer.error!.outcome, Outcome.NOT_RUN);
    assert.is(answer.report.servers.length, 2);
    const {retryAfterMs} = answer.error!;
    assert.ok(retryAfterMs! > 0 && retryAfterMs! <= 700, `${retryAfterMs} ms`);
  });
});
