/** Which requests are allowed, and what is said where that is unsure. */
import type {RouterError} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {checkAccess} from '../src/front/access.js';
import type {RequestFacts} from '../src/model.js';
import {createKnowledge} from '../src/state/cluster_state.js';
import {
  createConfiguration,
  createFilledKnowledge,
  createRoute,
  silentLogger,
} from './support/fixtures.js';

const KEY_AGE_MS = 3800;
const CERTAIN_AGE_MS = 1800;

function createFacts(changes: Partial<RequestFacts> = {}): RequestFacts {
  return {
    id: 'r1',
    host: 'host',
    path: '/a/b/',
    deadlineMs: 1000,
    apiKey: 'key',
    lastEventId: undefined,
    generation: undefined,
    ...changes,
  };
}

const configuration = createConfiguration({
  routes: [
    createRoute({name: 'wide', pathPrefix: '/'}),
    createRoute({name: 'narrow', pathPrefix: '/a/b/'}),
    createRoute({name: 'open', pathPrefix: '/open/', isPublic: true}),
    createRoute({name: 'elsewhere', host: 'other'}),
  ],
});

function check(
  facts: RequestFacts,
  now: number,
  knowledge = createFilledKnowledge(configuration, []),
) {
  return checkAccess(facts, {
    knowledge,
    maximumKeyAgeMs: KEY_AGE_MS,
    certainAgeMs: CERTAIN_AGE_MS,
    now,
  });
}

function readCode(run: () => unknown): string {
  try {
    run();
  } catch (error) {
    return (error as RouterError).code;
  }
  return 'none';
}

describe('access', () => {
  describe('routes', () => {
    it('are found by the longest prefix of the host', () => {
      assert.is(check(createFacts(), 0).route.name, 'narrow');
      assert.is(check(createFacts({path: '/a/c/'}), 0).route.name, 'wide');
    });

    it('of another host are unknown', () => {
      const facts = createFacts({host: 'nowhere'});
      assert.is(
        readCode(() => check(facts, 0)),
        'unknown_route',
      );
    });

    it('are not called unknown by old knowledge', () => {
      const facts = createFacts({host: 'nowhere'});
      assert.is(
        readCode(() => check(facts, CERTAIN_AGE_MS + 1)),
        'stale_knowledge',
      );
    });
  });

  describe('keys', () => {
    it('name the customer', () => {
      assert.is(check(createFacts(), 0).customer!.name, 'customer');
    });

    it('that nobody holds are refused', () => {
      const facts = createFacts({apiKey: 'other'});
      assert.is(
        readCode(() => check(facts, 0)),
        'unknown_customer',
      );
      assert.is(
        readCode(() => check(facts, CERTAIN_AGE_MS + 1)),
        'stale_knowledge',
      );
    });

    it('are taken until their withdrawal could have been missed', () => {
      assert.is(
        readCode(() => check(createFacts(), KEY_AGE_MS)),
        'none',
      );
      assert.is(
        readCode(() => check(createFacts(), KEY_AGE_MS + 1)),
        'stale_knowledge',
      );
    });

    it('are not asked for on public routes, whatever the age', () => {
      const facts = createFacts({path: '/open/', apiKey: undefined});
      assert.is(check(facts, 60_000).customer, undefined);
    });
  });

  it('is refused as not ready before the first configuration', () => {
    const empty = createKnowledge({
      logger: silentLogger,
      decodeConfiguration: () => configuration,
    });
    assert.is(
      readCode(() => check(createFacts(), 0, empty)),
      'not_ready',
    );
  });
});
