/**
 * The ten invariants, checked against what callers, engines and plain services
 * recorded, independently of what the router reports.
 */
import type {FileSet} from '@buckthornbeam/config';
import type {
  AnswerRecord,
  CallRecord,
  EngineRecord,
  RunHistory,
} from './run_history.js';
import {COLD_REQUEST_LIMIT} from './test_cluster.js';

/** The invariants, by their names on the command line. */
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

/** Names of the marks that the checks use. */
export const Mark = {
  /** All faults of the run were undone. Subject: name of the step. */
  HEALED: 'healed',
  /** The background load is about to be stopped. Subject: name of the step. */
  LOAD_ENDED: 'load_ended',
  /** A fault makes an engine cold. Subject: server id. */
  COLD: 'cold',
  /** A server was published as out of or back in service. Subject: server id. */
  SERVER_OUT: 'server_out',
  SERVER_IN: 'server_in',
  /** The same for the data centre of a server. Subject: server id. */
  DATA_CENTRE_OUT: 'data_centre_out',
  DATA_CENTRE_IN: 'data_centre_in',
  /** An entry was asked to stop; then exited with code 0, or not. Subject: entry id. */
  STOP_ASKED: 'stop_asked',
  STOP_ENDED: 'stop_ended',
  STOP_FAILED: 'stop_failed',
  /** A class was published. Subject: class name. */
  CLASS_PUBLISHED: 'class_published',
  /** A fault may keep an entry from receiving file sets. Subject: entry id. */
  UNREACHABLE: 'unreachable',
} as const;

export interface Verdict {
  invariant: Invariant;
  result: 'passed' | 'failed' | 'not_applicable';
  /** The violations, or why the run has no evidence about the invariant. */
  details: string[];
  /** Number of records that the verdict is based on. */
  evidence: number;
}

export interface RecordedRun {
  history: RunHistory;
  fileSet: FileSet;
}

interface CheckResult {
  evidence: number;
  violations: string[];
  /** Reported if there is no evidence. */
  reason: string;
}

/**
 * Time after which a server that was taken out of service gets no requests, and
 * after which an engine that a fault made cold is treated as cold.
 */
export const OUT_OF_SERVICE_BOUND_MS = 3000;
/**
 * Bypasses that count as starvation, as a multiple of the number expected for
 * the minimum share of a class.
 */
const STARVATION_RATIO = 10;
/** Allows for the router's delayed view, such as of a preempted request that has yet to end. */
const PREEMPTION_MARGIN_MS = 100;
/** Time by which a published file set is in force at every reachable entry. */
export const IN_FORCE_BOUND_MS = 6000;

function listArrivals(history: RunHistory): EngineRecord[] {
  return history.list('engine').filter(record => record.kind === 'arrived');
}

function findMark(history: RunHistory, name: string, subject?: string) {
  return history
    .list('mark')
    .find(
      mark =>
        mark.name === name &&
        (subject === undefined || mark.subject === subject),
    );
}

/** Checks that no chat is shed while one of a lower tier runs at an engine. */
function checkTierOrder({history}: RecordedRun): CheckResult {
  const arrivals = listArrivals(history);
  const chats = history.list('call').filter(call => call.kind === 'chat');
  const shed = chats.filter(
    call => call.code === 'overloaded' || call.code === 'preempted',
  );
  const endedAt = new Map(
    history
      .list('engine')
      .filter(({kind}) => kind === 'finished' || kind === 'cancelled')
      .map(({attemptId, at}) => [attemptId, at]),
  );
  const violations = shed.flatMap(call => {
    const lower = arrivals.find(
      arrival =>
        arrival.tier > call.tier &&
        arrival.at < Math.max(call.sentAt, call.at - PREEMPTION_MARGIN_MS) &&
        (endedAt.get(arrival.attemptId) ?? 0) > call.at + PREEMPTION_MARGIN_MS,
    );
    return lower
      ? [
          `${call.requestId} (tier ${call.tier}) was shed while ${lower.requestId} ran`,
        ]
      : [];
  });
  return {evidence: chats.length, violations, reason: 'no chat was sent'};
}

function isWaitingAt(answer: AnswerRecord, at: number): boolean {
  const {startedAt, firstTokenAt = Infinity} = answer;
  return startedAt < at && answer.at > at && firstTokenAt > at;
}

/**
 * Counts the most consecutive answers to other classes during which the class
 * had a request waiting for its first token.
 */
