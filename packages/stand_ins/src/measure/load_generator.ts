/** Sends planned requests at their arrival times and records the answers. */
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
  /** Addresses of the entries, as `host:port`. */
  addresses: readonly string[];
  getModel: (className: string) => string;
  /** Time after the last arrival at which unfinished requests are aborted. */
  drainMs: number;
  /** Called before unfinished requests are aborted. */
  onAbort?: () => void;
}

export interface LoadResult {
  records: AnswerRecord[];
  /** Number of requests aborted at the end. */
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

/** Sends in an open loop: requests are not delayed by unfinished ones. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const {arrivals, addresses, getModel, drainMs} = options;
  const agent = new Agent({connections: null, pipelining: 1});
  const abortController = new AbortController();
  setMaxListeners(0, abortController.signal);
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
        signal: abortController.signal,
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
      record.problem = abortController.signal.aborted ? 'cut' : 'connection';
    }
    record.endedAt = getTime();
  }

  const pending: Array<Promise<void>> = [];
  for (const arrival of arrivals) {
    const delayMs = arrival.atMs - getTime();
    if (delayMs > 0) {
      await waitFor(delayMs);
    }
    pending.push(runRequest(arrival));
  }
  const timer = setTimeout(() => {
    options.onAbort?.();
    abortController.abort();
  }, drainMs);
  await Promise.all(pending);
  clearTimeout(timer);
  await agent.close();
  const unfinished = records.filter(item => item.problem === 'cut').length;
  return {records, unfinished};
}
