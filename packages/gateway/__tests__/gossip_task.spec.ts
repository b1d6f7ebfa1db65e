/** Gossip messages over a real socket, read late. */
import {createSocket} from 'node:dgram';
import {
  createPrefixLocations,
  createPromptQuarantine,
} from '@buckthornbeam/decisions';
import {createSystemClock, waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {GossipKind, encodeGossip} from '../src/peers/gossip_message.js';
import type {GossipEnvelope} from '../src/peers/gossip_message.js';
import {addWaitedTime, createGossipTask} from '../src/peers/gossip_task.js';
import {createPauseDetector} from '../src/state/pause_detector.js';
import {createServerLoads} from '../src/state/server_loads.js';
import {
  createConfiguration,
  createFilledClusterState,
  silentLogger,
} from './support/fixtures.js';

const HOST = '127.0.0.1';
const PAUSE_MS = 700;
/** Time in which a datagram on loopback is read. */
const READ_MS = 60;

function createRecord(instanceId: string, port: number) {
  return {
    instanceId,
    incarnation: 'a',
    gossipAddress: `${HOST}:${port}`,
    callerAddress: `${HOST}:1`,
    dataCentre: 'north',
    isReady: true,
    isLeaving: false,
  };
}

/** A message of a peer whose state the store has just confirmed. */
function createFreshEnvelope(): GossipEnvelope {
  return {
    message: {
      kind: GossipKind.REPORT,
      sender: {...createRecord('peer', 1), round: 1},
      version: 1,
      revision: 0,
      digest: 1,
      confirmedAgeMs: 0,
      memberDigest: 0,
      groupKey: '',
      loadReport: [],
      cacheLocations: [],
      relayed: [],
      liveness: [],
      silentHashes: [],
      knownHashes: [],
      quarantineNews: [],
      limitNews: [],
      faultSums: [],
      speedSums: [],
      shortageNews: [],
    },
    forwardTo: [],
    hopDigest: 1,
  };
}

/** Returns the age of the state of an instance after a message, in milliseconds. */
async function measureAge(pausedMs: number): Promise<number> {
  const clock = createSystemClock();
  const clusterState = createFilledClusterState(createConfiguration(), []);
  const pauses = createPauseDetector({clock, logger: silentLogger});
  const probe = createSocket('udp4');
  await new Promise<void>(resolve => probe.bind(0, HOST, resolve));
  const {port} = probe.address();
  await new Promise<void>(resolve => probe.close(resolve));
  const task = createGossipTask({
    describeSelf: () => createRecord('self', port),
    seedAddresses: [],
    clusterState,
    loads: createServerLoads(),
    locations: createPrefixLocations(),
    quarantine: createPromptQuarantine({
      selfId: 'self',
      listInstances: () => ['self'],
    }),
    pauses,
    clock,
    logger: silentLogger,
    onMessage: () => undefined,
  });
  pauses.start();
  await task.start();
  const peer = createSocket('udp4');
  await new Promise<void>(resolve =>
    peer.send(encodeGossip(createFreshEnvelope()), port, HOST, () => resolve()),
  );
  if (pausedMs > 0) {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pausedMs);
  }
  await waitFor(READ_MS);
  const ageMs = clusterState.computeAge(clock.now());
  task.stop();
  pauses.stop();
  peer.close();
  return ageMs;
}

describe('the age of the state in a message', () => {
  it('is as of its sending while messages are read at once', async () => {
    const ageMs = await measureAge(0);
    assert.ok(ageMs < 2 * READ_MS, `${ageMs} ms`);
  });

  // Guards against a withdrawn key that is accepted after the process was stopped.
  it('contains the time for which the message waited to be read', async () => {
    const ageMs = await measureAge(PAUSE_MS);
    assert.ok(ageMs >= PAUSE_MS, `${ageMs} ms`);
  });

  // Guards against the same at instances to which a stopped one forwards.
  it('is passed on with that time', () => {
    const {message} = addWaitedTime(createFreshEnvelope(), PAUSE_MS);
    assert.is(message.confirmedAgeMs, PAUSE_MS);
  });
});
