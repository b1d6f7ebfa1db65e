/**
 * The watcher task: reads file sets and the instance list from the
 * configuration service and keeps the file set in force.
 */
import {decodeBundle, isNewer} from '@buckthornbeam/config';
import type {FileSet, Settings} from '@buckthornbeam/config';
import type {ListedInstance} from '@buckthornbeam/membership';
import {createMailbox, toRouterError, waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {createConfigurationClient} from '../configuration_client.js';
import type {IndexedValue} from '../configuration_client.js';

/** Options of {@link createWatcher}. */
export interface WatcherOptions {
  settings: Settings;
  logger: Logger;
  onFileSet: (set: FileSet) => void;
  /**
   * Receives a list that was requested at a monotonic time, in milliseconds.
   */
  onInstances: (instances: ListedInstance[], readAt: number) => void;
  clock: Clock;
  /**
   * Whether this instance has to read from the configuration service itself.
   */
  isConfigurationReader: () => boolean;
}

/** The watcher task. */
export interface Watcher {
  start(): void;
  stop(): Promise<void>;
  /** Returns the file set in force and its bundle, the encoded file set. */
  findFileSet(): {set: FileSet; bundle: string} | undefined;
  /**
   * Queues a message. A bundle takes effect only if it is newer than the one in
   * force.
   */
  post(message: WatcherMessage): void;
}

/** Messages to the watcher. */
export type WatcherMessage =
  | {type: 'bundle'; bundle: string; source: string}
  | {type: 'instances'; instances: ListedInstance[]; readAt: number};

/** Pause after a failed read, and between checks of `isConfigurationReader`. */
const RETRY_PAUSE_MS = 500;

/** Reads of the instance list within the time that one counts as current. */
const LIST_READS_PER_LAG = 4;

/** Creates the watcher, not yet started. */
export function createWatcher(options: WatcherOptions): Watcher {
  const {settings, clock, logger, onFileSet, onInstances} = options;
  const {watchMs, listLagMs} = settings.timing;
  const client = createConfigurationClient({
    address: settings.platform.address,
    watchMs,
    // Each end of a watch confirms the list; this is well before it is stale.
    listWatchMs: Math.min(watchMs, listLagMs / LIST_READS_PER_LAG),
  });
  const abort = new AbortController();
  let inForce: {set: FileSet; bundle: string} | undefined;

  /**
   * Audits two different sets of the same revision. Every instance keeps the
   * one with the greater digest.
   */
  function recordConflict(set: FileSet, source: string): void {
    const current = inForce?.set.version;
    const {revision, digest} = set.version;
    if (current?.revision === revision && current.digest !== digest) {
      const isNewSetKept = isNewer(set.version, current);
      logger.audit('file_set_rival', {
        revision,
        kept: isNewSetKept ? digest : current.digest,
        dropped: isNewSetKept ? current.digest : digest,
        source,
      });
    }
  }

  function acceptBundle(bundle: string, source: string): void {
    if (bundle === inForce?.bundle) {
      return;
    }
    const set = decodeBundle(bundle);
    recordConflict(set, source);
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
    instances: message => onInstances(message.instances, message.readAt),
  });

  async function watchValue<T>(
    name: string,
    read: (index?: string) => Promise<IndexedValue<T>>,
    handle: (value: T, readAt: number) => void,
  ): Promise<void> {
    let index: string | undefined;
    while (!abort.signal.aborted) {
      if (!options.isConfigurationReader()) {
        await waitFor(RETRY_PAUSE_MS, abort.signal);
        continue;
      }
      const askedAt = clock.now();
      try {
        const snapshot = await read(index);
        index = snapshot.index;
        handle(snapshot.value, askedAt);
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
      void watchValue(
        'file_set',
        index => client.fetchValue(fileSetKey, index, abort.signal),
        bundle => {
          if (bundle !== undefined) {
            mailbox.post({type: 'bundle', bundle, source: 'platform'});
          }
        },
      );
      void watchValue(
        'instances',
        index => client.fetchInstances(instanceService, index, abort.signal),
        (instances, readAt) =>
          mailbox.post({type: 'instances', instances, readAt}),
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
