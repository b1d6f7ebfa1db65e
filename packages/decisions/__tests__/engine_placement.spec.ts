/** Placement of generations under the load patterns that it answers. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import type {EngineCandidate, EngineRequest} from '../src/engine_candidate.js';
import {estimateTokenMs} from '../src/engine_costs.js';
import {placeGeneration} from '../src/engine_placement.js';
import {createPrefixLocations, listPrefixes} from '../src/prefix_locations.js';
import {chooseShortPool} from '../src/short_pool.js';

const TOKENS_PER_MS = 50;

function createCandidate(
  serverId: string,
  changes: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    serverId,
    slots: 64,
    memoryTokens: 500_000,
    inFlight: 0,
    ownInFlight: 0,
    unreadTokens: 0,
    inFlightTokens: 0,
    readingPerMs: 0,
    heldTokens: 0,
    readTokens: 0,
    failureRate: 0,
    ...changes,
  };
}

function createRequest(changes: Partial<EngineRequest> = {}): EngineRequest {
  return {
    promptTokens: 17_000,
    sharedTokens: 13_000,
    sharedKey: 'history-1',
    outputTokens: 120,
    targetMs: 2000,
    leftMs: 6000,
    ...changes,
  };
}

const IDS = ['a', 'b', 'c', 'd', 'e', 'f'];
const NO_POOL = {
  tokensPerMs: TOKENS_PER_MS,
  shortPool: new Set<string>(),
  instances: 8,
};

function findHome(request: EngineRequest): string {
  const idle = IDS.map(id => createCandidate(id));
  return placeGeneration(idle, request, NO_POOL)!.serverId;
}

describe('engine placement', () => {
  describe('prompts with shared parts', () => {
    it('gather on one server, whatever the order of the candidates', () => {
      const request = createRequest();
      const home = findHome(request);
      const reversed = [...IDS].reverse().map(id => createCandidate(id));
      assert.is(placeGeneration(reversed, request, NO_POOL)!.serverId, home);
    });

    it('spread over the servers by their shared parts', () => {
      const homes = new Set(
        Array.from({length: 60}, (_, index) =>
          findHome(createRequest({sharedKey: `history-${index}`})),
        ),
      );
      assert.is(homes.size, IDS.length);
    });

    it('stay where they are read while the wait there is short', () => {
      const request = createRequest();
      const home = findHome(request);
      const candidates = IDS.map(id =>
        createCandidate(id, {unreadTokens: id === home ? 20_000 : 0}),
      );
      assert.is(placeGeneration(candidates, request, NO_POOL)!.serverId, home);
    });
  });

  describe('a burst of prompts that no server has read', () => {
    it('counts the whole prompt as work of the home', () => {
      const request = createRequest();
      const idle = IDS.map(id => createCandidate(id));
      const placement = placeGeneration(idle, request, NO_POOL)!;
      assert.is(placement.unreadTokens, request.promptTokens);
      assert.is(placement.isHome, true);
    });

    it('leaves a home that is behind, before anything was read there', () => {
      const request = createRequest();
      const home = findHome(request);
      const candidates = IDS.map(id =>
        createCandidate(id, {unreadTokens: id === home ? 90_000 : 0}),
      );
      const placement = placeGeneration(candidates, request, NO_POOL)!;
      assert.is.not(placement.serverId, home);
    });
  });

  describe('a home that is behind, whose parts other servers can copy', () => {
    const request = createRequest();
    const home = findHome(request);
    const read = {heldTokens: 13_000, readTokens: 13_000};
    const copying = {...NO_POOL, copiedTokensPerMs: 2500};

    function listCandidates(changes: Partial<EngineCandidate>) {
      return IDS.map(id => createCandidate(id, id === home ? changes : {}));
    }

    it('passes its parts to an idle server', () => {
      const candidates = listCandidates({unreadTokens: 200_000, ...read});
      const placement = placeGeneration(candidates, request, copying)!;
      assert.is.not(placement.serverId, home);
      assert.is(placement.copySourceId, home);
      assert.is(placement.copiedTokens, 13_000);
      assert.is(placement.unreadTokens, 4000);
    });

    it('keeps them where servers cannot copy', () => {
      const candidates = listCandidates({unreadTokens: 200_000, ...read});
      const placement = placeGeneration(candidates, request, NO_POOL)!;
      assert.is(placement.copySourceId, undefined);
      assert.is(placement.copiedTokens, 0);
    });

    it('is no source before it has read them', () => {
      const unread = listCandidates({
        unreadTokens: 200_000,
        heldTokens: 13_000,
      });
      const placement = placeGeneration(unread, request, copying)!;
      assert.is(placement.copySourceId, undefined);
    });

    it('keeps its prompts while the wait there is short', () => {
      const behind = listCandidates({unreadTokens: 8000, ...read});
      assert.is(placeGeneration(behind, request, copying)!.serverId, home);
    });

    it('does not pass on what is read faster than it is copied', () => {
      const small = createRequest({promptTokens: 4300, sharedTokens: 300});
      const held = listCandidates({
        unreadTokens: 200_000,
        heldTokens: 300,
        readTokens: 300,
      });
      const placement = placeGeneration(held, small, copying)!;
      assert.is(placement.copySourceId, undefined);
    });
  });

  describe('a burst of short prompts that all instances send at once', () => {
    const short = createRequest({
      promptTokens: 1400,
      sharedTokens: 0,
      sharedKey: '',
    });
    const returned = createCandidate('returned', {ownInFlight: 2});
    const busy = createCandidate('busy', {inFlight: 60});

    it('does not crowd the server whose reports are old', () => {
      const options = {...NO_POOL, instances: 88};
      const placed = placeGeneration([returned, busy], short, options)!;
      assert.is(placed.serverId, 'busy');
    });

    it('goes to that server in a fleet whose reports are fresh', () => {
      const options = {...NO_POOL, instances: 2};
      const placed = placeGeneration([returned, busy], short, options)!;
      assert.is(placed.serverId, 'returned');
    });
  });

  describe('a burst of short prompts that their pool cannot bear', () => {
    const options = {...NO_POOL, shortPool: new Set(['a', 'b'])};
    const short = createRequest({
      promptTokens: 1400,
      sharedTokens: 0,
      sharedKey: '',
    });

    it('goes to servers for long prompts that have nothing to read', () => {
      const candidates = IDS.map(id =>
        createCandidate(id, {
          unreadTokens: options.shortPool.has(id) ? 8000 : 0,
        }),
      );
      const placed = placeGeneration(candidates, short, options)!;
      assert.not.ok(options.shortPool.has(placed.serverId));
    });

    it('stays while the pool is no further behind than the others', () => {
      const candidates = IDS.map(id =>
        createCandidate(id, {unreadTokens: 8000}),
      );
      const placed = placeGeneration(candidates, short, options)!;
      assert.ok(options.shortPool.has(placed.serverId));
    });
  });

  describe('short answers beside servers that read without a break', () => {
    const short = createRequest({
      promptTokens: 1400,
      sharedTokens: 0,
      sharedKey: '',
      pauseMs: 300,
    });
    const options = {...NO_POOL, tokensPerEvent: 7};
    // Reading 12,000 tokens takes about 280 ms in six steps.
    const reading = createCandidate('reading', {unreadTokens: 12_000});
    const crowded = createCandidate('crowded', {inFlight: 60});

    it('go where events do not wait for the reading', () => {
      const placed = placeGeneration([reading, crowded], short, options)!;
      assert.is(placed.serverId, 'crowded');
    });

    it('go by the shortest wait where events hold fewer tokens', () => {
      const few = {...options, tokensPerEvent: 1};
      const busy = createCandidate('crowded', {inFlight: 90});
      const placed = placeGeneration([reading, busy], short, few)!;
      assert.is(placed.serverId, 'reading');
    });

    it('go by the shortest wait where longer pauses are on time', () => {
      const patient = {...short, pauseMs: 3000};
      const busy = createCandidate('crowded', {inFlight: 90});
      const placed = placeGeneration([reading, busy], patient, options)!;
      assert.is(placed.serverId, 'reading');
    });
  });

  describe('a hot key that one server cannot bear', () => {
    it('moves to a server that holds the parts already', () => {
      const request = createRequest();
      const home = findHome(request);
      const other = IDS.find(id => id !== home)!;
      const candidates = IDS.map(id =>
        createCandidate(id, {
          unreadTokens: id === home ? 60_000 : 0,
          heldTokens: id === other ? 13_000 : 0,
        }),
      );
      assert.is(placeGeneration(candidates, request, NO_POOL)!.serverId, other);
    });

    it('is read elsewhere only once waiting costs several readings', () => {
      const request = createRequest();
      const home = findHome(request);
      const place = (unreadTokens: number) =>
        placeGeneration(
          IDS.map(id =>
            createCandidate(id, {unreadTokens: id === home ? unreadTokens : 0}),
          ),
          request,
          NO_POOL,
        )!.serverId;
      assert.is(place(50_000), home);
      assert.is.not(place(300_000), home);
    });
  });

  describe('a burst of long prompts', () => {
    it('slows the answers beside it down to a token for each chunk', () => {
      const idle = estimateTokenMs(createCandidate('a'), TOKENS_PER_MS);
      const busy = estimateTokenMs(
        createCandidate('a', {readingPerMs: 60}),
        TOKENS_PER_MS,
      );
      assert.ok(idle < 5, `${idle} ms`);
      assert.ok(busy > 20, `${busy} ms`);
    });

    it('sends a long answer where it can still end in time', () => {
      const request = createRequest({outputTokens: 400});
      const home = findHome(request);
      const candidates = IDS.map(id =>
        createCandidate(id, {readingPerMs: id === home ? 60 : 5}),
      );
      const placed = placeGeneration(candidates, request, NO_POOL)!;
      assert.is.not(placed.serverId, home);
      assert.ok(placed.expectedEndMs < request.leftMs);
    });

    it('says when no server can end an answer in time', () => {
      const candidates = IDS.map(id =>
        createCandidate(id, {readingPerMs: 70, unreadTokens: 200_000}),
      );
      const request = createRequest({outputTokens: 300});
      const placed = placeGeneration(candidates, request, NO_POOL)!;
      assert.ok(placed.expectedEndMs > request.leftMs);
    });
  });

  describe('a fleet that is behind as a whole', () => {
    it('does not read shared parts again to even out the waiting', () => {
      const request = createRequest();
      const home = findHome(request);
      const candidates = IDS.map(id =>
        createCandidate(id, {unreadTokens: id === home ? 250_000 : 120_000}),
      );
      assert.is(placeGeneration(candidates, request, NO_POOL)!.serverId, home);
    });
  });

  describe('long prompts beside short ones', () => {
    const shortPool = chooseShortPool({serverIds: IDS, part: 0.2});
    const options = {tokensPerMs: TOKENS_PER_MS, shortPool, instances: 8};

    it('go to separate servers', () => {
      const idle = IDS.map(id => createCandidate(id));
      for (let index = 0; index < 30; index++) {
        const sharedKey = `part-${index}`;
        const long = createRequest({sharedKey});
        const short = createRequest({
          sharedKey,
          promptTokens: 1500,
          sharedTokens: 350,
        });
        const {serverId: longId} = placeGeneration(idle, long, options)!;
        const {serverId: shortId} = placeGeneration(idle, short, options)!;
        assert.not.ok(shortPool.has(longId));
        assert.ok(shortPool.has(shortId));
      }
    });

    it('share the servers when those of their kind are full', () => {
      const candidates = IDS.map(id =>
        createCandidate(id, {
          unreadTokens: shortPool.has(id) ? 100_000 : 0,
        }),
      );
      const short = createRequest({promptTokens: 1500, sharedTokens: 350});
      const placed = placeGeneration(candidates, short, options)!;
      assert.not.ok(shortPool.has(placed.serverId));
    });
  });

  describe('servers that fail', () => {
    it('get less while they fail', () => {
      const request = createRequest({sharedKey: '', sharedTokens: 0});
      const candidates = IDS.map(id =>
        createCandidate(id, {failureRate: id === 'c' ? 0 : 0.5}),
      );
      assert.is(placeGeneration(candidates, request, NO_POOL)!.serverId, 'c');
    });
  });

  describe('servers that are full', () => {
    it('are passed over for one with memory', () => {
      const request = createRequest();
      const home = findHome(request);
      const candidates = IDS.map(id =>
        createCandidate(id, {inFlightTokens: id === home ? 490_000 : 0}),
      );
      assert.is.not(
        placeGeneration(candidates, request, NO_POOL)!.serverId,
        home,
      );
    });
  });

  it('has no placement without candidates', () => {
    assert.is(placeGeneration([], createRequest(), NO_POOL), undefined);
  });
});

describe('short pool', () => {
  it('is the same for every order of the servers', () => {
    const one = chooseShortPool({serverIds: IDS, part: 0.3});
    const other = chooseShortPool({serverIds: [...IDS].reverse(), part: 0.3});
    assert.equal([...one].sort(), [...other].sort());
  });

  it('changes by one server at most when a server leaves', () => {
    const before = chooseShortPool({serverIds: IDS, part: 0.34});
    for (const gone of IDS) {
      const rest = IDS.filter(id => id !== gone);
      const after = chooseShortPool({serverIds: rest, part: 0.34});
      const added = [...after].filter(id => !before.has(id));
      assert.ok(added.length <= 1);
    }
  });

  it('leaves few servers undivided', () => {
    assert.is(chooseShortPool({serverIds: ['a', 'b', 'c'], part: 0.2}).size, 0);
  });
});

describe('prefix locations', () => {
  const parts = [
    {id: 'p1', tokens: 2000},
    {id: 'p2', tokens: 4000},
  ];
  const prefixes = listPrefixes(parts);

  it('count the longest prefix that was read', () => {
    const locations = createPrefixLocations();
    locations.recordRead('a', prefixes, 0);
    assert.is(locations.countExpectedTokens('a', prefixes, 1), 6000);
    const branch = listPrefixes([parts[0]!, {id: 'p3', tokens: 100}]);
    assert.is(locations.countExpectedTokens('a', branch, 1), 2000);
    assert.is(locations.countExpectedTokens('b', prefixes, 1), 0);
  });

  it('tell the models of prompts apart', () => {
    const locations = createPrefixLocations();
    locations.recordRead('a', listPrefixes(parts, 'm1'), 0);
    const other = listPrefixes(parts, 'm2');
    assert.is(locations.countExpectedTokens('a', other, 1), 0);
  });

  it('forget what was read long ago', () => {
    const locations = createPrefixLocations();
    locations.recordRead('a', prefixes, 0);
    assert.is(locations.countExpectedTokens('a', prefixes, 61_000), 0);
  });

  it('expect what was sent, but only what was read can be copied', () => {
    const locations = createPrefixLocations();
    locations.recordSent('a', prefixes, 0);
    assert.is(locations.countExpectedTokens('a', prefixes, 1), 6000);
    assert.is(locations.countReadTokens('a', prefixes, 1), 0);
    locations.recordRead('a', prefixes, 2);
    assert.is(locations.countReadTokens('a', prefixes, 3), 6000);
  });

  describe('updates for peers', () => {
    it('say nothing of prompts that no server has read yet', () => {
      const locations = createPrefixLocations();
      locations.recordSent('a', prefixes, 0);
      assert.equal(locations.takeUpdates(), []);
    });

    it('let a peer count what another instance had read', () => {
      const locations = createPrefixLocations();
      const peer = createPrefixLocations();
      locations.recordRead('a', prefixes, 0);
      peer.acceptUpdates(locations.takeUpdates(), false, 1);
      assert.is(peer.countExpectedTokens('a', prefixes, 2), 6000);
      assert.is(peer.countExpectedTokens('b', prefixes, 2), 0);
    });

    it('are sent in two messages, since one may be lost', () => {
      const locations = createPrefixLocations();
      locations.recordRead('a', prefixes, 0);
      const sizes = [1, 2, 3].map(() => locations.takeUpdates().length);
      assert.equal(sizes, [2, 2, 0]);
    });

    it('are passed on once in a large fleet and not at all in a small one', () => {
      const locations = createPrefixLocations();
      locations.recordRead('a', prefixes, 0);
      const updates = locations.takeUpdates();
      const small = createPrefixLocations();
      small.acceptUpdates(updates, false, 1);
      assert.is(small.takeUpdates().length, 0);
      const large = createPrefixLocations();
      large.acceptUpdates(updates, true, 1);
      large.acceptUpdates(updates, true, 2);
      assert.is(large.takeUpdates().length, 2);
    });

    it('are repeated when a prefix is still in use, for newcomers', () => {
      const locations = createPrefixLocations();
      locations.recordRead('a', prefixes, 0);
      locations.takeUpdates();
      locations.takeUpdates();
      locations.recordRead('a', prefixes, 1000);
      assert.is(locations.takeUpdates().length, 0);
      locations.recordRead('a', prefixes, 30_000);
      assert.is(locations.takeUpdates().length, 2);
    });

    it('keep messages small when many prefixes come at once', () => {
      const locations = createPrefixLocations();
      for (let index = 0; index < 1000; index += 1) {
        const many = listPrefixes([{id: `p${index}`, tokens: 100}]);
        locations.recordRead('a', many, 0);
      }
      assert.ok(locations.takeUpdates().length <= 150);
    });
  });
});
