import {describe} from '@buckthornbeam/testing';
import {Invariant} from '../src/faults/index.js';
import {describeCell} from './cell_tests.js';

describe('faults of entries', () => {
  describeCell('kill-entry', 'mid-stream');
  describeCell('freeze-owner', 'dispatched');
  describeCell('cut-sending-owner', 'mid-stream');
  describeCell('stop-entry', 'first-token', [Invariant.PLANNED_STOP]);
  describeCell('stop-owner', 'queued', [Invariant.PLANNED_STOP]);
});
