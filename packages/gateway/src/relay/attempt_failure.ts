/** Tells faults of a server from other failures of an attempt. */
import {ServerOutcome} from '@buckthornbeam/decisions';
import {AttemptEnd} from './attempt.js';
import type {AttemptResult} from './attempt.js';

/** The server gave up at the deadline, as a busy one does. */
const GATEWAY_TIMEOUT_STATUS = 504;

/**
 * Classifies an attempt without a sound answer. The instance itself ends attempts at
 * the deadline, for a stop or for a faster server, which says little about the server.
 */
export function resolveFailureOutcome(result: AttemptResult): ServerOutcome {
  // If another server has the address, the selected one no longer exists.
  if (result.isUnreachable || result.reason === 'other_server') {
    return ServerOutcome.UNREACHABLE;
  }
  const isServerError =
    result.end === AttemptEnd.COMPLETE &&
    result.head?.status !== GATEWAY_TIMEOUT_STATUS;
  const isBrokenOff = result.end === AttemptEnd.BROKEN && result.isCut;
  return isServerError || isBrokenOff
    ? ServerOutcome.FAULTY
    : ServerOutcome.FAILED;
}
