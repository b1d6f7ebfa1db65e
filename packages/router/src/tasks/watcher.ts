/** The watcher task: file sets and the instance list from the platform. */
import {decodeBundle, isNewer} from '@buckthornbeam/config';
import type {FileSet, Settings} from '@buckthornbeam/config';
import type {ListedInstance} from '@buckthornbeam/membership';
import {createMailbox, toRouterError, waitFor} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import {createPlatformClient} from '../platform_client.js';
import type {PlatformReading} from '../platform_client.js';

/** Options of {@link createWatcher}. */
export interface WatcherOptions {
  settings: Settings;
  logger: Logger;
  onFileSet: (set: FileSet) => void;
  onInstances: (instances: ListedInstance[]) => void;
}

/** The watcher task. */
export interface Watcher {
  start(): void;
  stop(): Promise<void>;
  /** The file set in force and its bundle. */
  findFileSet(): {set: FileSet; bundle: string} | undefined;
  /** Offers a bundle that a peer holds. */
  post(message: WatcherMessage): void;
}

/** Messages to the watcher. */
export type WatcherMessage =
  | {type: 'bundle'; bundle: string; source: string}
  | {type: 'instances'; instances: ListedInstance[]};

/** Pause after a failed read, in milliseconds. */
const RETRY_PAUSE_MS = 500;

/** Creates the watcher. */
export function createWatcher(options: WatcherOptions): Watcher {
  const {settings, logger, onFileSet, onInstances} = options;
  const client = createPlatformClient({
    address: settings.platform.address,
    watchMs: settings.timing.watchMs,
  });
  const abort = new AbortController();
  let inForce: {set: FileSet; bundle: string} | undefined;

  function acceptBundle(bundle: string, source: string): void {
    if (bundle === inForce?.bundle) {
      return;
    }
    const set = decodeBundle(bundle);
    if (!isNewer(set.version, inForce?.set.version)) {
      return;
    }
    inForce = {set, bundle};
    logger.audit('file_set_accepted', {...set.version, source});
    onFileSet(set);
  }

  const mailbox = createMailbox<WatcherMessage>({
    bundle: message => {
      try {
        acceptBundle(message.bundle, message.source);
      } catch (error) {
        const {code, message: detail} = toRouterError(error);
        logger.audit('file_set_refused', {
          code,
          detail,
          source: message.source,
        });
      }
    },
    instances: message => onInstances(message.instances),
  });

  async function watchReading<T>(
    name: string,
    read: (index?: string) => Promise<PlatformReading<T>>,
    handle: (value: T) => void,
  ): Promise<void> {
    let index: string | undefined;
    while (!abort.signal.aborted) {
      try {
        const reading = await read(index);
        index = reading.index;
        handle(reading.value);
      } catch (error) {
        if (abort.signal.aborted) {
          return;
        }
        logger.warn('platform_read_failed', {
          name,
          detail: toRouterError(error).message,
        });
        index = undefined;
        await waitFor(RETRY_PAUSE_MS, abort.signal);
      }
    }
  }

  return {
    start: () => {
      const {fileSetKey, instanceService} = settings.platform;
      void watchReading(
        'file_set',
        index => client.fetchValue(fileSetKey, index, abort.signal),
        bundle => {
          if (bundle !== undefined) {
            mailbox.post({type: 'bundle', bundle, source: 'platform'});
          }
        },
      );
      void watchReading(
        'instances',
        index => client.fetchInstances(instanceService, index, abort.signal),
        instances => mailbox.post({type: 'instances', instances}),
      );
    },
    stop: async () => {
      abort.abort();
      await client.close();
    },
    findFileSet: () => inForce,
    post: message => mailbox.post(message),
  };
}
