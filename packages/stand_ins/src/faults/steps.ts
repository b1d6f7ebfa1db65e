/** The steps of a request at which faults are injected, reached by events. */
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import {planAnswer} from '../engine/answer_text.js';
import {Flow} from '../processes/proxy.js';
import {DEFAULT_TOKENS, makeMessages} from './caller.js';
import type {Caller} from './caller.js';
import type {Site, SiteEntry} from './site.js';

/** What a step needs. */
export interface StepContext {
  site: Site;
  caller: Caller;
}

/** A probe that waits at its step. */
export interface ReachedStep {
  /** Whether the step was reached; a run that was not is void. */
  isReached: boolean;
  /** Server that the probe is at, if it is at one. */
  serverId?: string;
  /** Lets the probe go on; resolves when the probe has ended. */
  release(): Promise<void>;
}

/** A step by name. */
export interface Step {
  name: string;
  kind: 'chat' | 'ticket';
  reach(context: StepContext): Promise<ReachedStep>;
}

const PROBE_ID = 'probe';
const PROBE = {requestId: PROBE_ID, className: 'on-site', entry: 0};
const REACH_TIMEOUT_MS = 10_000;
const POLL_MS = 10;
/** Enough held requests to fill every server. */
const FILLERS = 20;

async function setHolds(
  site: Site,
  offset: number | null,
  prefix = PROBE_ID,
): Promise<void> {
  // A process that was killed or frozen holds nothing and does not answer.
  for (const engine of site.engines) {
    void engine.process.call('setHold', offset, prefix).catch(() => {});
  }
  await waitFor(POLL_MS);
}

/** Waits for a log line of any entry. */
async function waitForLine(site: Site, pattern: RegExp): Promise<boolean> {
  const endsAt = performance.now() + REACH_TIMEOUT_MS;
  while (performance.now() < endsAt) {
    if (
      site.entries.some(({process}) =>
        process.lines.some(line => pattern.test(line)),
      )
    ) {
      return true;
    }
    await waitFor(POLL_MS);
  }
  return false;
}

/** A step at which an engine holds the probe before a token. */
function createHeldStep(name: string, offset: number): Step {
  return {
    name,
    kind: 'chat',
    reach: async ({site, caller}) => {
      const {totalTokens} = planAnswer(makeMessages(PROBE_ID), DEFAULT_TOKENS);
      const position = offset < 0 ? totalTokens + offset : offset;
      await setHolds(site, position);
      const held = site.ledger.waitForRecord(
        'engine',
        record => record.kind === 'held' && record.requestId === PROBE_ID,
        REACH_TIMEOUT_MS,
      );
      const probe = caller.chat(PROBE);
      const record = await held;
      return {
        isReached: record !== undefined,
        ...(record ? {serverId: record.serverId} : {}),
        release: async () => {
          await setHolds(site, null);
          await probe;
        },
      };
    },
  };
}

const addressStep: Step = {
  name: 'address-handed-out',
  kind: 'chat',
  reach: async ({site, caller}) => {
    const {caller: proxy} = site.entries[0]!;
    const response = await request(`http://${proxy.address}/v1/entries`);
    await response.body.dump();
    return {
      isReached: response.statusCode === 200,
      release: () => caller.chat(PROBE),
    };
  },
};

const connectedStep: Step = {
  name: 'connected',
  kind: 'chat',
  reach: async ({site, caller}) => {
    const {caller: proxy} = site.entries[0]!;
    await proxy.setMode({toServer: Flow.HOLD}, 'step');
    const seen = proxy.waitForBytes();
    const probe = caller.chat(PROBE);
    await seen;
    return {
      isReached: true,
      release: async () => {
        await proxy.setMode({}, 'step');
        await probe;
      },
    };
  },
};

const admittedStep: Step = {
  name: 'admitted',
  kind: 'chat',
  reach: async ({site, caller}) => {
    const setFlows = (flow: Flow) =>
      Promise.all(
        site.engines.map(engine =>
          engine.proxy.setMode({toServer: flow}, 'step'),
        ),
      );
    await setFlows(Flow.HOLD);
    const probe = caller.chat(PROBE);
    return {
      isReached: await waitForLine(
        site,
        /event=request_admitted.* request=probe\b/,
      ),
      release: async () => {
        await setFlows(Flow.PASS);
        await probe;
      },
    };
  },
};

const queuedStep: Step = {
  name: 'queued',
  kind: 'chat',
  reach: async ({site, caller}) => {
    await setHolds(site, 0, '');
    const fillers = Array.from({length: FILLERS}, (_, index) =>
      caller.chat({
        requestId: `filler-${index}`,
        className: 'on-site',
        entry: index,
      }),
    );
    await waitForLine(site, /event=attempt_queued.* queued=[1-9]/);
    const probe = caller.chat(PROBE);
    return {
      isReached: await waitForLine(
        site,
        /event=attempt_queued.* request=probe queued=[1-9]/,
      ),
      release: async () => {
        await setHolds(site, null);
        await Promise.all([probe, ...fillers]);
      },
    };
  },
};

/** The entry at which the probe's ticket is presented; another one issued it. */
const PRESENTED_AT = 1;

async function fetchTicket({caller}: StepContext): Promise<string> {
  return (await caller.fetchTicket(PROBE_ID, 0)) ?? '';
}

const issuedStep: Step = {
  name: 'ticket-issued',
  kind: 'ticket',
  reach: async context => {
    const ticket = await fetchTicket(context);
    return {
      isReached: ticket !== '',
      release: () =>
        context.caller.presentTicket(PROBE_ID, ticket, PRESENTED_AT),
    };
  },
};

const presentedStep: Step = {
  name: 'ticket-presented',
  kind: 'ticket',
  reach: async context => {
    const {site, caller} = context;
    const ticket = await fetchTicket(context);
    await site.service.process.call('setHold', true);
    const executed = site.ledger.waitForRecord(
      'execution',
      record => record.reference === PROBE_ID,
      REACH_TIMEOUT_MS,
    );
    const probe = caller.presentTicket(PROBE_ID, ticket, PRESENTED_AT);
    return {
      isReached: (await executed) !== undefined,
      release: async () => {
        void site.service.process.call('setHold', false).catch(() => {});
        await probe;
      },
    };
  },
};

const storedStep: Step = {
  name: 'result-stored',
  kind: 'ticket',
  reach: async context => {
    const ticket = await fetchTicket(context);
    const presentAgain = () =>
      context.caller.presentTicket(PROBE_ID, ticket, PRESENTED_AT);
    await presentAgain();
    return {isReached: ticket !== '', release: presentAgain};
  },
};

/** All steps, in the order of a request's life. */
export const steps: readonly Step[] = [
  addressStep,
  connectedStep,
  admittedStep,
  queuedStep,
  createHeldStep('dispatched', 0),
  createHeldStep('first-token', 1),
  createHeldStep('mid-stream', DEFAULT_TOKENS / 4),
  createHeldStep('last-chunk', -1),
  issuedStep,
  presentedStep,
  storedStep,
];

/** The entry that serves the probe. */
export function getProbeEntry(site: Site, step: Step): SiteEntry {
  return site.entries[step.kind === 'chat' ? PROBE.entry : PRESENTED_AT]!;
}

/** The entry that issued the probe's ticket. */
export function getProbeIssuer(site: Site): SiteEntry {
  return site.entries[0]!;
}
