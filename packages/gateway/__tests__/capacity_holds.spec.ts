/** What waiting requests hold back, by the length of their prompts. */
import {createRankReserve, createRoomShortages} from '@buckthornbeam/decisions';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import type {RequestMetadata} from '../src/model.js';
import {AdmissionReason} from '../src/relay/admission_reason.js';
import {createCapacityHolds, listTargets} from '../src/relay/capacity_holds.js';
import {createRoute} from './support/fixtures.js';

const NOW = 1000;
const URGENT = {position: 0, excluded: new Set<string>()};
const LATER = 0.6;

function listPromptTargets(
  promptTokens: number,
  allowedRegions: string[] = [],
) {
  const generation = {
    model: 'm',
    promptTokens,
    maximumOutputTokens: 1,
    blocks: [],
  };
  return listTargets(createRoute({allowedRegions}), {
    id: 'r',
    generation,
  } as unknown as RequestMetadata);
}

const LONG = listPromptTargets(17_000);
const SHORT = listPromptTargets(1_460);

describe('a prompt that finds no room', () => {
  for (const [name, lacking, held, isHeld] of [
    ['a long one holds back long ones', LONG, LONG, true],
    // Guards against a prompt that cannot end in time and refuses short ones while
    // servers have room for them.
    ['a long one does not hold back short ones', LONG, SHORT, false],
    // Guards against urgent short prompts that are refused while large ones start.
    ['a short one holds back long ones', SHORT, LONG, true],
    ['a short one holds back short ones', SHORT, SHORT, true],
    [
      'one that is restricted to a region does not hold back others',
      listPromptTargets(1_460, ['north']),
      LONG,
      false,
    ],
    [
      'one that is restricted to a region holds back the same region',
      listPromptTargets(1_460, ['north']),
      listPromptTargets(17_000, ['north']),
      true,
    ],
  ] as const) {
    it(name, () => {
      const shortages = createRoomShortages();
      const holds = createCapacityHolds({
        clusterState: {listServers: () => []},
        shortages,
        reserve: createRankReserve({random: () => 0}),
      });
      const blocked = new Map<string, number>();
      const find = () => holds.find(held[0]!, LATER, blocked, NOW);
      holds.addBlocked(blocked, lacking, URGENT);
      assert.is(find(), isHeld ? AdmissionReason.ORDER : undefined);
      blocked.clear();
      holds.announce(lacking, {...URGENT, isShared: true}, NOW);
      assert.is(find(), isHeld ? AdmissionReason.SHORTAGE : undefined);
      assert.ok(shortages.isScarce('service', NOW), 'customers are divided');
    });
  }
});