function countBypasses(
  answers: readonly AnswerRecord[],
  className: string,
): number {
  const own = answers.filter(answer => answer.className === className);
  let maximum = 0;
  let count = 0;
  for (const answer of answers) {
    if (answer.className === className) {
      count = 0;
    } else if (own.some(item => isWaitingAt(item, answer.at))) {
      count += 1;
    }
    maximum = Math.max(maximum, count);
  }
  return maximum;
}

/** Lists the classes that were bypassed too often for their minimum share. */
function listStarvedClasses(history: RunHistory, fileSet: FileSet): string[] {
  const endsAt = findMark(history, Mark.LOAD_ENDED)?.at ?? Infinity;
  const answers = history.list('answer').filter(answer => answer.at < endsAt);
  return [...fileSet.classes.values()].flatMap(({name, minimumShare}) => {
    const bypasses = countBypasses(answers, name);
    return bypasses > STARVATION_RATIO / minimumShare
      ? [`${name} waited through ${bypasses} answers to others`]
      : [];
  });
}

/**
 * Checks that each class gets a complete answer between the end of the fault
 * and of the load, and that none starves during the run.
 */
function checkStarvation({history, fileSet}: RecordedRun): CheckResult {
  const healedAt = findMark(history, Mark.HEALED)?.at;
  if (healedAt === undefined) {
    return {evidence: 0, violations: [], reason: 'the fault did not end'};
  }
  const served = new Set(
    history
      .list('answer')
      .filter(answer => answer.isWhole && answer.at > healedAt)
      .map(answer => answer.className),
  );
  const sent = new Set(history.list('answer').map(answer => answer.className));
  const unserved = [...fileSet.classes.keys()]
    .filter(name => sent.has(name) && !served.has(name))
    .map(name => `${name} got no answer after the fault`);
  const violations = [...unserved, ...listStarvedClasses(history, fileSet)];
  return {evidence: served.size, violations, reason: ''};
}

/**
 * Checks that a cold engine gets no more requests than it can run. After a fault
 * made it cold, the router has {@link OUT_OF_SERVICE_BOUND_MS} to detect that.
 */
function checkColdServer({history}: RecordedRun): CheckResult {
  const cold = history
    .list('engine')
    .filter(record => record.isCold && record.kind === 'arrived');
  const coldMarks = history
    .list('mark')
    .filter(mark => mark.name === Mark.COLD);
  const violations = cold
    .filter(record => record.running > COLD_REQUEST_LIMIT)
    .filter(
      record =>
        !coldMarks.some(
          mark =>
            mark.subject === record.serverId &&
            record.at > mark.at &&
            record.at < mark.at + OUT_OF_SERVICE_BOUND_MS,
        ),
    )
    .map(
      ({serverId, running}) =>
        `${serverId} was cold and had ${running} requests`,
    );
  return {
    evidence: cold.length,
    violations,
    reason: 'no request reached a cold engine',
  };
}

