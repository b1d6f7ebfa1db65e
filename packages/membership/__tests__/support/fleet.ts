/** A fleet of memberships on a simulated network with its own clocks. */
import {createMembership} from '../../src/index.js';
import type {
  Heartbeat,
  ListedInstance,
  Membership,
  Topology,
} from '../../src/index.js';
import type {RandomSource} from '@buckthornbeam/shared';

export const LEASE_MS = 2000;
export const HEARTBEAT_MS = 500;
export const LIST_LAG_MS = 3000;
const STEP_MS = 50;
const MAXIMUM_DELAY_MS = 200;
const READING_PERIOD_MS = 1000;

interface Message {
  from: Node;
  to: Node;
  heartbeat: Heartbeat;
  isAnswer: boolean;
  arrivesAt: number;
}

/** One simulated instance; a restart replaces it. */
export interface Node {
  id: string;
  membership: Membership;
  clock: {offset: number; speed: number};
  pausedUntil: number;
  isPlatformCut: boolean;
  nextPeriodAt: number;
  nextReadingAt: number;
  readList: readonly ListedInstance[] | undefined;
}

/** A fleet; `advance` runs it and calls `check` after each step. */
export interface Fleet {
  readonly nodes: Map<string, Node>;
  readonly cuts: Set<string>;
  now: number;
  publish(ids: readonly string[]): void;
  start(id: string): void;
  stop(id: string): void;
  pause(id: string, ms: number): void;
  advance(ms: number, check: () => void): void;
  getShare(node: Node, serverId: string, limit: number): number;
  isPaused(node: Node): boolean;
}

function makeListed(id: string): ListedInstance {
  return {
    id,
    dataCentre: 'dc',
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    leaving: false,
  };
}

/** Creates a fleet; every random choice comes from the given source. */
export function createFleet(topology: Topology, random: RandomSource): Fleet {
  const nodes = new Map<string, Node>();
  const published: Array<{at: number; list: ListedInstance[]}> = [];
  let messages: Message[] = [];
  let incarnations = 0;

  function getTime(node: Node): number {
    return node.clock.offset + fleet.now * node.clock.speed;
  }

  function send(from: Node, to: Node, isAnswer: boolean): void {
    const heartbeat = from.membership.makeHeartbeat(to.id, getTime(from));
    if (!fleet.cuts.has(`${from.id}>${to.id}`)) {
      const delay = random.nextInt(MAXIMUM_DELAY_MS);
      const arrivesAt = fleet.now + delay;
      messages.push({from, to, heartbeat, isAnswer, arrivesAt});
    }
  }

  function handleMessage(message: Message): boolean {
    const {from, to, heartbeat, isAnswer, arrivesAt} = message;
    if (nodes.get(to.id) !== to) {
      return true;
    }
    if (arrivesAt > fleet.now || fleet.isPaused(to)) {
      return false;
    }
    to.membership.applyHeartbeat(heartbeat, getTime(to));
    if (!isAnswer && nodes.get(from.id) === from) {
      send(to, from, true);
    }
    return true;
  }

  function readPlatform(node: Node): void {
    node.nextReadingAt = fleet.now + READING_PERIOD_MS;
    const lag = random.nextInt(LIST_LAG_MS);
    const seen = published.filter(item => item.at <= fleet.now - lag).at(-1);
    if (seen) {
      node.readList = seen.list;
      node.membership.applyList(seen.list, topology, getTime(node));
      node.membership.recordReading(getTime(node));
    }
  }

  function runPeriod(node: Node): void {
    node.nextPeriodAt = fleet.now + HEARTBEAT_MS;
    node.membership.advance(getTime(node));
    for (const peer of node.membership.listNeighbours()) {
      const to = nodes.get(peer.id);
      if (to) {
        send(node, to, false);
      }
    }
  }

  const fleet: Fleet = {
    nodes,
    cuts: new Set(),
    now: 100_000,
    publish: ids => {
      published.push({at: fleet.now, list: ids.map(makeListed)});
    },
    start: id => {
      incarnations += 1;
      const clock = {
        offset: random.nextInt(1_000_000),
        speed: 0.99 + 0.02 * random.nextFloat(),
      };
      const node: Node = {
        id,
        clock,
        membership: createMembership({
          selfId: id,
          incarnation: `${id}#${incarnations}`,
          startedAt: clock.offset + fleet.now * clock.speed,
          leaseMs: LEASE_MS,
          suspectAfterMs: HEARTBEAT_MS * 3,
          listLagMs: LIST_LAG_MS,
        }),
        pausedUntil: 0,
        isPlatformCut: false,
        nextPeriodAt: fleet.now + random.nextInt(HEARTBEAT_MS),
        nextReadingAt: fleet.now,
        readList: undefined,
      };
      node.membership.setSelf({
        leaving: false,
        fileSet: {revision: 1, digest: 'a'},
        loads: [],
      });
      nodes.set(id, node);
    },
    stop: id => {
      nodes.delete(id);
    },
    pause: (id, ms) => {
      const node = nodes.get(id);
      if (node) {
        node.pausedUntil = fleet.now + ms;
      }
    },
    isPaused: node => fleet.now < node.pausedUntil,
    getShare: (node, serverId, limit) =>
      node.membership.getShare(serverId, limit, getTime(node)),
    advance: (ms, check) => {
      const endsAt = fleet.now + ms;
      while (fleet.now < endsAt) {
        fleet.now += STEP_MS;
        // A process that wakes late may dispatch before it reads anything.
        check();
        messages = messages.filter(message => !handleMessage(message));
        for (const node of nodes.values()) {
          if (fleet.isPaused(node)) {
            continue;
          }
          if (!node.isPlatformCut && fleet.now >= node.nextReadingAt) {
            readPlatform(node);
          }
          if (fleet.now >= node.nextPeriodAt) {
            runPeriod(node);
          }
        }
      }
      check();
    },
  };
  return fleet;
}
