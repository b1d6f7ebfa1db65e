/** Sends planned arrivals at their time and records what comes back. */
import {setMaxListeners} from 'node:events';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import {waitFor} from '@buckthornbeam/shared';
import {createAnswerRecord} from './answer_record.js';
import type {AnswerRecord} from './answer_record.js';
import type {Arrival} from './traffic.js';

/** Options of {@link runLoad}. */
export interface LoadOptions {
  arrivals: readonly Arrival[];
  /** `host:port` of the entries. */
  addresses: readonly string[];
  getModel: (className: string) => string;
  /** Time after the last arrival at which open requests are cut. */
  drainMs: number;
  /** Is called before the open requests are cut. */
  onCut?: () => void;
}

/** Result of a run. */
export interface LoadResult {
  records: AnswerRecord[];
  /** Requests that were cut at the end. */
  unfinished: number;
}

const TERMINATOR = '[DONE]';

function buildBody(arrival: Arrival, model: string): string {
  return JSON.stringify({
    model,
    messages: [{role: 'user', content: arrival.prompt}],
    max_tokens: arrival.maximumTokens,
    stream: true,
  });
}

async function readAnswer(
  body: AsyncIterable<Uint8Array>,
  record: AnswerRecord,
  getTime: () => number,
): Promise<void> {
  const parser = createParser({
    onEvent: event => {
      if (event.event === 'error') {
        record.problem = (JSON.parse(event.data) as {code: string}).code;
      } else if (event.data === TERMINATOR) {
        record.isComplete = true;
      } else {
        record.tokenTimes.push(getTime());
      }
    },
  });
  for await (const bytes of body) {
    parser.feed(Buffer.from(bytes).toString('utf8'));
  }
}

/** Runs an open loop: no arrival waits for an answer. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const {arrivals, addresses, getModel, drainMs} = options;
  const agent = new Agent({connections: null, pipelining: 1});
  const cut = new AbortController();
  setMaxListeners(0, cut.signal);
  const startedAt = performance.now();
  const getTime = () => performance.now() - startedAt;
  const records: AnswerRecord[] = [];

  async function sendRequest(record: AnswerRecord): Promise<void> {
    const {arrival} = record;
    const index = Math.floor(arrival.entryFraction * addresses.length);
    const response = await request(
      `http://${addresses[index]!}/v1/chat/completions`,
      {
        method: 'POST',
        dispatcher: agent,
        signal: cut.signal,
        headers: {
          authorization: `Bearer ${arrival.customerId}-example-key`,
          'content-type': 'application/json',
          'x-request-class': arrival.className,
        },
        body: buildBody(arrival, getModel(arrival.className)),
      },
    );
    if (response.statusCode !== 200) {
      const problem = (await response.body.json()) as {code: string};
      record.problem = problem.code;
      return;
    }
    await readAnswer(response.body, record, getTime);
  }

  async function runRequest(arrival: Arrival): Promise<void> {
    const record = createAnswerRecord(arrival, getTime());
    records.push(record);
    try {
      await sendRequest(record);
    } catch {
      record.problem = cut.signal.aborted ? 'cut' : 'connection';
    }
    record.endedAt = getTime();
  }

  const open: Array<Promise<void>> = [];
  for (const arrival of arrivals) {
    const waitMs = arrival.atMs - getTime();
    if (waitMs > 0) {
      await waitFor(waitMs);
    }
    open.push(runRequest(arrival));
  }
  const timer = setTimeout(() => {
    options.onCut?.();
    cut.abort();
  }, drainMs);
  await Promise.all(open);
  clearTimeout(timer);
  await agent.close();
  const unfinished = records.filter(item => item.problem === 'cut').length;
  return {records, unfinished};
}
