/** The choice of servers with `engines.spreading`, without a network. */
import {
  LimitStatementType,
  createPrefixLocations,
} from '@buckthornbeam/decisions';
import {hashToUint32} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {describeRequest} from '../src/http/request_log.js';
import {createGatewayMetrics} from '../src/metrics.js';
import type {BackendServer} from '../src/model.js';
import {Spreading} from '../src/state/load_spreading.js';
import {createServerActivity} from '../src/state/server_activity.js';
import {createServerLoads} from '../src/state/server_loads.js';
import type {LoadReport} from '../src/state/server_loads.js';
import {createServerSelection} from '../src/state/server_selection.js';
import {
  createConfiguration,
  createFilledClusterState,
  createRoute,
  createServerEntry,
} from './support/fixtures.js';

const INSTANCES = Array.from({length: 73}, (_, index) => `i${index}`);
const SELF = 'i0';
const REQUESTS = 100;
const NOW = 10_000;

interface Fixture {
  servers: BackendServer[];
  spreading?: Spreading;
  instances?: readonly string[];
  coldRequestsPerSecond?: number;
}

function createFixture({
  servers,
  spreading = Spreading.EVEN,
  instances = INSTANCES,
  coldRequestsPerSecond = 0,
}: Fixture) {
  const route = createRoute();
  const configuration = createConfiguration({
    routes: [route],
    services: new Map([
      [
        'service',
        {
          name: 'service',
          maximumConnections: 100_000,
          coldMs: 60_000,
          coldRequestsPerSecond,
          engine: undefined,
        },
      ],
    ]),
  });
  const loads = createServerLoads();
  const selection = createServerSelection({
    locations: createPrefixLocations(),
    selfId: SELF,
    dataCentre: 'north',
    regions: {},
    clusterState: createFilledClusterState(configuration, servers),
    loads,
    activity: createServerActivity(),
    prefillTokensPerMs: 50,
    shortPromptRatio: 0.2,
    listInstances: () => instances,
    coldOverage: 1,
    coldSlack: 0,
    spreading,
    random: () => 0,
  });

  /** Sends requests that do not end; returns how many each server got. */
  function countChosen(requests = REQUESTS): Map<string, number> {
    const counts = new Map(servers.map(({id}) => [id, 0]));
    for (let index = 0; index < requests; index++) {
      const selected = selection.select(
        route,
        {
          id: `r${index}`,
          host: 'host',
          path: '/a/',
          deadlineMs: 4000,
          apiKey: undefined,
          lastEventId: undefined,
          generation: undefined,
        },
        new Set(),
        {
          targetMs: 1000,
          pauseMs: undefined,
          remainingMs: 4000,
          urgencyPosition: 0,
        },
        NOW + index,
      );
      const id = selected?.server.id ?? 'none';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return counts;
  }

  return {loads, selection, countChosen};
}

function listServers(count: number, slots = 64): BackendServer[] {
  return Array.from({length: count}, (_, index) =>
    createServerEntry({id: `s${index}`, address: `a:${index}`, slots}),
  );
}

/** Requests in flight of others, by the index of the server. */
function buildReport(inFlight: readonly number[]): LoadReport {
  return inFlight.map((count, index) => [
    hashToUint32(`s${index}`),
    count,
    0,
    0,
    0,
  ]);
}

describe('spreading by stale reports', () => {
  // Guards against instances that all choose the server that was idle in the report.
  it('sends no burst to the one idle server of a report, where the lowest cost does', () => {
    const [even, off] = [Spreading.EVEN, Spreading.OFF].map(spreading => {
      const {loads, countChosen} = createFixture({
        servers: listServers(4),
        spreading,
      });
      loads.receiveTotals(buildReport([30, 30, 30, 0]), NOW);
      return countChosen(20).get('s3')!;
    });
    assert.is(off, 20);
    assert.ok(even! < 20, `${even} to the idle server`);
    assert.ok(even! >= 5, `${even} to the idle server`);
  });

  it('leaves an instance alone with the least loaded server', () => {
    const {loads, countChosen} = createFixture({
      servers: listServers(4),
      instances: [SELF],
    });
    loads.add('s0', {}, NOW);
    loads.add('s1', {}, NOW);
    loads.add('s2', {}, NOW);
    assert.is(countChosen(1).get('s3'), 1);
  });

  it('spreads by slots without any report', () => {
    const servers = [
      ...listServers(2, 10),
      createServerEntry({id: 'large', address: 'a:9', slots: 40}),
    ];
    const counts = createFixture({servers}).countChosen();
    assert.ok(counts.get('large')! > 50, [...counts].join(' '));
    assert.ok(counts.get('s0')! > 8, [...counts].join(' '));
  });

  it('never chooses servers that leave, and few times those of a used limit', () => {
    const servers = listServers(4);
    const {selection, countChosen} = createFixture({servers});
    const answer = {requestId: 'r', sentAt: 0, headAt: NOW - 1};
    selection.recordStatement(servers[0]!, {isLeaving: true}, answer);
    selection.recordStatement(
      servers[1]!,
      {
        isLeaving: false,
        limit: {type: LimitStatementType.RATE, requestsPerSecond: 1},
      },
      answer,
    );
    const counts = countChosen();
    assert.is(counts.get('s0'), 0);
    assert.ok(counts.get('s1')! <= 1, [...counts].join(' '));
    assert.is(counts.get('s2')! + counts.get('s3')! + counts.get('s1')!, 100);
  });

  // Guards against an empty server that has just started and gets all unseen load.
  it('keeps to the rate of a server that has just started', () => {
    const servers = [
      ...listServers(2),
      createServerEntry({id: 'cold', address: 'a:9', coldLeftMs: 60_000}),
    ];
    const counts = createFixture({
      servers,
      instances: [SELF, 'i1'],
      coldRequestsPerSecond: 4,
    }).countChosen();
    assert.ok(counts.get('cold')! <= 4, [...counts].join(' '));
    assert.not(counts.has('none'));
  });
});

describe('the age of load reports', () => {
  it('is undefined without reports and after a suspension, and grows from the arrival', () => {
    const loads = createServerLoads();
    assert.is(loads.findReportAge(NOW), undefined);
    loads.receiveTotals(buildReport([1]), NOW);
    const {ageMs, arrivedAt} = loads.findReportAge(NOW + 100)!;
    assert.is(arrivedAt, NOW);
    assert.is(loads.findReportAge(NOW + 300)!.ageMs, ageMs + 200);
    loads.clearReceived();
    assert.is(loads.findReportAge(NOW + 300), undefined);
  });

  it('is the mean of the instances in a full mesh, of those heard lately', () => {
    const loads = createServerLoads();
    loads.receiveReport('i1', buildReport([1]), NOW);
    loads.receiveReport('i2', buildReport([1]), NOW + 200);
    assert.equal(loads.findReportAge(NOW + 300), {ageMs: 200, arrivedAt: 0});
    assert.is(loads.findReportAge(NOW + 3100)!.ageMs, 2900);
    assert.is(loads.findReportAge(NOW + 4000), undefined);
  });

  it('and their error are measured and logged', async () => {
    const errors: number[] = [];
    const loads = createServerLoads({onLoadError: error => errors.push(error)});
    loads.receiveTotals(buildReport([4, 0]), NOW);
    loads.receiveTotals(buildReport([1, 1]), NOW + 250);
    assert.equal(errors, [2]);
    const metrics = createGatewayMetrics({
      countOpenRequests: () => 0,
      computeClusterStateAgeMs: () => 0,
      getConfigurationVersion: () => 0,
      countPeers: () => 0,
      countQuarantined: () => 0,
      countLimitedServers: () => 0,
      countPausedServers: () => 0,
      getLongestPauseMs: () => 0,
    });
    metrics.observeLoadAge(310);
    metrics.observeLoadError(2);
    const text = await metrics.render();
    assert.match(text, /load_age_seconds_bucket\{le="0.4"\} 1/);
    assert.match(text, /load_error_requests_bucket\{le="2"\} 1/);
    const report = {
      servers: ['s1'],
      reasons: ['complete'],
      sentMs: [1],
      connections: ['1:1'],
      placement: undefined,
      isDiverted: false,
      loadAgeMs: 310.4,
      firstByteMs: 5,
      error: undefined,
    };
    const fields = describeRequest(
      {receivedAt: NOW, report},
      {status: 200},
      {now: NOW + 9, isCallerGone: false},
    );
    assert.is(fields['loadAgeMs'], 310);
  });
});
