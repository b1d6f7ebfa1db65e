/** Describes the course of one request, from the log lines of gateways. */
import {errorTable} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import type {LogLine} from './log_lines.js';

/** Collects the log lines of a request and the events around it. */
export interface RequestTimeline {
  /** Adds a log line; lines may come from several instances. */
  accept(line: LogLine): void;
  /** Formats the lines of the description; none if the id was not found. */
  format(): string[];
}

/** Events that concern the instance which logs them. */
const INSTANCE_EVENTS = new Set([
  'clock_jump',
  'configuration_in_force',
  'evacuation',
  'knowledge_fetch_failed',
  'knowledge_from_peer',
  'peers_lost',
  'settings_reloaded',
  'started',
  'stopping',
  'store_connected',
  'store_lost',
]);
/** Events that concern a server, logged by any instance. */
const SERVER_EVENTS = new Set([
  'server_draining',
  'server_lapsed',
  'server_listed',
  'server_removed',
  'server_statement',
]);
/** Events up to this time before the arrival and after the end are listed. */
const CONTEXT_MS = 10_000;
/**
 * Limits memory while a log is read: when more than twice this number of events
 * are kept, all but this number of the latest are dropped.
 */
const MAXIMUM_EVENTS = 50_000;

/** Descriptions by the reason in the log field `attempts`. */
const ATTEMPT_DESCRIPTIONS: Readonly<Record<string, string>> = {
  caller_left: 'the caller closed its connection first',
  complete: 'the server answered',
  deadline: 'the deadline of the request passed',
  econnrefused: 'nothing listened at the address of the server',
  econnreset: 'the server reset the connection',
  empty_stream: 'the stream ended before its first event',
  endless_interim_heads: 'the server sent only interim heads',
  etimedout: 'connecting to the server timed out',
  foreign_answer: 'the answer belongs to another request',
  invalid_status: 'the status of the answer is not one of HTTP',
  other_server: 'another server now uses the address',
  partial_event: 'the stream ended within an event',
  prompt_quarantined: 'its prompt was quarantined while it ran',
  refused_by_server: 'the server stated that it did not run the request',
  silent_server: 'the server sent nothing for a second',
  slow_server: 'the server took too long, so another one was tried',
  truncated: 'the connection ended within the answer',
  unsigned_answer: 'the answer had no signature',
};

function getTime(line: LogLine): number {
  return Date.parse(line['time'] ?? '');
}

function splitList(text: string | undefined): string[] {
  return text === undefined || text === '' ? [] : text.split(',');
}

/** Computes the arrival time of a request, in milliseconds since 1970. */
function computeArrival(request: LogLine): number {
  return getTime(request) - Number(request['totalMs'] ?? 0);
}

function describeArrival(request: LogLine): string {
  const time = new Date(computeArrival(request)).toISOString();
  const customer = request['customer'] ?? 'no customer';
  return (
    `${time} ${request['instance']} took the request: route ${request['route']}, ` +
    `${customer}, priority ${request['priority'] ?? 'unknown'}, ` +
    `${request['deadlineMs'] ?? 'no'} ms left; configuration ` +
    `${request['version'] ?? 'unknown'}, confirmed ${request['knowledgeAgeMs']} ms earlier`
  );
}

function describePlacement(request: LogLine): string[] {
  if (request['expectedReadMs'] === undefined) {
    return [];
  }
  const server =
    request['home'] === 'true'
      ? 'on the preferred server of its prefix'
      : 'not on the preferred server of its prefix';
  const copied = Number(request['copiedTokens'] ?? 0);
  const copy = copied > 0 ? `, ${copied} copied from another server` : '';
  return [
    `  placed ${server}: ${request['unreadTokens']} of ` +
      `${request['promptTokens']} prompt tokens to prefill${copy}; prefill expected to end after ` +
      `${request['expectedReadMs']} ms, answer after ${request['expectedEndMs']} ms`,
  ];
}

function describeAttempts(request: LogLine): string[] {
  const reasons = splitList(request['attempts']);
  return splitList(request['servers']).map((server, index) => {
    const reason = reasons[index] ?? 'unknown';
    const description = ATTEMPT_DESCRIPTIONS[reason];
    return `  sent to ${server}: ${reason}${description ? `, ${description}` : ''}`;
  });
}

function describeOutcome(request: LogLine): string[] {
  const {code = 'unknown', status, totalMs, firstByteMs, reason} = request;
  const first =
    firstByteMs === undefined ? '' : `, first byte after ${firstByteMs} ms`;
  const lines = [
    `  ended with ${status} (${code}) after ${totalMs} ms${first}`,
  ];
  if (Object.hasOwn(errorTable, code)) {
    const {title, advice} = errorTable[code as ErrorCode];
    lines.push(`  because: ${reason ?? title}. ${advice}`);
  }
  return lines;
}

function describeEvent(line: LogLine): string {
  const otherFields = Object.entries(line)
    .filter(([name]) => !['time', 'level', 'event', 'instance'].includes(name))
    .map(([name, value]) => `${name}=${value}`);
  return [line['time'], line['instance'], line['event'], ...otherFields].join(
    ' ',
  );
}

/** Whether an event is close in time and concerns the instance or a server. */
function isRelatedEvent(event: LogLine, request: LogLine): boolean {
  const time = getTime(event);
  const isNear =
    time >= computeArrival(request) - CONTEXT_MS &&
    time <= getTime(request) + CONTEXT_MS;
  const isOfServer = splitList(request['servers']).includes(
    event['server'] ?? '',
  );
  const isOfInstance =
    event['instance'] === request['instance'] &&
    INSTANCE_EVENTS.has(event['event'] ?? '');
  return isNear && (isOfServer || isOfInstance);
}

export function createRequestTimeline(id: string): RequestTimeline {
  const requests: LogLine[] = [];
  let events: LogLine[] = [];

  function formatRequest(request: LogLine): string[] {
    const relatedEvents = events
      .filter(event => isRelatedEvent(event, request))
      .sort((a, b) => getTime(a) - getTime(b));
    return [
      describeArrival(request),
      ...describePlacement(request),
      ...describeAttempts(request),
      ...describeOutcome(request),
      ...(relatedEvents.length > 0 ? ['  around that time:'] : []),
      ...relatedEvents.map(event => `    ${describeEvent(event)}`),
    ];
  }

  return {
    accept: line => {
      const event = line['event'] ?? '';
      if (event === 'request' && line['id'] === id) {
        requests.push(line);
      } else if (INSTANCE_EVENTS.has(event) || SERVER_EVENTS.has(event)) {
        events.push(line);
        if (events.length > 2 * MAXIMUM_EVENTS) {
          events = events.slice(-MAXIMUM_EVENTS);
        }
      }
    },
    format: () =>
      requests
        .sort((a, b) => getTime(a) - getTime(b))
        .flatMap(request => formatRequest(request)),
  };
}
