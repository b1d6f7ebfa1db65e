import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {RouterError, createMailbox} from '../src/index.js';

type Message = {type: 'add'; value: number} | {type: 'fail'};

describe('mailbox', () => {
  it('handles a message posted by a handler after that handler', () => {
    const order: string[] = [];
    const mailbox = createMailbox<Message>({
      add: message => {
        order.push(`start ${message.value}`);
        if (message.value === 1) {
          mailbox.post({type: 'add', value: 2});
        }
        order.push(`end ${message.value}`);
      },
      fail: () => undefined,
    });
    mailbox.post({type: 'add', value: 1});
    assert.equal(order, ['start 1', 'end 1', 'start 2', 'end 2']);
  });

  describe('when a handler throws', () => {
    it('handles the queued messages and rethrows the error from post', () => {
      const values: number[] = [];
      const mailbox = createMailbox<Message>({
        add: message => values.push(message.value),
        fail: () => {
          mailbox.post({type: 'add', value: 1});
          throw new RouterError('internal', 'no luck');
        },
      });
      assert.throws(() => mailbox.post({type: 'fail'}), /no luck/);
      assert.equal(values, [1]);
    });

    it('passes the error to onError', () => {
      const failed: string[] = [];
      const mailbox = createMailbox<Message>(
        {
          add: () => undefined,
          fail: () => {
            throw new RouterError('internal', 'no luck');
          },
        },
        {onError: (_error, message) => failed.push(message.type)},
      );
      mailbox.post({type: 'fail'});
      assert.equal(failed, ['fail']);
    });
  });
});
