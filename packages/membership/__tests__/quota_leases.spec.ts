import * as assert from 'uvu/assert';
import {createRandom, pickOne} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import {computeShareLimit} from '../src/index.js';
import type {Topology} from '../src/index.js';
import {LEASE_MS, LIST_LAG_MS, createFleet} from './support/fleet.js';
import type {Fleet} from './support/fleet.js';

const LIMITS = new Map([
  ['s1', 1],
  ['s2', 2],
  ['s3', 4],
  ['s4', 7],
  ['s5', 30],
]);
const SEEDS = Array.from({length: 10}, (_, index) => index + 1);

/** Seeds with which a stale member used the shares of an older list. */
const STALE_MAJORITY_SEEDS = [80, 102, 135];
const FAULT_STEPS = 25;

/**
 * Longest time until every server is owned after the last fault ended: two list
 * lags, two leases and the exchange of heartbeats, with a margin on clock rates.
 */
const RECOVERY_MS = 1.2 * (2 * LIST_LAG_MS + 2 * LEASE_MS) + 3000;

/** The same if most members of an earlier list were removed meanwhile. */
const UNCONFIRMED_RECOVERY_MS = 6 * RECOVERY_MS;

const topology: Topology = {
  scopes: new Map([['dc', 'region']]),
  servers: new Map([...LIMITS.keys()].map(id => [id, 'dc'])),
};

function sumShares(fleet: Fleet, serverId: string, limit: number): number {
  let sum = 0;
  for (const node of fleet.nodes.values()) {
    if (!fleet.isPaused(node)) {
      sum += fleet.getShare(node, serverId, limit);
    }
  }
  return sum;
}

function createCheck(fleet: Fleet, seed: number): () => void {
  return () => {
    for (const [serverId, limit] of LIMITS) {
      const sum = sumShares(fleet, serverId, limit);
      // The message is built only on failure, because this runs very often.
      if (sum > limit) {
        assert.unreachable(
          `seed ${seed}: ${sum} of ${limit} on ${serverId} at ${fleet.now}`,
        );
      }
    }
  };
}

function assertAllOwned(fleet: Fleet, seed: number): void {
  for (const [serverId, limit] of LIMITS) {
    assert.is(
      sumShares(fleet, serverId, limit),
      limit,
      `seed ${seed}: ${serverId} has its whole limit again`,
    );
  }
}

/** Returns once all servers are owned, or after the longest recovery time. */
function waitUntilOwned(fleet: Fleet, check: () => void): void {
  const endsAt = fleet.now + UNCONFIRMED_RECOVERY_MS;
  const isOwned = () =>
    [...LIMITS].every(([id, limit]) => sumShares(fleet, id, limit) === limit);
  while (fleet.now < endsAt && !isOwned()) {
    fleet.advance(1000, check);
  }
}

type InjectFault = (
  fleet: Fleet,
  listed: Set<string>,
  random: RandomSource,
) => void;

function breakRandomLink(
  fleet: Fleet,
  random: RandomSource,
  isOneWay: boolean,
): void {
  const ids = [...fleet.nodes.keys()];
  const [a, b] = [pickOne(ids, random), pickOne(ids, random)];
  fleet.cuts.add(`${a}>${b}`);
  if (!isOneWay) {
    fleet.cuts.add(`${b}>${a}`);
  }
}

const faults: Record<string, InjectFault> = {
  cutOneWay: (fleet, _, random) => breakRandomLink(fleet, random, true),
  cutBothWays: (fleet, _, random) => breakRandomLink(fleet, random, false),
  split: (fleet, _, random) => {
    const ids = [...fleet.nodes.keys()];
    const firstSide = new Set(ids.filter(() => random.nextFloat() < 0.5));
    for (const a of ids) {
      for (const b of ids) {
        if (firstSide.has(a) !== firstSide.has(b)) {
          fleet.cuts.add(`${a}>${b}`);
        }
      }
    }
  },
  heal: fleet => fleet.cuts.clear(),
  healAgain: fleet => fleet.cuts.clear(),
  pause: (fleet, _, random) =>
    fleet.pause(
      pickOne([...fleet.nodes.keys()], random),
      random.nextInt(4 * LEASE_MS),
    ),
  restart: (fleet, _, random) =>
    fleet.start(pickOne([...fleet.nodes.keys()], random)),
  crash: (fleet, _, random) => {
    if (fleet.nodes.size > 3) {
      fleet.stop(pickOne([...fleet.nodes.keys()], random));
    }
  },
  startMissing: (fleet, listed) => {
    const missing = [...listed].find(id => !fleet.nodes.has(id));
    if (missing !== undefined) {
      fleet.start(missing);
    }
  },
  publishMore: (fleet, listed) => {
    if (listed.size < 9) {
      const id = `n${fleet.now}`;
      listed.add(id);
      fleet.start(id);
      fleet.publish([...listed]);
    }
  },
  publishFewer: (fleet, listed, random) => {
    if (listed.size > 3) {
      listed.delete(pickOne([...listed], random));
      fleet.publish([...listed]);
    }
  },
  cutConfigurationService: (fleet, _, random) => {
    pickOne([...fleet.nodes.values()], random).isConfigurationServiceCut = true;
  },
  healConfigurationService: fleet => {
    for (const node of fleet.nodes.values()) {
      node.isConfigurationServiceCut = false;
    }
  },
};

