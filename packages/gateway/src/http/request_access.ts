/** Decides which requests are allowed, once the keys are known to be current. */
import {waitFor} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {RequestMetadata} from '../model.js';
import type {ClusterState} from '../state/cluster_state.js';
import type {KeyStaleness} from '../state/key_staleness.js';
import type {PauseDetector} from '../state/pause_detector.js';
import {checkAccess, checkHead, computeAuthoritativeAge} from './access.js';
import type {AccessOptions, GrantedAccess, HeadAccess} from './access.js';

/** Options of {@link createRequestAccess}. */
export interface RequestAccessOptions {
  clusterState: ClusterState;
  keyTrust: KeyStaleness;
  pauses: PauseDetector;
  /** Time in which a configuration takes effect. */
  applyMs: number;
  clock: Pick<Clock, 'now'>;
}

export interface RequestAccess {
  /** @throws RouterError if the request is not allowed */
  grantAccess(metadata: RequestMetadata): Promise<GrantedAccess>;
  /** Tells from the head of a request what its key is. */
  checkHead(metadata: RequestMetadata): HeadAccess;
}

/** Some turns of the event loop, in which the ends of connections are read. */
const DISCONNECT_READ_MS = 5;

export function createRequestAccess({
  clusterState,
  keyTrust,
  pauses,
  applyMs,
  clock,
}: RequestAccessOptions): RequestAccess {
  const authoritativeAgeMs = computeAuthoritativeAge(applyMs);

  function getAccessOptions(): AccessOptions {
    return {
      clusterState,
      maximumKeyAgeMs: keyTrust.maximumAgeMs,
      authoritativeAgeMs,
      now: clock.now(),
    };
  }

  async function grantAccess(
    metadata: RequestMetadata,
  ): Promise<GrantedAccess> {
    pauses.checkPause();
    keyTrust.checkSuspension();
    if (pauses.computeWaitedMs() > 0) {
      // The end of the caller's connection may have arrived meanwhile as well.
      await waitFor(DISCONNECT_READ_MS);
    }
    await keyTrust.waitForConfirmation(metadata.deadlineMs);
    return checkAccess(metadata, getAccessOptions());
  }

  return {
    grantAccess,
    checkHead: metadata => checkHead(metadata, getAccessOptions()),
  };
}
