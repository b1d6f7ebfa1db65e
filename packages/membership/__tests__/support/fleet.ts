/** A simulated network of memberships whose clocks differ in time and rate. */
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
const LIST_FETCH_PERIOD_MS = 1000;

interface Message {
  from: Node;
  to: Node;
  heartbeat: Heartbeat;
  isResponse: boolean;
  arrivesAt: number;
}

/** One simulated incarnation; a restart replaces the object. */
export interface Node {
  id: string;
  membership: Membership;
  clock: {offset: number; rate: number};
  pausedUntil: number;
  /** Whether the node cannot reach the configuration service. */
  isConfigurationServiceCut: boolean;
  nextPeriodAt: number;
  nextListFetchAt: number;
  fetchedList: readonly ListedInstance[] | undefined;
}

/** A simulated fleet. */
export interface Fleet {
  readonly nodes: Map<string, Node>;
  /** Pairs `from>to` whose heartbeats are dropped. */
  readonly cuts: Set<string>;
  now: number;
  publish(ids: readonly string[]): void;
  start(id: string): void;
  stop(id: string): void;
  pause(id: string, ms: number): void;
  /** Advances the time in steps and calls `check` in each and at the end. */
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

/** Creates a fleet whose random choices all come from the given source. */
export function createFleet(topology: Topology, random: RandomSource): Fleet {
  const nodes = new Map<string, Node>();
  const published: Array<{at: number; list: ListedInstance[]}> = [];
  let messages: Message[] = [];
  let incarnationCount = 0;

  function getTime(node: Node): number {
    return node.clock.offset + fleet.now * node.clock.rate;
  }

  function send(from: Node, to: Node, isResponse: boolean): void {
    const heartbeat = from.membership.makeHeartbeat(to.id, getTime(from));
    if (!fleet.cuts.has(`${from.id}>${to.id}`)) {
      const delay = random.nextInt(MAXIMUM_DELAY_MS);
      const arrivesAt = fleet.now + delay;
      messages.push({from, to, heartbeat, isResponse, arrivesAt});
    }
  }

  function handleMessage(message: Message): boolean {
    const {from, to, heartbeat, isResponse, arrivesAt} = message;
    if (nodes.get(to.id) !== to) {
      return true;
    }
    if (arrivesAt > fleet.now || fleet.isPaused(to)) {
      return false;
    }
    to.membership.applyHeartbeat(heartbeat, getTime(to));
    if (!isResponse && nodes.get(from.id) === from) {
      send(to, from, true);
    }
    return true;
  }

  function fetchList(node: Node): void {
    node.nextListFetchAt = fleet.now + LIST_FETCH_PERIOD_MS;
    const lag = random.nextInt(LIST_LAG_MS);
    const visible = published.filter(item => item.at <= fleet.now - lag).at(-1);
    if (visible) {
      node.fetchedList = visible.list;
      node.membership.applyList(visible.list, topology, getTime(node));
      node.membership.recordListConfirmation(getTime(node));
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
      incarnationCount += 1;
      const clock = {
        offset: random.nextInt(1_000_000),
        rate: 0.99 + 0.02 * random.nextFloat(),
      };
      const node: Node = {
        id,
        clock,
        membership: createMembership({
          selfId: id,
          incarnation: `${id}#${incarnationCount}`,
          startedAt: clock.offset + fleet.now * clock.rate,
          leaseMs: LEASE_MS,
          suspectAfterMs: HEARTBEAT_MS * 3,
          listLagMs: LIST_LAG_MS,
        }),
        pausedUntil: 0,
        isConfigurationServiceCut: false,
        nextPeriodAt: fleet.now + random.nextInt(HEARTBEAT_MS),
        nextListFetchAt: fleet.now,
        fetchedList: undefined,
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
      const endAt = fleet.now + ms;
      while (fleet.now < endAt) {
        fleet.now += STEP_MS;
        // A process that resumes after a pause may dispatch before it processes
        // any message.
        check();
        messages = messages.filter(message => !handleMessage(message));
        for (const node of nodes.values()) {
          if (fleet.isPaused(node)) {
            continue;
          }
          if (
            !node.isConfigurationServiceCut &&
            fleet.now >= node.nextListFetchAt
          ) {
            fetchList(node);
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
