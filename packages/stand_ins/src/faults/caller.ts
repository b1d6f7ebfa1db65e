/**
 * A caller as the documentation for callers asks for: it reconnects, resumes
 * streams and presents idempotency tickets again.
 */
import {createParser} from 'eventsource-parser';
import {waitFor} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import {buildAnswerText} from '../engine/answer_text.js';
import type {CallRecord} from './run_history.js';
import type {ClusterEntry, TestCluster} from './test_cluster.js';

/** Options of {@link Caller.chat}. */
export interface ChatOptions {
  requestId: string;
  className: string;
  /** Maximum length of the answer. */
  tokens?: number;
  /** Index of the entry that the first call goes to; each retry uses the next. */
  entry?: number;
}

/** Any number of concurrent callers of one cluster. */
export interface Caller {
  /** Sends a chat; resumes or retries it until the answer is complete or a timeout. */
  chat(options: ChatOptions): Promise<void>;
  /** Calls a plain service without a ticket; returns the ticket issued, if any. */
  fetchTicket(reference: string, entry?: number): Promise<string | undefined>;
  /**
   * Presents a ticket, at one entry after another, until the call succeeds, its
   * outcome is `unknown` or the attempts are used up.
   */
  presentTicket(
    reference: string,
    ticket: string,
    entry?: number,
  ): Promise<void>;
  /** Records whether the file set of an entry has a class. */
  probeClass(entry: ClusterEntry, className: string): Promise<void>;
  close(): Promise<void>;
}

export const DEFAULT_ANSWER_TOKENS = 24;
/** Time without data after which a caller tries another entry. */
const IDLE_TIMEOUT_MS = 3000;
const CALLER_TIMEOUT_MS = 30_000;
const MAXIMUM_TICKET_ATTEMPTS = 8;
const RETRY_DELAY_MS = 100;
const API_KEY = 'clinic-network-example-key';

const headers = {
  authorization: `Bearer ${API_KEY}`,
  'content-type': 'application/json',
};

interface Problem {
  code: string;
  outcome: string;
}

/** Uses the request id as prompt, so that all answers differ. */
export function makeMessages(requestId: string) {
  return [{role: 'user', content: requestId}];
}

function createCallParser(call: CallRecord) {
  return createParser({
    onEvent: event => {
      if (event.data === '[DONE]') {
        call.terminated = true;
      } else if (event.event === 'error') {
        const {code, outcome} = JSON.parse(event.data) as Problem;
        Object.assign(call, {code, outcome});
      } else {
        call.firstTokenAt ??= performance.now();
        const chunk = JSON.parse(event.data) as {
          choices: Array<{delta: {content: string}}>;
        };
        call.text += chunk.choices[0]!.delta.content;
        call.offset = Number(event.id ?? call.offset);
      }
    },
  });
}

