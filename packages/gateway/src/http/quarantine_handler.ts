/** Lists the prompt quarantine for operators, and ends single quarantines. */
import type {PromptQuarantine} from '@buckthornbeam/decisions';
import type {Clock} from '@buckthornbeam/shared';
import type {StatusAnswer, StatusHandler} from './status_server.js';

/** Options of {@link createQuarantineHandler}. */
export interface QuarantineHandlerOptions {
  quarantine: Pick<PromptQuarantine, 'list' | 'release'>;
  clock: Clock;
}

const PATH = '/quarantine';
const ENTRY_PREFIX = `${PATH}/`;

/**
 * Creates the handler of `GET /quarantine`, which lists the entries, and of
 * `DELETE /quarantine/KEY`, which ends one on all instances.
 */
export function createQuarantineHandler({
  quarantine,
  clock,
}: QuarantineHandlerOptions): StatusHandler {
  function buildList(): StatusAnswer {
    const entries = quarantine
      .list(clock.now())
      .map(({key, customerHashes, crashedAt, relapses, remainingMs}) => ({
        key,
        customers: customerHashes.length,
        relapses,
        lastCrashAgeMs: Math.round(clock.now() - crashedAt),
        trialInMs: Math.round(remainingMs),
      }));
    return {status: 200, body: JSON.stringify({entries})};
  }

  function releaseEntry(key: string): StatusAnswer {
    const isReleased = quarantine.release(key, clock.now());
    return {
      status: isReleased ? 200 : 404,
      body: JSON.stringify({isReleased}),
    };
  }

  return (url, method) => {
    if (method === 'GET' && url === PATH) {
      return buildList();
    }
    return method === 'DELETE' && url.startsWith(ENTRY_PREFIX)
      ? releaseEntry(url.slice(ENTRY_PREFIX.length))
      : undefined;
  };
}
