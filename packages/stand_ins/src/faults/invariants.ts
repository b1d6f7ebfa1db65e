/**
 * The ten invariants, judged from the records of callers, engines and plain
 * services; the router's own word is not asked.
 */
import type {FileSet} from '@buckthornbeam/config';
import type {AnswerRecord, CallRecord, EngineRecord, Ledger} from './ledger.js';
import {COLD_REQUESTS} from './site.js';

/** The invariants by the names that the command line takes. */
export const Invariant = {
  TIER_ORDER: 'tier-order',
  NO_STARVATION: 'no-starvation',
  COLD_SERVER: 'cold-server',
  DATA_CENTRE_OUT: 'data-centre-out',
  WHOLE_ANSWER: 'whole-answer',
  TRUE_REFUSAL: 'true-refusal',
  AT_MOST_ONCE: 'at-most-once',
  SERVER_OUT: 'server-out',
  PLANNED_STOP: 'planned-stop',
  CONFIG_IN_FORCE: 'config-in-force',
} as const;
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

/** Names of marks that the judges read. */
export const Mark = {
  /** The fault is over; the subject is its name. */
  HEALED: 'healed',
  /** The load is about to end. */
  LOAD_ENDED: 'load_ended',
  /** A server's process was replaced or turned cold; the subject is its id. */
  COLD: 'cold',
  /** Published as out of service; the subject is the server's id. */
  SERVER_OUT: 'server_out',
  SERVER_IN: 'server_in',
  /** The data centre of the subject, a server's id, was published as out. */
  DATA_CENTRE_OUT: 'data_centre_out',
  DATA_CENTRE_IN: 'data_centre_in',
  /** An entry was asked to stop, and has ended; the subject is its id. */
  STOP_ASKED: 'stop_asked',
  STOP_ENDED: 'stop_ended',
  STOP_FAILED: 'stop_failed',
  /** A class, the subject, was published. */
  CLASS_PUBLISHED: 'class_published',
  /** The entry in the subject may be unable to know the published set. */
  UNREACHABLE: 'unreachable',
} as const;

/** What a judge found. */
export interface Verdict {
  invariant: Invariant;
  result: 'passed' | 'failed' | 'not_applicable';
  /** The violations, or why the run says nothing about the invariant. */
  details: string[];
  /** Records that the verdict rests on. */
  evidence: number;
}

/** A run to be judged. */
export interface JudgedRun {
  ledger: Ledger;
  fileSet: FileSet;
}

interface Finding {
  evidence: number;
  violations: string[];
  /** Why there is no evidence. */
  reason: string;
}

/** Time by which a server or data centre taken out gets no new work. */
export const OUT_BOUND_MS = 3000;
/** Answers to others, as a multiple of the expected, that mean starvation. */
const STARVATION_FACTOR = 10;
/** Time that a preempted request needs to end at its engine. */
const VIEW_AGE_MS = 100;
/** Time by which a published set is in force everywhere. */
export const IN_FORCE_BOUND_MS = 6000;

function listArrivals(ledger: Ledger): EngineRecord[] {
  return ledger.list('engine').filter(record => record.kind === 'arrived');
}

function findMark(ledger: Ledger, name: string, subject?: string) {
  return ledger
    .list('mark')
    .find(
      mark =>
        mark.name === name &&
        (subject === undefined || mark.subject === subject),
    );
}

/** A request was shed while one of a lower tier ran at an engine. */
function checkTierOrder({ledger}: JudgedRun): Finding {
  const arrivals = listArrivals(ledger);
  const chats = ledger.list('call').filter(call => call.kind === 'chat');
  const shed = chats.filter(
    call => call.code === 'overloaded' || call.code === 'preempted',
  );
  const endedAt = new Map(
    ledger
      .list('engine')
      .filter(({kind}) => kind === 'finished' || kind === 'cancelled')
      .map(({attemptId, at}) => [attemptId, at]),
  );
  const violations = shed.flatMap(call => {
    const lower = arrivals.find(
      arrival =>
        arrival.tier > call.tier &&
        arrival.at < Math.max(call.sentAt, call.at - VIEW_AGE_MS) &&
        (endedAt.get(arrival.attemptId) ?? 0) > call.at + VIEW_AGE_MS,
    );
    return lower
      ? [
          `${call.requestId} (tier ${call.tier}) was shed, ${lower.requestId} ran`,
        ]
      : [];
  });
  return {evidence: chats.length, violations, reason: 'no chat was sent'};
}

/** Whether a request waited for its first token at a time. */
function isWaitingAt(answer: AnswerRecord, at: number): boolean {
  const {startedAt, firstTokenAt = Infinity} = answer;
  return startedAt < at && answer.at > at && firstTokenAt > at;
}

