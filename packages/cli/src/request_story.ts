/** Tells what happened to one request, from the log lines of a gateway. */
import {errorTable} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import type {LogLine} from './log_lines.js';

/** Log lines that may explain what became of a request. */
export interface RequestStory {
  /** Takes the next line of a log; lines may come from several instances. */
  accept(line: LogLine): void;
  /** Formats lines of text; none where no line has the id of the request. */
  format(): string[];
}

/** Events that tell the state of the instance that took the request. */
const INSTANCE_EVENTS = new Set([
  'clock_jump',
  'configuration_in_force',
  'evacuation',
  'knowledge_fetch_failed',
  'knowledge_from_peer',
  'peer_lost',
  'settings_reloaded',
  'started',
  'stopping',
  'store_connected',
  'store_lost',
]);
/** Events that tell the state of a server, whoever logs them. */
const SERVER_EVENTS = new Set([
  'server_draining',
  'server_lapsed',
  'server_listed',
  'server_removed',
]);
/** Events so long before the request and after its end count, in milliseconds. */
const CONTEXT_MS = 10_000;
/** Events that are kept while a log is read; the oldest are dropped beyond. */
const MAXIMUM_EVENTS = 50_000;

/** How an attempt ended, by the reason in its log line. */
const ATTEMPT_MEANINGS: Readonly<Record<string, string>> = {
  caller_left: 'the caller closed its connection first',
  complete: 'the server answered',
  deadline: 'the time of the request was over',
  econnrefused: 'nothing listened at the address of the server',
  econnreset: 'the server reset the connection',
  empty_stream: 'the stream ended before its first event',
  etimedout: 'no connection to the server could be made in time',
  foreign_answer: 'the answer named another request',
  other_server: 'another server has the address now',
  partial_event: 'the stream ended within an event',
  refused_by_server: 'the server stated that it did not run the request',
  silent_server: 'the server gave no sign of life for a second',
  slow_server: 'the server took too long, and another one was asked',
  truncated: 'the connection ended within the answer',
  unsigned_answer: 'the answer had no signature',
};

function getTime(line: LogLine): number {
  return Date.parse(line['time'] ?? '');
}

function splitList(text: string | undefined): string[] {
  return text === undefined || text === '' ? [] : text.split(',');
}

/** When the request arrived, in milliseconds since 1970. */
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
    `${request['version'] ?? 'unknown'}, confirmed ${request['knowledgeAgeMs']} ms before`
  );
}

function describePlacement(request: LogLine): string[] {
  if (request['expectedReadMs'] === undefined) {
    return [];
  }
  const place =
    request['home'] === 'true'
      ? 'where its shared parts gather'
      : 'away from where its shared parts gather';
  const copied = Number(request['copiedTokens'] ?? 0);
  const copy = copied > 0 ? `, ${copied} copied from another server` : '';
  return [
    `  placed ${place}: ${request['unreadTokens']} of ` +
      `${request['promptTokens']} tokens to read${copy}, first event expected after ` +
      `${request['expectedReadMs']} ms, end after ${request['expectedEndMs']} ms`,
  ];
}

function describeAttempts(request: LogLine): string[] {
  const reasons = splitList(request['attempts']);
  return splitList(request['servers']).map((server, index) => {
    const reason = reasons[index] ?? 'unknown';
    const meaning = ATTEMPT_MEANINGS[reason];
    return `  sent to ${server}: ${reason}${meaning ? `, ${meaning}` : ''}`;
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
  const rest = Object.entries(line)
    .filter(([name]) => !['time', 'level', 'event', 'instance'].includes(name))
    .map(([name, value]) => `${name}=${value}`);
  return [line['time'], line['instance'], line['event'], ...rest].join(' ');
}

/** Whether an event may explain the request. */
function isContext(event: LogLine, request: LogLine): boolean {
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

/** Creates a story without lines. */
export function createRequestStory(id: string): RequestStory {
  const requests: LogLine[] = [];
  let events: LogLine[] = [];

  function formatRequest(request: LogLine): string[] {
    const near = events
      .filter(event => isContext(event, request))
      .sort((a, b) => getTime(a) - getTime(b));
    return [
      describeArrival(request),
      ...describePlacement(request),
      ...describeAttempts(request),
      ...describeOutcome(request),
      ...(near.length > 0 ? ['  around that time:'] : []),
      ...near.map(event => `    ${describeEvent(event)}`),
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
