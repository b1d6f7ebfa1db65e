/** Settings, log writer, metrics, gossip messages and other small modules. */
import {closeSync, mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {RouterError} from '@buckthornbeam/shared';
import {createManualClock, hashToUint32} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createLogWriter} from '../src/log_writer.js';
import {createGatewayMetrics} from '../src/metrics.js';
import {
  GossipKind,
  decodeGossip,
  encodeGossip,
} from '../src/peers/gossip_message.js';
import type {GossipMessage} from '../src/peers/gossip_message.js';
import {computeRetryAfter} from '../src/relay/retry_after.js';
import {parseGatewaySettings} from '../src/settings.js';
import {createServerLoads} from '../src/state/server_loads.js';
import type {LoadRow} from '../src/state/server_loads.js';
import {createSuspensionDetector} from '../src/state/suspension.js';

const SETTINGS = {
  instanceId: 'i1',
  dataCentre: 'north',
  regions: {north: 'region'},
  listen: {
    callers: '127.0.0.1:1',
    readiness: '127.0.0.1:2',
    addresses: '127.0.0.1:3',
    peers: '127.0.0.1:4',
  },
  store: {address: '127.0.0.1:5'},
};

function readMessage(run: () => unknown): string {
  try {
    run();
  } catch (error) {
    assert.is((error as RouterError).code, 'invalid_settings');
    return (error as Error).message;
  }
  return '';
}

describe('gateway settings', () => {
  it('have defaults for missing fields', () => {
    const settings = parseGatewaySettings(JSON.stringify(SETTINGS));
    assert.is(settings.keys.failClosed, true);
    assert.is(settings.stop.graceMs, 8000);
    assert.is(settings.engines.spreading, 'off');
    assert.is(settings.admission.customerShares, 'off');
    assert.is(settings.admission.order, 'arrival');
  });

  it('of spreading are off or even', () => {
    const parse = (spreading: string) =>
      parseGatewaySettings(JSON.stringify({...SETTINGS, engines: {spreading}}));
    assert.is(parse('even').engines.spreading, 'even');
    assert.match(
      readMessage(() => parse('some')),
      'engines.spreading',
    );
  });

  it('take limits of the machine, also those it does not state', () => {
    const machine = {memoryMb: 160, maximumDescriptors: null};
    const text = JSON.stringify({...SETTINGS, machine});
    assert.equal(parseGatewaySettings(text).machine, {
      memoryMb: 160,
      maximumDescriptors: undefined,
    });
    const absent = parseGatewaySettings(JSON.stringify(SETTINGS)).machine;
    assert.is(absent.memoryMb, undefined);
  });

  it('ignore unknown fields', () => {
    const text = JSON.stringify({...SETTINGS, later: 1});
    assert.is(parseGatewaySettings(text).instanceId, 'i1');
  });

  it('are rejected with all problems in one message', () => {
    const message = readMessage(() =>
      parseGatewaySettings(
        JSON.stringify({
          ...SETTINGS,
          instanceId: '',
          listen: {...SETTINGS.listen, callers: 'nowhere:99999'},
        }),
      ),
    );
    assert.match(message, 'instanceId');
    assert.match(message, 'listen.callers');
  });

  it('that are not JSON are rejected', () => {
    assert.match(
      readMessage(() => parseGatewaySettings('{')),
      'JSON',
    );
  });
});

describe('log writer', () => {
  it('writes lines in order and counts those dropped when the buffer is full', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lines-'));
    const path = join(folder, 'log');
    const descriptor = openSync(path, 'w');
    const writer = createLogWriter({descriptor, maximumBufferedCharacters: 10});
    ['one', 'two', 'three', 'four'].forEach(line => writer.write(line));
    await writer.flush();
    closeSync(descriptor);
    const text = readFileSync(path, 'utf8');
    rmSync(folder, {recursive: true});
    assert.is(text, 'one\ntwo\nlevel=warn event=log_lines_dropped count=2\n');
  });
});

describe('metrics', () => {
  it('are rendered in the Prometheus text format with labels', async () => {
    const metrics = createGatewayMetrics({
      countOpenRequests: () => 3,
      computeClusterStateAgeMs: () => 500,
      getConfigurationVersion: () => 7,
      countPeers: () => 5,
      countQuarantined: () => 2,
      countLimitedServers: () => 0,
      countPausedServers: () => 0,
      getLongestPauseMs: () => 1500,
    });
    metrics.countRequest('route', 200, 'ok');
    metrics.observeFirstByte('route', 120);
    const text = await metrics.render();
    assert.match(
      text,
      /requests_total\{route="route",status="200",code="ok"\} 1/,
    );
    assert.match(text, 'buckthornbeam_open_requests 3');
    assert.match(text, 'buckthornbeam_event_loop_pause_seconds 1.5');
    assert.match(text, 'buckthornbeam_knowledge_age_seconds 0.5');
    assert.match(text, /first_byte_seconds_bucket\{le="0.2",route="route"\} 1/);
  });
});

describe('retry after', () => {
  it('stays within the third of the remaining time that callers honour, and varies', () => {
    const retryAfterMs = [0, 0.25, 0.5, 0.99].map(value =>
      computeRetryAfter({remainingMs: 3000, random: () => value}),
    );
    assert.ok(Math.max(...retryAfterMs) <= 1000);
    assert.ok(Math.max(...retryAfterMs) - Math.min(...retryAfterMs) > 400);
  });
});

