import {describe} from '@buckthornbeam/testing';
import {describeCell} from './cell_tests.js';

describe('rushes of one class', () => {
  describeCell('rush-on-site', 'admitted');
  describeCell('rush-overnight', 'admitted');
});
