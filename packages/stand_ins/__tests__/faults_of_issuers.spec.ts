import {describe} from '@buckthornbeam/testing';
import {describeCell} from './cell_tests.js';

describe('faults of issuers and plain services', () => {
  describeCell('kill-issuer', 'ticket-presented');
  describeCell('replace-issuer', 'result-stored');
  describeCell('freeze-issuer', 'ticket-presented');
  describeCell('cut-receiving-issuer', 'ticket-issued');
  describeCell('kill-service', 'ticket-presented');
});