describe('gossip messages', () => {
  const sender = {
    instanceId: 'i1',
    incarnation: 'a',
    round: 1,
    gossipAddress: 'h:1',
    callerAddress: 'h:2',
    dataCentre: 'north',
    isReady: true,
    isLeaving: false,
  };

  const emptyMessage: GossipMessage = {
    kind: GossipKind.HELLO,
    sender,
    version: 3,
    revision: 9,
    digest: 1,
    confirmedAgeMs: 0,
    memberDigest: 0xfffffffd,
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
  };

  it('are decoded as encoded, an infinite age as a large one', () => {
    const message: GossipMessage = {
      ...emptyMessage,
      confirmedAgeMs: Infinity,
      loadReport: [[0xfedcba98, 1, 1600, 320, 0.5]],
      cacheLocations: [0, 7, 0xffffffff],
      relayed: [{record: sender, ageMs: 5}],
      liveness: [{stateHash: 0xfffffffe, ageMs: 240}],
      silentHashes: [0xfffffff9],
      quarantineNews: [0x40000001, 0xfffffff1],
      knownHashes: [0xfffffffc],
    };
    const envelope = {message, forwardTo: [5, 0xfffffffb], hopDigest: 77};
    // Like a received datagram, this Buffer is a view of a larger ArrayBuffer.
    const datagram = Buffer.from(encodeGossip(envelope));
    const decoded = decodeGossip(datagram)!;
    assert.ok(decoded.message.confirmedAgeMs > 1e6);
    decoded.message.confirmedAgeMs = Infinity;
    assert.equal(decoded, envelope);
  });

  it('are forwarded with the bytes that were received', () => {
    const message = {...emptyMessage, cacheLocations: [1, 2, 3]};
    const received = decodeGossip(
      encodeGossip({message, forwardTo: [1], hopDigest: 1}),
    )!;
    const forwarded = {message: received.message, forwardTo: [], hopDigest: 2};
    assert.equal(decodeGossip(encodeGossip(forwarded)), forwarded);
  });

  it('round an age up, so that no instance seems to have been heard later', () => {
    const liveness = [{stateHash: 1, ageMs: 241}];
    const envelope = {
      message: {...emptyMessage, liveness},
      forwardTo: [],
      hopDigest: 1,
    };
    const [entry] = decodeGossip(encodeGossip(envelope))!.message.liveness;
    assert.ok(entry!.ageMs >= 241);
  });

  it('leave out the servers with the fewest requests beyond 300', () => {
    const loadReport = Array.from(
      {length: 400},
      (_, index): LoadRow => [index, index, 0, 0, 0],
    );
    const envelope = {
      message: {...emptyMessage, loadReport},
      forwardTo: [],
      hopDigest: 1,
    };
    const decoded = decodeGossip(encodeGossip(envelope))!.message.loadReport;
    assert.is(decoded.length, 300);
    assert.ok(decoded.every(([, inFlight]) => inFlight >= 100));
  });

  it('with the load of 61 servers and new locations fit into one packet', () => {
    const record = {
      ...sender,
      instanceId: 'entry-data-centre-12',
      incarnation: 'mfk2zq9s-a1b2c3',
      gossipAddress: '10.200.100.100:8229',
      callerAddress: '10.200.100.100:8227',
      dataCentre: 'data-centre-12',
    };
    const bytes = encodeGossip({
      message: {
        ...emptyMessage,
        kind: GossipKind.TOTALS,
        sender: record,
        groupKey: record.dataCentre,
        loadReport: Array.from(
          {length: 61},
          (_, index): LoadRow => [0xf0000000 + index, 3, 12_345, 65_432, 1.25],
        ),
        cacheLocations: Array.from({length: 20}, (_, index) => index * 1e8),
        relayed: [{record, ageMs: 1200}],
      },
      forwardTo: Array.from({length: 6}, (_, index) => 0xf0000000 + index),
      hopDigest: 0xf0000000,
    });
    assert.ok(bytes.length < 1400, `${bytes.length} bytes`);
  });

  it('that cannot be decoded are dropped', () => {
    assert.is(decodeGossip(Buffer.from('{"sender":1}')), undefined);
    assert.is(decodeGossip(Buffer.from([0x91, 0x01])), undefined);
    assert.is(decodeGossip(Buffer.from([0xff, 0x00])), undefined);
  });
});

describe('server loads', () => {
  it('add up the own load and recent reports of peers', () => {
    const loads = createServerLoads();
    const ticket = loads.add(
      's1',
      {pendingPrefillTokens: 1000, totalTokens: 1500},
      0,
    );
    loads.receiveReport('peer', [[hashToUint32('s1'), 2, 3000, 4000, 1]], 0);
    const load = loads.getLoad('s1', 0);
    assert.is(load.inFlight, 3);
    assert.is(load.pendingPrefillTokens, 4000);
    ticket.markPrefilled();
    assert.is(loads.getLoad('s1', 0).pendingPrefillTokens, 3000);
    ticket.end();
    ticket.end();
    assert.is(loads.getLoad('s1', 0).inFlight, 2);
    assert.is(loads.getLoad('s1', 60_000).inFlight, 0);
  });

  it('report the prefill rate of a server until it has decayed', () => {
    const loads = createServerLoads();
    loads
      .add('s1', {pendingPrefillTokens: 10_000, totalTokens: 10_000}, 0)
      .end();
    assert.ok(loads.buildReport(100)[0]![4] > 4);
    assert.equal(loads.buildReport(60_000), []);
  });
});

describe('suspension detector', () => {
  it('reports each divergence of the clocks once', () => {
    const clock = createManualClock();
    let wallOffset = 0;
    const detector = createSuspensionDetector({
      now: clock.now,
      wallTime: () => clock.wallTime() + wallOffset,
    });
    clock.advance(5000);
    assert.not.ok(detector.hasJumped());
    wallOffset = 3000;
    assert.ok(detector.hasJumped());
    assert.not.ok(detector.hasJumped());
    wallOffset = -2000;
    assert.ok(detector.hasJumped());
  });
});
