/** The steps of a request at which faults are injected, recognised by events. */
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import {planAnswer} from '../engine/answer_text.js';
import {Flow} from '../processes/proxy.js';
import {DEFAULT_ANSWER_TOKENS, makeMessages} from './caller.js';
import type {Caller} from './caller.js';
import type {ClusterEntry, TestCluster} from './test_cluster.js';

export interface StepContext {
  cluster: TestCluster;
  caller: Caller;
}

/** The probe, a single tracked request, paused at a step. */
export interface ReachedStep {
  /** If false, the probe missed its step and the run is void. */
  isReached: boolean;
  /** Server that processes the probe, if one does. */
  serverId?: string;
  /** Lets the probe continue; resolves when it has ended. */
  release(): Promise<void>;
}

export interface Step {
  name: string;
  kind: 'chat' | 'ticket';
  reach(context: StepContext): Promise<ReachedStep>;
}

const PROBE_ID = 'probe';
const PROBE = {requestId: PROBE_ID, className: 'on-site', entry: 0};
const REACH_TIMEOUT_MS = 10_000;
const POLL_MS = 10;
/** Enough paused requests to fill every server. */
const FILLER_REQUESTS = 20;

async function setEngineHolds(
  cluster: TestCluster,
  offset: number | null,
  prefix = PROBE_ID,
): Promise<void> {
  // Not awaited: a killed or frozen process pauses nothing and does not answer.
  for (const engine of cluster.engines) {
    void engine.process.call('setHold', offset, prefix).catch(() => {});
  }
  await waitFor(POLL_MS);
}

/** Waits for a matching log line of any entry; false if none came in time. */
async function waitForLogLine(
  cluster: TestCluster,
  pattern: RegExp,
): Promise<boolean> {
  const endsAt = performance.now() + REACH_TIMEOUT_MS;
  while (performance.now() < endsAt) {
    if (
      cluster.entries.some(({process}) =>
        process.logLines.some(line => pattern.test(line)),
      )
    ) {
      return true;
    }
    await waitFor(POLL_MS);
  }
  return false;
}

/**
 * Creates a step at which an engine pauses the probe before the token at an
 * offset; negative offsets count from the end of the answer.
 */
function createHeldStep(name: string, offset: number): Step {
  return {
    name,
    kind: 'chat',
    reach: async ({cluster, caller}) => {
      const {totalTokens} = planAnswer(
        makeMessages(PROBE_ID),
        DEFAULT_ANSWER_TOKENS,
      );
      const position = offset < 0 ? totalTokens + offset : offset;
      await setEngineHolds(cluster, position);
      const held = cluster.history.waitForRecord(
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
          await setEngineHolds(cluster, null);
          await probe;
        },
      };
    },
  };
}

const addressStep: Step = {
  name: 'address-handed-out',
  kind: 'chat',
  reach: async ({cluster, caller}) => {
    const {caller: proxy} = cluster.entries[0]!;
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
  reach: async ({cluster, caller}) => {
    const {caller: proxy} = cluster.entries[0]!;
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
  reach: async ({cluster, caller}) => {
    const setFlows = (flow: Flow) =>
      Promise.all(
        cluster.engines.map(engine =>
          engine.proxy.setMode({toServer: flow}, 'step'),
        ),
      );
    await setFlows(Flow.HOLD);
    const probe = caller.chat(PROBE);
    return {
      isReached: await waitForLogLine(
        cluster,
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
  reach: async ({cluster, caller}) => {
    await setEngineHolds(cluster, 0, '');
    const fillers = Array.from({length: FILLER_REQUESTS}, (_, index) =>
      caller.chat({
        requestId: `filler-${index}`,
        className: 'on-site',
        entry: index,
      }),
    );
    await waitForLogLine(cluster, /event=attempt_queued.* queued=[1-9]/);
    const probe = caller.chat(PROBE);
    return {
      isReached: await waitForLogLine(
        cluster,
        /event=attempt_queued.* request=probe queued=[1-9]/,
      ),
      release: async () => {
        await setEngineHolds(cluster, null);
        await Promise.all([probe, ...fillers]);
      },
    };
  },
};

/** Differs from the entry that issues the probe's ticket. */
const PRESENTING_ENTRY_INDEX = 1;

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
        context.caller.presentTicket(PROBE_ID, ticket, PRESENTING_ENTRY_INDEX),
    };
  },
};

const presentedStep: Step = {
  name: 'ticket-presented',
  kind: 'ticket',
  reach: async context => {
    const {cluster, caller} = context;
    const ticket = await fetchTicket(context);
    await cluster.service.process.call('setHold', true);
    const executed = cluster.history.waitForRecord(
      'execution',
      record => record.reference === PROBE_ID,
      REACH_TIMEOUT_MS,
    );
    const probe = caller.presentTicket(
      PROBE_ID,
      ticket,
      PRESENTING_ENTRY_INDEX,
    );
    return {
      isReached: (await executed) !== undefined,
      release: async () => {
        void cluster.service.process.call('setHold', false).catch(() => {});
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
      context.caller.presentTicket(PROBE_ID, ticket, PRESENTING_ENTRY_INDEX);
    await presentAgain();
    return {isReached: ticket !== '', release: presentAgain};
  },
};

/** All steps, in the order in which a chat or a ticket passes them. */
export const steps: readonly Step[] = [
  addressStep,
  connectedStep,
  admittedStep,
  queuedStep,
  createHeldStep('dispatched', 0),
  createHeldStep('first-token', 1),
  createHeldStep('mid-stream', DEFAULT_ANSWER_TOKENS / 4),
  createHeldStep('last-chunk', -1),
  issuedStep,
  presentedStep,
  storedStep,
];

/** Returns the entry that handles the probe. */
export function getProbeEntry(cluster: TestCluster, step: Step): ClusterEntry {
  return cluster.entries[
    step.kind === 'chat' ? PROBE.entry : PRESENTING_ENTRY_INDEX
  ]!;
}

/** Returns the entry that issues the probe's ticket. */
export function getProbeIssuer(cluster: TestCluster): ClusterEntry {
  return cluster.entries[0]!;
}