function startFleet(random: RandomSource, count: number) {
  const fleet = createFleet(topology, random);
  const listed = new Set(Array.from({length: count}, (_, i) => `n${i}`));
  for (const id of listed) {
    fleet.start(id);
  }
  fleet.publish([...listed]);
  return {fleet, listed};
}

function endFaults(fleet: Fleet, listed: ReadonlySet<string>): void {
  fleet.cuts.clear();
  for (const node of fleet.nodes.values()) {
    node.isConfigurationServiceCut = false;
    node.pausedUntil = 0;
  }
  for (const id of listed) {
    if (!fleet.nodes.has(id)) {
      fleet.start(id);
    }
  }
}

describe('share limit', () => {
  it('never adds up to more than the limit over all owners', () => {
    for (let total = 1; total <= 12; total += 1) {
      for (let held = 0; held <= total; held += 1) {
        for (let limit = 0; limit <= 40; limit += 1) {
          const sum =
            computeShareLimit(limit, held, total) +
            computeShareLimit(limit, total - held, total);
          assert.ok(sum <= limit, `${held} of ${total}, limit ${limit}`);
        }
      }
    }
  });

  it('gives a limit of one to a majority and all of 4 to 7 of 8', () => {
    assert.is(computeShareLimit(1, 3, 5), 1);
    assert.is(computeShareLimit(1, 2, 5), 0);
    assert.is(computeShareLimit(4, 7, 8), 4);
  });
});

describe('quota leases', () => {
  it('never add up to more than a limit under random faults', () => {
    for (const seed of [...SEEDS, ...STALE_MAJORITY_SEEDS]) {
      const random = createRandom(seed);
      const {fleet, listed} = startFleet(random, 3 + (seed % 5));
      const check = createCheck(fleet, seed);
      fleet.advance(RECOVERY_MS, check);
      for (let step = 0; step < FAULT_STEPS; step += 1) {
        faults[pickOne(Object.keys(faults), random)]!(fleet, listed, random);
        fleet.advance(random.nextInt(5000), check);
      }
      endFaults(fleet, listed);
      waitUntilOwned(fleet, check);
      assertAllOwned(fleet, seed);
    }
  });

  it('stay within the limit when two members reach only a third one', () => {
    for (const seed of SEEDS) {
      const {fleet} = startFleet(createRandom(seed), 3);
      const check = createCheck(fleet, seed);
      fleet.advance(RECOVERY_MS, check);
      fleet.cuts.add('n0>n2');
      fleet.cuts.add('n2>n0');
      fleet.advance(RECOVERY_MS, check);
      fleet.cuts.clear();
      fleet.advance(RECOVERY_MS, check);
      assertAllOwned(fleet, seed);
    }
  });

  it('stay in force while the configuration service is unreachable', () => {
    const {fleet} = startFleet(createRandom(1), 5);
    const check = createCheck(fleet, 1);
    fleet.advance(RECOVERY_MS, check);
    for (const node of fleet.nodes.values()) {
      node.isConfigurationServiceCut = true;
    }
    fleet.advance(20 * LIST_LAG_MS, check);
    assertAllOwned(fleet, 1);
  });

  it('are not used by a member that is isolated and has a stale list', () => {
    const {fleet} = startFleet(createRandom(2), 5);
    const check = createCheck(fleet, 2);
    fleet.advance(RECOVERY_MS, check);
    const node = fleet.nodes.get('n0')!;
    node.isConfigurationServiceCut = true;
    for (const id of fleet.nodes.keys()) {
      fleet.cuts.add(`n0>${id}`);
      fleet.cuts.add(`${id}>n0`);
    }
    fleet.advance(2 * LIST_LAG_MS + LEASE_MS, check);
    for (const serverId of LIMITS.keys()) {
      assert.is(fleet.getShare(node, serverId, 30), 0);
    }
  });

  it('keep most of each limit in use within two leases of a crash', () => {
    const {fleet} = startFleet(createRandom(3), 5);
    const check = createCheck(fleet, 3);
    fleet.advance(RECOVERY_MS, check);
    fleet.stop('n1');
    fleet.advance(2 * LEASE_MS, check);
    for (const serverId of LIMITS.keys()) {
      assert.ok(sumShares(fleet, serverId, 30) >= 24);
    }
  });
});
