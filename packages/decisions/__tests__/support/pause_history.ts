/**
 * Plays a history of one instance and servers that ask for pauses, without a network.
 * Times are in milliseconds. Messages take less than half of the time after which a
 * pause binds the instance.
 */
import * as assert from 'uvu/assert';
import {createServerStatements} from '../../src/index.js';
import type {ServerLife} from '../../src/index.js';

export const StepType = {
  SEND: 'send',
  WAIT: 'wait',
  /** The server refuses from now on, and asks for a pause of this time. */
  ASK: 'ask',
  /** The server serves from now on. */
  SERVE: 'serve',
  /** Another process starts at the address, with a new id or the old one. */
  RESTART: 'restart',
  /** The instance gets the next list of servers, or the latest one. */
  LIST: 'list',
  CUT: 'cut',
  HEAL: 'heal',
  /** The instance does nothing for a time, which its clock may leave out. */
  SUSPEND: 'suspend',
  /** The instance starts again. */
  REBOOT: 'reboot',
} as const;
export type StepType = (typeof StepType)[keyof typeof StepType];

export interface Step {
  type: StepType;
  server: number;
  ms: number;
  /** Selects the second form of a step. */
  isOther: boolean;
}

/** What a history has checked. */
export interface HistoryCounts {
  /** Pauses that no excuse ended before their end. */
  pauses: number;
  refused: number;
  trials: number;
}

interface Server {
  address: string;
  id: string;
  startedAt: number;
  pauseMs: number | undefined;
  isCut: boolean;
  /** Messages that wait for the end of a cut. */
  held: Array<() => void>;
}

/** A pause as the server counts it. */
interface Pause {
  server: Server;
  id: string;
  startedAt: number;
  askedAt: number;
  endsAt: number;
  arrivals: number;
}

/** What the instance heard of one life; times of its own clock. */
interface Heard {
  endsAt: number;
  triedAt: number;
  answeredAt: number | undefined;
  unlistedSince?: number | undefined;
}

const SERVERS = 3;
const NOTICE_MS = 500;
const MAXIMUM_ARRIVALS = 2;
const MAXIMUM_DELAY_MS = 150;
const LONGEST_MS = 600_000;
/** Time for which the statements of an unlisted life are kept. */
const RETENTION_MS = 600_000;
const TRIAL_MS = 3000;
const RETURN_MS = 500;
/** Of these lists, one lacks the entry of a server. */
const LISTS_PER_LAPSE = 5;
const CONTEXT = {instances: ['self']};
const SHARERS = {...CONTEXT, selfId: 'self'};

/**
 * @param hasStarts Whether entries have the start of their server. Without it, a later
 *   process with the id and the address of an earlier one cannot be told from it, so
 *   that each gets a new id.
 */
