/** Rules that relate several settings of a process. */
import type {CheckError} from './schema_check.js';
import type {Settings} from './settings.js';

interface SettingsRule {
  path: string;
  expected: string;
  advice: string;
  isMet: (settings: Settings) => boolean;
}

/** Minimum ratio of lease to heartbeat, so that a lost heartbeat is tolerated. */
const HEARTBEATS_PER_LEASE = 3;

const rules: readonly SettingsRule[] = [
  {
    path: '/timing/leaseMs',
    expected: `at least ${HEARTBEATS_PER_LEASE} times heartbeatMs`,
    advice: 'Raise leaseMs, or lower heartbeatMs.',
    isMet: ({timing}) =>
      timing.leaseMs >= timing.heartbeatMs * HEARTBEATS_PER_LEASE,
  },
  {
    path: '/limits/maximumBufferedBytes',
    expected: 'at least maximumBodyBytes',
    advice: 'Raise maximumBufferedBytes, or lower maximumBodyBytes.',
    isMet: ({limits}) => limits.maximumBufferedBytes >= limits.maximumBodyBytes,
  },
  {
    path: '/limits/maximumConnections',
    expected: 'at least maximumOpenRequests',
    advice: 'Raise maximumConnections, or lower maximumOpenRequests.',
    isMet: ({limits}) =>
      limits.maximumConnections >= limits.maximumOpenRequests,
  },
  {
    path: '/peers',
    expected: 'a host or port other than that of callers',
    advice: 'Choose a different port for each.',
    isMet: ({callers, peers}) =>
      callers.port === 0 ||
      callers.host !== peers.host ||
      callers.port !== peers.port,
  },
];

/** Checks rules that relate settings; an empty list means valid. */
export function checkSettings(file: string, settings: Settings): CheckError[] {
  return rules
    .filter(rule => !rule.isMet(settings))
    .map(({path, expected, advice}) => ({file, path, expected, advice}));
}
