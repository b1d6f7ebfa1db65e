import {createManualClock, createLogger} from '@buckthornbeam/shared';
import type {Metrics} from '@buckthornbeam/shared';
import {RouterError, parseFields} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {loadFileSet} from '@buckthornbeam/config';
import {fileURLToPath} from 'node:url';
import type {AnswerChunk, ChatRequest} from '../src/tasks/chat_request.js';
import type {Entry} from '../src/tasks/entry.js';
import {createRecordedEntry} from '../src/tasks/recorded_entry.js';

const set = loadFileSet(
  fileURLToPath(new URL('../../../../examples/tunis', import.meta.url)),
);

const request: ChatRequest = {
  requestId: 'r-1',
  className: 'on-site',
  model: 'inspector',
  body: {},
  maximumTokens: undefined,
  resumeOffset: 0,
};

/** Runs one request whose chunks arrive at the given times, in milliseconds. */
async function runRequest(
  times: readonly number[],
  options: {
    error?: RouterError;
    className?: string;
    sampleEvery?: number;
    stopAfter?: number;
  } = {},
) {
  const clock = createManualClock();
  const lines: string[] = [];
  const counts: string[] = [];
  const metrics: Metrics = {
    count: (name, value = 1, tags = {}) =>
      counts.push([name, value, ...Object.values(tags)].join(' ')),
    gauge: () => undefined,
    timing: () => undefined,
    close: async () => undefined,
  };
  async function* answer(): AsyncGenerator<AnswerChunk> {
    for (const [offset, time] of times.entries()) {
      clock.advance(time - clock.now());
      yield {offset, tokens: 1, data: ''};
    }
    if (options.error) {
      throw options.error;
    }
  }
  const recorded = createRecordedEntry({
    entry: {answer} as unknown as Entry,
    clock,
    logger: createLogger({write: line => lines.push(line)}),
    metrics,
    findFileSet: () => set,
    sampleEvery: options.sampleEvery ?? 1,
  });
  const called = {...request, className: options.className ?? 'on-site'};
  const {signal} = new AbortController();
  let seen = 0;
  try {
    for await (const chunk of recorded.answer('ports', called, signal)) {
      seen += chunk.tokens;
      if (seen === options.stopAfter) {
        break;
      }
    }
  } catch {
    // Only the log lines and counts of a failure are checked here.
  }
  return {fields: lines.map(parseFields), counts};
}

describe('request record', () => {
  it('writes one log line with times, tokens and outcome', async () => {
    const {fields, counts} = await runRequest([400, 430, 460]);
    assert.is(fields.length, 1);
    const {event, tokens, firstTokenMs, totalMs, code} = fields[0]!;
    assert.equal(
      [event, tokens, firstTokenMs, totalMs, code],
      ['request', '3', '400', '460', 'ok'],
    );
    assert.ok(counts.includes('requests 1 on-site ok'));
    assert.is(counts.filter(line => line.endsWith('true')).length, 3);
  });

  it('counts each target that was missed', async () => {
    const {counts} = await runRequest([411, 460]);
    assert.ok(counts.includes('targets 1 on-site firstTokenMs false'));
    assert.ok(counts.includes('targets 1 on-site betweenTokensMs false'));
    assert.ok(counts.includes('targets 1 on-site completionMs true'));
  });

  it('logs every failure but only sampled complete answers', async () => {
    const error = new RouterError('overloaded', 'no room');
    const failed = await runRequest([], {error, sampleEvery: 100});
    assert.is(failed.fields[0]!['code'], 'overloaded');
    assert.is(failed.fields[0]!['outcome'], 'not_run');
    const whole = await runRequest([1], {sampleEvery: 100});
    assert.equal(whole.fields, []);
  });

  it('tags unknown classes as unknown to bound the tag values', async () => {
    const {counts} = await runRequest([1], {className: 'invented'});
    assert.ok(counts.includes('requests 1 unknown ok'));
  });

  it('counts disconnected callers separately and does not log them', async () => {
    const {counts, fields} = await runRequest([1, 2, 3], {stopAfter: 2});
    assert.equal(counts, ['requests_left 1']);
    assert.equal(fields, []);
  });
});
