/** A caller that goes by the callers' page: it reconnects, resumes and keeps tickets. */
import {createParser} from 'eventsource-parser';
import {waitFor} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import {buildAnswerText} from '../engine/answer_text.js';
import type {CallRecord} from './ledger.js';
import type {Site, SiteEntry} from './site.js';

/** A chat of one caller. */
export interface ChatOptions {
  requestId: string;
  className: string;
  /** Greatest length of the answer, in tokens. */
  tokens?: number;
  /** Index of the entry of the first call. */
  entry?: number;
}

/** Callers of one site. */
export interface Caller {
  /** Makes calls until the answer is whole or the patience ends. */
  chat(options: ChatOptions): Promise<void>;
  /** Asks an entry for a ticket; undefined when none came. */
  fetchTicket(reference: string, entry?: number): Promise<string | undefined>;
  /** Presents a ticket until an outcome other than `not_run` is known. */
  presentTicket(
    reference: string,
    ticket: string,
    entry?: number,
  ): Promise<void>;
  /** Asks an entry whether a class is in force. */
  probeClass(entry: SiteEntry, className: string): Promise<void>;
  close(): Promise<void>;
}

export const DEFAULT_TOKENS = 24;
/** Time without a byte after which a caller goes to another entry. */
const IDLE_TIMEOUT_MS = 3000;
/** Time after which a caller gives up, in milliseconds. */
const PATIENCE_MS = 30_000;
const MAXIMUM_PRESENTATIONS = 8;
const RETRY_PAUSE_MS = 100;
const API_KEY = 'clinic-network-example-key';

const headers = {
  authorization: `Bearer ${API_KEY}`,
  'content-type': 'application/json',
};

interface Problem {
  code: string;
  outcome: string;
}

/** Messages of a request; the prompt is its id, so that answers differ. */
export function makeMessages(requestId: string) {
  return [{role: 'user', content: requestId}];
}

function readEvents(call: CallRecord) {
  return createParser({
    onEvent: event => {
      if (event.data === '[DONE]') {
        call.terminated = true;
      } else if (event.event === 'error') {
        Object.assign(call, JSON.parse(event.data) as Problem, {
          text: call.text,
        });
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

/** Creates the callers of a site. */
export function createCaller(site: Site): Caller {
  const agent = new Agent({
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
    connect: {timeout: 1000},
  });

  function getEntry(index: number): SiteEntry {
    return site.entries[index % site.entries.length]!;
  }

  function createCall(
    init: Pick<CallRecord, 'kind' | 'requestId' | 'reference' | 'className'> & {
      entryId: string;
    },
  ): CallRecord {
    return {
      type: 'call',
      tier: site.fileSet.classes.get(init.className)?.tier ?? 0,
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

  /** Makes a call and records it, whatever happens to it. */
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
    site.ledger.record(call);
    return call;
  }

  function callChat(
    options: ChatOptions,
    requestId: string,
    entry: SiteEntry,
    resumeOffset: number,
  ): Promise<CallRecord> {
    const {className, tokens = DEFAULT_TOKENS} = options;
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
        const parser = readEvents(call);
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
    entry: SiteEntry,
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
      const {requestId, className, tokens = DEFAULT_TOKENS} = options;
      const startedAt = performance.now();
      let text = '';
      let offset = 0;
      let isWhole = false;
      let firstTokenAt: number | undefined;
      let entry = options.entry ?? 0;
      let refusals = 0;
      while (!isWhole && performance.now() - startedAt < PATIENCE_MS) {
        // A request that was refused as not run gets a new id, so that an
        // execution of the refused one shows.
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
          await waitFor(RETRY_PAUSE_MS);
        }
      }
      site.ledger.record({
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
      for (let attempt = 0; attempt < MAXIMUM_PRESENTATIONS; attempt++) {
        const entry = getEntry(first + attempt);
        const call = await callService(reference, ticket, entry);
        if (call.terminated || call.outcome === 'unknown') {
          return;
        }
        await waitFor(RETRY_PAUSE_MS);
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
          site.ledger.record({
            type: 'config',
            entryId: entry.id,
            className,
            isKnown,
          });
        }
      } catch {
        // An entry that cannot be asked says nothing.
      }
    },
    close: () => agent.destroy(),
  };
}