/** Checks that servers get no requests while out of service, after the bound. */
function checkOutOfService(
  history: RunHistory,
  outName: string,
  inName: string,
): CheckResult {
  const outs = history.list('mark').filter(mark => mark.name === outName);
  const violations = outs.flatMap(out => {
    const endsAt = findMark(history, inName, out.subject)?.at ?? Infinity;
    return listArrivals(history)
      .filter(
        record =>
          record.serverId === out.subject &&
          record.at > out.at + OUT_OF_SERVICE_BOUND_MS &&
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

/** Checks that every answer arrives completely and that no text is wrong. */
function checkWholeAnswer({history}: RecordedRun): CheckResult {
  const answers = history.list('answer');
  const violations = answers.flatMap(answer => {
    const {requestId, text, expected, isWhole} = answer;
    if (!expected.startsWith(text)) {
      return [`${requestId} got a wrong text`];
    }
    if (isWhole && text !== expected) {
      return [`${requestId} was ended before it was complete`];
    }
    return isWhole ? [] : [`${requestId} never got its complete answer`];
  });
  return {evidence: answers.length, violations, reason: 'no answer was sent'};
}

function isFirstCall(call: CallRecord, calls: readonly CallRecord[]): boolean {
  return calls.find(other => other.requestId === call.requestId) === call;
}

/** Checks that what was refused as not run did not reach a server, even later. */
function checkTrueRefusal({history}: RecordedRun): CheckResult {
  const calls = history.list('call');
  const refused = calls.filter(call => call.outcome === 'not_run');
  const reached = new Set(
    listArrivals(history).map(record => record.requestId),
  );
  const executions = history.list('execution');
  const hasRun: Record<CallRecord['kind'], (call: CallRecord) => boolean> = {
    // An earlier call with the same id may have reached an engine.
    chat: call => isFirstCall(call, calls) && reached.has(call.requestId),
    // The ticket may be presented again later, and be executed then.
    service: call =>
      executions.some(
        ({reference, at}) => reference === call.reference && at < call.at,
      ),
  };
  const violations = refused
    .filter(call => hasRun[call.kind](call))
    .map(call => `${call.requestId} was refused as not run (${call.code})`);
  return {
    evidence: refused.length,
    violations,
    reason: 'nothing was refused in this run',
  };
}

/** Checks that no plain-service call ran twice or was answered without running. */
function checkAtMostOnce({history}: RecordedRun): CheckResult {
  const counts = new Map<string, number>();
  for (const {reference} of history.list('execution')) {
    counts.set(reference, (counts.get(reference) ?? 0) + 1);
  }
  const repeated = [...counts]
    .filter(([, count]) => count > 1)
    .map(([reference, count]) => `${reference} was executed ${count} times`);
  const unexecuted = history
    .list('call')
    .filter(call => call.kind === 'service' && call.terminated)
    .filter(call => !counts.has(call.reference))
    .map(call => `${call.reference} was answered but not executed`);
  return {
    evidence: counts.size,
    violations: [...repeated, ...unexecuted],
    reason: 'no call was executed',
  };
}

/** Checks that a stopping entry completes the responses that it has begun. */
function checkPlannedStop({history}: RecordedRun): CheckResult {
  const stops = history
    .list('mark')
    .filter(mark => mark.name === Mark.STOP_ASKED);
  const violations = stops.flatMap(({subject, at}) => {
    const cut = history
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
    const failed = findMark(history, Mark.STOP_FAILED, subject);
    return failed ? [...cut, `${subject} did not end with exit code 0`] : cut;
  });
  return {
    evidence: stops.length,
    violations,
    reason: 'no entry was asked to stop',
  };
}

/** Checks that every entry has a published class in time, and keeps it. */
function checkConfigInForce({history, fileSet}: RecordedRun): CheckResult {
  const probes = history.list('config');
  const published = history
    .list('mark')
    .filter(mark => mark.name === Mark.CLASS_PUBLISHED);
  const violations = published.flatMap(({subject, at}) => {
    const unreachable = history
      .list('mark')
      .filter(mark => mark.name === Mark.UNREACHABLE)
      .map(mark => mark.subject);
    const healedAt = findMark(history, Mark.HEALED)?.at ?? at;
    return probes
      .filter(probe => probe.className === subject && !probe.isKnown)
      .filter(probe => {
        const canReceiveFrom = unreachable.includes(probe.entryId)
          ? Math.max(at, healedAt)
          : at;
        const isLate = probe.at > canReceiveFrom + IN_FORCE_BOUND_MS;
        const hasReverted = probes.some(
          earlier =>
            earlier.className === subject &&
            earlier.entryId === probe.entryId &&
            earlier.isKnown &&
            earlier.at < probe.at,
        );
        return isLate || hasReverted;
      })
      .map(probe => `${probe.entryId} did not have ${probe.className}`);
  });
  return {
    evidence: fileSet.version.revision > 1 ? probes.length : 0,
    violations,
    reason: 'nothing was published in this run',
  };
}

const checks: Record<Invariant, (run: RecordedRun) => CheckResult> = {
  [Invariant.TIER_ORDER]: checkTierOrder,
  [Invariant.NO_STARVATION]: checkStarvation,
  [Invariant.COLD_SERVER]: checkColdServer,
  [Invariant.DATA_CENTRE_OUT]: ({history}) =>
    checkOutOfService(history, Mark.DATA_CENTRE_OUT, Mark.DATA_CENTRE_IN),
  [Invariant.WHOLE_ANSWER]: checkWholeAnswer,
  [Invariant.TRUE_REFUSAL]: checkTrueRefusal,
  [Invariant.AT_MOST_ONCE]: checkAtMostOnce,
  [Invariant.SERVER_OUT]: ({history}) =>
    checkOutOfService(history, Mark.SERVER_OUT, Mark.SERVER_IN),
  [Invariant.PLANNED_STOP]: checkPlannedStop,
  [Invariant.CONFIG_IN_FORCE]: checkConfigInForce,
};

/** In the order of the requirements. */
export const invariants = Object.keys(checks) as Invariant[];

export function checkInvariant(
  invariant: Invariant,
  run: RecordedRun,
): Verdict {
  const {evidence, violations, reason} = checks[invariant](run);
  if (violations.length > 0) {
    return {invariant, result: 'failed', details: violations, evidence};
  }
  return evidence > 0
    ? {invariant, result: 'passed', details: [], evidence}
    : {invariant, result: 'not_applicable', details: [reason], evidence};
}