export function runHistory(
  steps: readonly Step[],
  hasStarts: boolean,
): HistoryCounts {
  const counts: HistoryCounts = {pauses: 0, refused: 0, trials: 0};
  const servers: Server[] = Array.from({length: SERVERS}, (_, index) => ({
    address: `a:${index}`,
    id: `s${index}`,
    startedAt: 1000 + index,
    pauseMs: undefined,
    isCut: false,
    held: [],
  }));
  /** Time of the servers; the clock of the instance is behind it. */
  let time = 0;
  let lostMs = 0;
  let boots = 0;
  let starts = 0;
  let statements = createServerStatements();
  let pauses: Pause[] = [];
  let heard = new Map<string, Heard>();
  let messages: Array<{at: number; isAnswer: boolean; deliver: () => void}> =
    [];
  let lists: ServerLife[][] = [];
  let listed: Array<ServerLife | undefined> = [];

  function describeServers(): ServerLife[] {
    return servers.map(({id, address, startedAt}) => ({
      id,
      address,
      startedAt: hasStarts ? startedAt : undefined,
    }));
  }

  function buildKey({id, startedAt}: ServerLife): string {
    return `${id} ${startedAt}`;
  }

  /** Ends the check of pauses; those that have ended were kept to. */
  function clearPauses(isExcused: (pause: Pause) => boolean): void {
    const open = pauses.filter(({endsAt}) => endsAt > time);
    counts.pauses += pauses.length - open.length;
    pauses = open.filter(pause => !isExcused(pause));
  }

  function post(server: Server, isAnswer: boolean, deliver: () => void): void {
    if (server.isCut) {
      server.held.push(deliver);
    } else {
      deliver();
    }
  }

  function postLater(
    server: Server,
    {delayMs, isAnswer}: {delayMs: number; isAnswer: boolean},
    deliver: () => void,
  ): void {
    messages.push({
      at: time + (delayMs % MAXIMUM_DELAY_MS),
      isAnswer,
      deliver: () => post(server, isAnswer, deliver),
    });
  }

  /** Delivers what is due; a suspended instance reads answers at the end. */
  function advanceTime(ms: number, isSuspended = false): void {
    const end = time + ms;
    for (;;) {
      const [next] = messages
        .filter(({at, isAnswer}) => at <= end && !(isSuspended && isAnswer))
        .sort((a, b) => a.at - b.at);
      if (!next) {
        break;
      }
      messages = messages.filter(message => message !== next);
      time = Math.max(time, next.at);
      next.deliver();
    }
    time = end;
  }

  function recordAnswer(
    life: ServerLife,
    sentAt: number,
    pauseMs: number | undefined,
  ): void {
    const headAt = time - lostMs;
    const answer = {requestId: 'r', sentAt, headAt};
    const statement = {
      isLeaving: false,
      ...(pauseMs === undefined ? {} : {pauseMs}),
    };
    statements.record(life, statement, answer);
    const known = heard.get(buildKey(life));
    const endsAt = headAt + Math.min(pauseMs ?? 0, LONGEST_MS);
    if (pauseMs && endsAt > (known?.endsAt ?? -Infinity)) {
      const unanswered = {triedAt: -Infinity, answeredAt: undefined};
      heard.set(buildKey(life), {endsAt, ...unanswered});
    } else if (!pauseMs && known && sentAt >= known.endsAt) {
      known.answeredAt ??= headAt;
    }
  }

  function countArrival(server: Server): void {
    for (const pause of pauses) {
      const {id, startedAt, askedAt, endsAt} = pause;
      const isAsking =
        pause.server === server &&
        server.id === id &&
        server.startedAt === startedAt;
      if (isAsking && time >= askedAt + NOTICE_MS && time < endsAt) {
        pause.arrivals += 1;
        assert.ok(pause.arrivals <= MAXIMUM_ARRIVALS, 'requests in a pause');
      }
    }
  }

  function acceptRequest(server: Server, life: ServerLife, sent: Step): void {
    const {id, startedAt, pauseMs} = server;
    // Another process at the address answers 421, which states nothing.
    if (id !== life.id) {
      return;
    }
    countArrival(server);
    // What it states counts for the listed life while the list is late.
    const isListed = !hasStarts || startedAt === life.startedAt;
    if (pauseMs !== undefined && isListed) {
      const endsAt = time + Math.min(pauseMs, LONGEST_MS);
      const asked = {askedAt: time, endsAt, arrivals: 0};
      pauses.push({server, id, startedAt, ...asked});
    }
    const sentBoots = boots;
    const sentAt = sent.ms;
    postLater(server, {delayMs: sentAt, isAnswer: true}, () => {
      if (sentBoots === boots) {
        recordAnswer(life, sentAt, pauseMs);
      }
    });
  }

  /** Compares a decision with what the instance heard. */
  function checkDecision(life: ServerLife, isAllowed: boolean): void {
    const now = time - lostMs;
    const known = heard.get(buildKey(life));
    if (!known) {
      assert.ok(isAllowed, 'avoided without a pause');
    } else if (now < known.endsAt) {
      assert.not(isAllowed, 'sent in a pause');
      counts.refused += 1;
    } else if (known.answeredAt === undefined) {
      const isDue = now - known.triedAt >= TRIAL_MS;
      assert.is(isAllowed, isDue, 'one trial at a time, and not none');
      counts.trials += isAllowed ? 1 : 0;
      known.triedAt = isAllowed ? now : known.triedAt;
    } else if (now - known.answeredAt >= RETURN_MS) {
      assert.ok(isAllowed, 'avoided after its return');
    }
  }

  function acceptList(list: readonly ServerLife[], lapsed?: number): void {
    listed = list.map((life, index) => (index === lapsed ? undefined : life));
    const present = list.filter((_, index) => index !== lapsed);
    const presentKeys = new Set(present.map(buildKey));
    for (const [key, known] of heard) {
      const now = time - lostMs;
      known.unlistedSince = presentKeys.has(key)
        ? undefined
        : (known.unlistedSince ?? now);
      if (now - (known.unlistedSince ?? now) > RETENTION_MS) {
        heard.delete(key);
        clearPauses(({id}) => key.startsWith(`${id} `));
      }
    }
    statements.retain(present, time - lostMs);
    statements.advance(SHARERS, time - lostMs);
  }

  const handlers: Record<StepType, (step: Step, server: Server) => void> = {
    send: (step, server) => {
      const life = listed[step.server];
      if (!life) {
        return;
      }
      const sentAt = time - lostMs;
      const isAllowed = statements.take(life, CONTEXT, sentAt);
      checkDecision(life, isAllowed);
      if (isAllowed) {
        postLater(server, {delayMs: step.ms, isAnswer: false}, () =>
          acceptRequest(server, life, {...step, ms: sentAt}),
        );
      }
    },
    wait: ({ms}) => advanceTime(ms),
    ask: ({ms}, server) => {
      server.pauseMs = ms;
    },
    serve: (_, server) => {
      server.pauseMs = undefined;
    },
    restart: ({ms, isOther}, server) => {
      starts += 1;
      server.pauseMs = undefined;
      if (isOther || !hasStarts) {
        server.id = `t${starts}`;
      }
      // The clocks of servers may have been set back since the last start.
      server.startedAt += (isOther ? starts : -starts) * (ms + 1) * SERVERS;
      lists.push(describeServers());
    },
    list: ({server, ms, isOther}) => {
      const late = isOther ? lists.at(-1) : lists[0];
      lists = isOther ? lists.slice(-1) : lists.slice(1);
      lists = lists.length > 0 ? lists : [describeServers()];
      acceptList(
        late ?? lists[0]!,
        ms % LISTS_PER_LAPSE === 0 ? server : undefined,
      );
    },
    cut: (_, server) => {
      server.isCut = true;
      clearPauses(pause => pause.server === server);
    },
    heal: (_, server) => {
      server.isCut = false;
      clearPauses(pause => pause.server === server);
      server.held.splice(0).forEach(deliver => deliver());
      clearPauses(pause => pause.server === server);
    },
    suspend: ({ms, isOther}) => {
      advanceTime(ms, true);
      lostMs += isOther ? ms : 0;
      clearPauses(() => true);
    },
    reboot: () => {
      boots += 1;
      statements = createServerStatements();
      heard = new Map();
      clearPauses(() => true);
    },
  };

  acceptList(describeServers());
  for (const step of steps) {
    advanceTime(1);
    handlers[step.type](step, servers[step.server]!);
  }
  clearPauses(() => true);
  return counts;
}