/** Most answers of others that ended while a class waited and got none. */
function countPassedOver(
  answers: readonly AnswerRecord[],
  className: string,
): number {
  const own = answers.filter(answer => answer.className === className);
  let longest = 0;
  let length = 0;
  for (const answer of answers) {
    if (answer.className === className) {
      length = 0;
    } else if (own.some(item => isWaitingAt(item, answer.at))) {
      length += 1;
    }
    longest = Math.max(longest, length);
  }
  return longest;
}

/** Classes that waited through a long run of answers, by their minimum share. */
function listStarvedClasses(ledger: Ledger, fileSet: FileSet): string[] {
  const endsAt = findMark(ledger, Mark.LOAD_ENDED)?.at ?? Infinity;
  const answers = ledger.list('answer').filter(answer => answer.at < endsAt);
  return [...fileSet.classes.values()].flatMap(({name, minimumShare}) => {
    const passedOver = countPassedOver(answers, name);
    return passedOver > STARVATION_FACTOR / minimumShare
      ? [`${name} waited through ${passedOver} answers`]
      : [];
  });
}

/** Every class has an answer between the end of the fault and of the load. */
function checkStarvation({ledger, fileSet}: JudgedRun): Finding {
  const healedAt = findMark(ledger, Mark.HEALED)?.at;
  if (healedAt === undefined) {
    return {evidence: 0, violations: [], reason: 'the fault did not end'};
  }
  const served = new Set(
    ledger
      .list('answer')
      .filter(answer => answer.isWhole && answer.at > healedAt)
      .map(answer => answer.className),
  );
  const sent = new Set(ledger.list('answer').map(answer => answer.className));
  const unserved = [...fileSet.classes.keys()]
    .filter(name => sent.has(name) && !served.has(name))
    .map(name => `${name} got no answer after the fault`);
  const violations = [...unserved, ...listStarvedClasses(ledger, fileSet)];
  return {evidence: served.size, violations, reason: ''};
}

/** An engine that started anew is never given more than it bears. */
function checkColdServer({ledger}: JudgedRun): Finding {
  const cold = ledger
    .list('engine')
    .filter(record => record.isCold && record.kind === 'arrived');
  const silent = ledger.list('mark').filter(mark => mark.name === Mark.COLD);
  const violations = cold
    .filter(record => record.running > COLD_REQUESTS)
    .filter(
      record =>
        !silent.some(
          mark =>
            mark.subject === record.serverId &&
            record.at > mark.at &&
            record.at < mark.at + OUT_BOUND_MS,
        ),
    )
    .map(({serverId, running}) => `${serverId} was cold and had ${running}`);
  return {
    evidence: cold.length,
    violations,
    reason: 'no request reached a cold engine',
  };
}

function checkOut(ledger: Ledger, outName: string, inName: string): Finding {
  const outs = ledger.list('mark').filter(mark => mark.name === outName);
  const violations = outs.flatMap(out => {
    const endsAt = findMark(ledger, inName, out.subject)?.at ?? Infinity;
    return listArrivals(ledger)
      .filter(
        record =>
          record.serverId === out.subject &&
          record.at > out.at + OUT_BOUND_MS &&
          record.at < endsAt,
      )
      .map(
        record =>
          `${record.requestId} reached ${out.subject} ` +
          `${Math.round(record.at - out.at)} ms after it was taken out`,
      );
  });
  return {
    evidence: outs.length,
    violations,
    reason: 'nothing was taken out in this run',
  };
}

/** The text is right as far as it goes, and whole where it was ended. */
function checkWholeAnswer({ledger}: JudgedRun): Finding {
  const answers = ledger.list('answer');
  const violations = answers.flatMap(answer => {
    const {requestId, text, expected, isWhole} = answer;
    if (!expected.startsWith(text)) {
      return [`${requestId} got a wrong text`];
    }
    if (isWhole && text !== expected) {
      return [`${requestId} was ended before it was whole`];
    }
    return isWhole ? [] : [`${requestId} never got its whole answer`];
  });
  return {evidence: answers.length, violations, reason: 'no answer was sent'};
}

function isFirstCall(call: CallRecord, calls: readonly CallRecord[]): boolean {
  return calls.find(other => other.requestId === call.requestId) === call;
}

/** What was refused as not run never reached a back end, not even later. */
function checkTrueRefusal({ledger}: JudgedRun): Finding {
  const calls = ledger.list('call');
  const refused = calls.filter(call => call.outcome === 'not_run');
  const reached = new Set(listArrivals(ledger).map(record => record.requestId));
  const executions = ledger.list('execution');
  const isFalse: Record<CallRecord['kind'], (call: CallRecord) => boolean> = {
    // An earlier call with the same id may have reached an engine.
    chat: call => isFirstCall(call, calls) && reached.has(call.requestId),
    // The ticket may be presented again later, and be executed then.
    service: call =>
      executions.some(
        ({reference, at}) => reference === call.reference && at < call.at,
      ),
  };
  const violations = refused
    .filter(call => isFalse[call.kind](call))
    .map(call => `${call.requestId} was refused as not run (${call.code})`);
  return {
    evidence: refused.length,
    violations,
    reason: 'nothing was refused in this run',
  };
}

