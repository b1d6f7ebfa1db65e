/** News of shortages, as passed on among instances. */
import {
  createPrefixLocations,
  createPromptQuarantine,
  createRoomShortages,
} from '@buckthornbeam/decisions';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {decodeGossip, encodeGossip} from '../src/peers/gossip_message.js';
import {GOSSIP_ROUND_MS, createGossipNode} from '../src/peers/gossip_node.js';
import {
  decodeShortageNews,
  encodeShortageNews,
} from '../src/peers/shortage_news.js';
import {createServerLoads} from '../src/state/server_loads.js';

const STEP_MS = 10;
const DELAY_MS = 20;
const SERVICE = 'service';
/** Bytes that a shortage may add for each instance. */
const MAXIMUM_BYTES_PER_SECOND = 500;

/** A fleet whose instances have their rounds at different times. */
function createFleet(count: number) {
  const shortages = Array.from({length: count}, () => createRoomShortages());
  const nodes = shortages.map((own, index) =>
    createGossipNode({
      describeSelf: () => ({
        instanceId: `i${index}`,
        incarnation: 'a',
        gossipAddress: `i${index}`,
        callerAddress: `i${index}`,
        dataCentre: `dc${index % 3}`,
        isReady: true,
        isLeaving: false,
      }),
      describeState: () => ({
        version: 1,
        revision: 1,
        digest: 1,
        confirmedAgeMs: 0,
      }),
      seedAddresses: ['i0'],
      loads: createServerLoads(),
      locations: createPrefixLocations(),
      quarantine: createPromptQuarantine({
        selfId: `i${index}`,
        listInstances: () => [`i${index}`],
      }),
      shortages: own,
      random: Math.random,
    }),
  );
  let now = 0;
  let bytes = 0;
  let onTheWay: Array<{at: number; address: string; bytes: Uint8Array}> = [];

  function send(
    datagrams: ReadonlyArray<
      Parameters<typeof encodeGossip>[0] & {address: string}
    >,
  ): void {
    for (const {address, ...envelope} of datagrams) {
      const encoded = encodeGossip(envelope);
      bytes += encoded.length;
      onTheWay.push({at: now + DELAY_MS, address, bytes: encoded});
    }
  }

  function runFor(ms: number, onStep: () => void = () => undefined): void {
    for (const endsAt = now + ms; now < endsAt; now += STEP_MS) {
      onStep();
      nodes.forEach((node, index) => {
        if ((now + index * 70) % GOSSIP_ROUND_MS === 0) {
          send(node.runRound(now));
        }
      });
      const due = onTheWay.filter(({at}) => at <= now);
      onTheWay = onTheWay.filter(({at}) => at > now);
      for (const datagram of due) {
        const node = nodes[Number(datagram.address.slice(1))]!;
        send(node.receive(decodeGossip(datagram.bytes)!, now).datagrams);
      }
    }
  }

  return {
    runFor,
    record: (index: number) => shortages[index]!.record(SERVICE, 0.25, now),
    countHeldBack: () =>
      shortages.filter(item => item.isHeldBack(SERVICE, 0.5, now)).length,
    /** Returns the bytes sent since the last call. */
    takeBytes: () => {
      const taken = bytes;
      bytes = 0;
      return taken;
    },
  };
}

describe('news of shortages', () => {
  // Guards against a position that holds back its own rank, and against news that get
  // younger on the way.
  it('are read as they were written, with ages rounded up', () => {
    const item = {
      serviceHash: 0xfedcba98,
      urgencyPosition: 1 / 3,
      ageMs: 141,
      hops: 1,
    };
    const decoded = decodeShortageNews(encodeShortageNews([item]));
    assert.is(decoded.length, 1);
    assert.equal(
      {...decoded[0]!, urgencyPosition: 0},
      {
        ...item,
        urgencyPosition: 0,
        ageMs: 150,
      },
    );
    const shortages = createRoomShortages();
    shortages.acceptNews('peer', [{...decoded[0]!, serviceHash: 0}], 0);
    assert.ok(Math.abs(decoded[0]!.urgencyPosition - 1 / 3) < 1e-4);
  });

  // Guards against a message that is rejected for damaged news.
  it('are left out where they are incomplete', () => {
    const item = {serviceHash: 1, urgencyPosition: 0, ageMs: 0, hops: 0};
    const bytes = encodeShortageNews([item, item]);
    assert.is(decodeShortageNews(bytes.subarray(0, 15)).length, 1);
  });

  for (const count of [8, 86]) {
    describe(`in a fleet of ${count} instances`, () => {
      // Guards against instances that send less urgent requests for longer than the
      // urgent ones wait, and against a shortage that outlives its end.
      it('reach all within 800 ms and end within a second', () => {
        const fleet = createFleet(count);
        fleet.runFor(15_000);
        fleet.takeBytes();
        fleet.runFor(2000);
        const usualBytes = fleet.takeBytes();
        const reachedAfter: number[] = [];
        let elapsed = 0;
        fleet.runFor(2000, () => {
          fleet.record(3);
          elapsed += STEP_MS;
          const share = fleet.countHeldBack() / count;
          if (share >= 0.5) {
            reachedAfter[0] ??= elapsed;
          }
          if (share === 1) {
            reachedAfter[1] ??= elapsed;
          }
        });
        const shortageBytes = fleet.takeBytes();
        const text = `half, all: ${reachedAfter.join()} ms, bytes: ${usualBytes} ${shortageBytes}`;
        assert.ok((reachedAfter[1] ?? Infinity) <= 800, text);
        assert.is(fleet.countHeldBack(), count, text);
        const addedBytes = (shortageBytes - usualBytes) / count / 2;
        assert.ok(addedBytes < MAXIMUM_BYTES_PER_SECOND, text);
        // The ages do not contain the time on the way, over three messages.
        fleet.runFor(1000 + 3 * DELAY_MS);
        assert.is(fleet.countHeldBack(), 0);
      });
    });
  }
});
