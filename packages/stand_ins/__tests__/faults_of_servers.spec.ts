import {describe} from '@buckthornbeam/testing';
import {Invariant} from '../src/faults/index.js';
import {describeCell} from './cell_tests.js';

describe('faults of servers and the platform', () => {
  describeCell('kill-engine', 'mid-stream');
  describeCell('late-engine', 'last-chunk');
  describeCell('stale-platform', 'admitted');
  describeCell('operator-race', 'queued');
  describeCell('server-out', 'first-token', [Invariant.SERVER_OUT]);
  describeCell('data-centre-out', 'dispatched', [Invariant.DATA_CENTRE_OUT]);
});