/** No call of the plain service was executed twice, or paid for without one. */
function checkAtMostOnce({ledger}: JudgedRun): Finding {
  const counts = new Map<string, number>();
  for (const {reference} of ledger.list('execution')) {
    counts.set(reference, (counts.get(reference) ?? 0) + 1);
  }
  const twice = [...counts]
    .filter(([, count]) => count > 1)
    .map(([reference, count]) => `${reference} was executed ${count} times`);
  const unpaid = ledger
    .list('call')
    .filter(call => call.kind === 'service' && call.terminated)
    .filter(call => !counts.has(call.reference))
    .map(call => `${call.reference} was answered but not executed`);
  return {
    evidence: counts.size,
    violations: [...twice, ...unpaid],
    reason: 'no call was executed',
  };
}

/** A call that was under way when its entry was asked to stop ends whole. */
function checkPlannedStop({ledger}: JudgedRun): Finding {
  const stops = ledger
    .list('mark')
    .filter(mark => mark.name === Mark.STOP_ASKED);
  const violations = stops.flatMap(({subject, at}) => {
    const cut = ledger
      .list('call')
      .filter(
        call =>
          call.entryId === subject &&
          call.sentAt < at &&
          call.at > at &&
          call.status === 200 &&
          !call.terminated,
      )
      .map(call => `${call.requestId} was cut by the stop of ${subject}`);
    const failed = findMark(ledger, Mark.STOP_FAILED, subject);
    return failed ? [...cut, `${subject} did not end with exit code 0`] : cut;
  });
  return {
    evidence: stops.length,
    violations,
    reason: 'no entry was asked to stop',
  };
}

/** A published class is known everywhere in time, and stays known. */
function checkConfigInForce({ledger, fileSet}: JudgedRun): Finding {
  const probes = ledger.list('config');
  const published = ledger
    .list('mark')
    .filter(mark => mark.name === Mark.CLASS_PUBLISHED);
  const violations = published.flatMap(({subject, at}) => {
    const unreachable = ledger
      .list('mark')
      .filter(mark => mark.name === Mark.UNREACHABLE)
      .map(mark => mark.subject);
    const healedAt = findMark(ledger, Mark.HEALED)?.at ?? at;
    return probes
      .filter(probe => probe.className === subject && !probe.isKnown)
      .filter(probe => {
        const canKnowFrom = unreachable.includes(probe.entryId)
          ? Math.max(at, healedAt)
          : at;
        const isLate = probe.at > canKnowFrom + IN_FORCE_BOUND_MS;
        const hasReverted = probes.some(
          earlier =>
            earlier.className === subject &&
            earlier.entryId === probe.entryId &&
            earlier.isKnown &&
            earlier.at < probe.at,
        );
        return isLate || hasReverted;
      })
      .map(probe => `${probe.entryId} did not know ${probe.className}`);
  });
  return {
    evidence: fileSet.version.revision > 1 ? probes.length : 0,
    violations,
    reason: 'nothing was published in this run',
  };
}

const judges: Record<Invariant, (run: JudgedRun) => Finding> = {
  [Invariant.TIER_ORDER]: checkTierOrder,
  [Invariant.NO_STARVATION]: checkStarvation,
  [Invariant.COLD_SERVER]: checkColdServer,
  [Invariant.DATA_CENTRE_OUT]: ({ledger}) =>
    checkOut(ledger, Mark.DATA_CENTRE_OUT, Mark.DATA_CENTRE_IN),
  [Invariant.WHOLE_ANSWER]: checkWholeAnswer,
  [Invariant.TRUE_REFUSAL]: checkTrueRefusal,
  [Invariant.AT_MOST_ONCE]: checkAtMostOnce,
  [Invariant.SERVER_OUT]: ({ledger}) =>
    checkOut(ledger, Mark.SERVER_OUT, Mark.SERVER_IN),
  [Invariant.PLANNED_STOP]: checkPlannedStop,
  [Invariant.CONFIG_IN_FORCE]: checkConfigInForce,
};

/** Every invariant, in the order of the brief. */
export const invariants = Object.keys(judges) as Invariant[];

/** Judges a run by one invariant. */
export function checkInvariant(invariant: Invariant, run: JudgedRun): Verdict {
  const {evidence, violations, reason} = judges[invariant](run);
  if (violations.length > 0) {
    return {invariant, result: 'failed', details: violations, evidence};
  }
  return evidence > 0
    ? {invariant, result: 'passed', details: [], evidence}
    : {invariant, result: 'not_applicable', details: [reason], evidence};
}