export function createCaller(cluster: TestCluster): Caller {
  const agent = new Agent({
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
    connect: {timeout: 1000},
  });

  function getEntry(index: number): ClusterEntry {
    return cluster.entries[index % cluster.entries.length]!;
  }

  function createCall(
    init: Pick<CallRecord, 'kind' | 'requestId' | 'reference' | 'className'> & {
      entryId: string;
    },
  ): CallRecord {
    return {
      type: 'call',
      tier: cluster.fileSet.classes.get(init.className)?.tier ?? 0,
      sentAt: performance.now(),
      at: 0,
      status: 0,
      code: '',
      outcome: '',
      resumeOffset: 0,
      offset: 0,
      text: '',
      terminated: false,
      failure: '',
      ...init,
    };
  }

  /** Makes a call and records its result or failure. */
  async function recordCall(
    call: CallRecord,
    send: () => Promise<Dispatcher.ResponseData>,
    read: (body: AsyncIterable<Uint8Array>) => Promise<void>,
  ): Promise<CallRecord> {
    try {
      const response = await send();
      call.status = response.statusCode;
      const type = String(response.headers['content-type']);
      if (type.startsWith('application/problem')) {
        const {code, outcome} = (await response.body.json()) as Problem;
        Object.assign(call, {code, outcome});
      } else {
        await read(response.body);
      }
    } catch (error) {
      call.failure = (error as {code?: string}).code ?? 'broken';
    }
    cluster.history.record(call);
    return call;
  }

  function callChat(
    options: ChatOptions,
    requestId: string,
    entry: ClusterEntry,
    resumeOffset: number,
  ): Promise<CallRecord> {
    const {className, tokens = DEFAULT_ANSWER_TOKENS} = options;
    const call = createCall({
      kind: 'chat',
      requestId,
      reference: options.requestId,
      className,
      entryId: entry.id,
    });
    call.resumeOffset = resumeOffset;
    call.offset = resumeOffset;
    return recordCall(
      call,
      () =>
        request(`http://${entry.caller.address}/v1/chat/completions`, {
          method: 'POST',
          dispatcher: agent,
          reset: true,
          headers: {
            ...headers,
            'x-request-class': className,
            'x-request-id': requestId,
            ...(resumeOffset > 0 ? {'last-event-id': `${resumeOffset}`} : {}),
          },
          body: JSON.stringify({
            model: 'inspector',
            messages: makeMessages(options.requestId),
            max_tokens: tokens,
            stream: true,
          }),
        }),
      async body => {
        const parser = createCallParser(call);
        const decoder = new TextDecoder();
        for await (const bytes of body) {
          parser.feed(decoder.decode(bytes, {stream: true}));
        }
      },
    );
  }

  function callService(
    reference: string,
    ticket: string | undefined,
    entry: ClusterEntry,
    onTicket: (ticket: string) => void = () => {},
  ): Promise<CallRecord> {
    const call = createCall({
      kind: 'service',
      requestId: reference,
      reference,
      className: '',
      entryId: entry.id,
    });
    const url = `http://${entry.caller.address}/v1/services/registry/certificates`;
    return recordCall(
      call,
      async () => {
        const response = await request(url, {
          method: 'POST',
          dispatcher: agent,
          reset: true,
          headers: {
            ...headers,
            'idempotency-key': reference,
            ...(ticket ? {'idempotency-ticket': ticket} : {}),
          },
          body: JSON.stringify({reference}),
        });
        const issued = response.headers['idempotency-ticket'];
        if (issued !== undefined) {
          onTicket(String(issued));
        }
        return response;
      },
      async body => {
        for await (const bytes of body) {
          call.text += Buffer.from(bytes).toString('utf8');
        }
        call.terminated = true;
      },
    );
  }

  return {
    chat: async options => {
      const {requestId, className, tokens = DEFAULT_ANSWER_TOKENS} = options;
      const startedAt = performance.now();
      let text = '';
      let offset = 0;
      let isWhole = false;
      let firstTokenAt: number | undefined;
      let entry = options.entry ?? 0;
      let refusals = 0;
      while (!isWhole && performance.now() - startedAt < CALLER_TIMEOUT_MS) {
        // After a refusal as not run, the retry has a new id: if the refused
        // request does run, it can be told apart from the retry.
        const callId = refusals > 0 ? `${requestId}.${refusals}` : requestId;
        const call = await callChat(options, callId, getEntry(entry), offset);
        text += call.text;
        offset = call.offset;
        isWhole = call.terminated;
        firstTokenAt ??= call.firstTokenAt;
        entry += 1;
        if (call.outcome === 'not_run' && offset === 0) {
          refusals += 1;
        }
        if (!isWhole) {
          await waitFor(RETRY_DELAY_MS);
        }
      }
      cluster.history.record({
        type: 'answer',
        requestId,
        className,
        startedAt,
        text,
        expected: buildAnswerText(makeMessages(requestId), tokens),
        isWhole,
        ...(firstTokenAt === undefined ? {} : {firstTokenAt}),
      });
    },
    fetchTicket: async (reference, entry = 0) => {
      let ticket: string | undefined;
      await callService(reference, undefined, getEntry(entry), issued => {
        ticket = issued;
      });
      return ticket;
    },
    presentTicket: async (reference, ticket, first = 0) => {
      for (let attempt = 0; attempt < MAXIMUM_TICKET_ATTEMPTS; attempt++) {
        const entry = getEntry(first + attempt);
        const call = await callService(reference, ticket, entry);
        if (call.terminated || call.outcome === 'unknown') {
          return;
        }
        await waitFor(RETRY_DELAY_MS);
      }
    },
    probeClass: async (entry, className) => {
      const {callerAddress} = entry.process.instance;
      try {
        const response = await request(
          `http://${callerAddress}/v1/chat/completions`,
          {
            method: 'POST',
            dispatcher: agent,
            reset: true,
            headersTimeout: 500,
            headers: {...headers, 'x-request-class': className},
            body: JSON.stringify({
              model: 'no-such-model',
              messages: makeMessages('probe'),
            }),
          },
        );
        const {code} = (await response.body.json()) as Problem;
        const isKnown = code === 'unknown_model';
        if (isKnown || code === 'unknown_class') {
          cluster.history.record({
            type: 'config',
            entryId: entry.id,
            className,
            isKnown,
          });
        }
      } catch {
        // Without an answer there is nothing to record.
      }
    },
    close: () => agent.destroy(),
  };
}
