/** Audit log of changes to the file set and to server ownership. */
import type {FileSet} from '@buckthornbeam/config';
import type {Logger} from '@buckthornbeam/shared';
import {listFileSetRecords} from '../file_set_audit.js';

/** Options of {@link createAuditTrail}. */
export interface AuditTrailOptions {
  instanceId: string;
  logger: Logger;
  findOwner: (serverId: string) => string | undefined;
}

/** Writes the audit log of one instance. */
export interface AuditTrail {
  start(): void;
  stop(): void;
  /** Logs the differences to the previous file set; none for the first one. */
  applyFileSet(set: FileSet): void;
}

const OWNERSHIP_CHECK_INTERVAL_MS = 1000;

/** Creates the audit task, not yet started. */
export function createAuditTrail(options: AuditTrailOptions): AuditTrail {
  const {instanceId, logger, findOwner} = options;
  const ownedServerIds = new Set<string>();
  let fileSet: FileSet | undefined;
  let timer: NodeJS.Timeout | undefined;

  function recordGains(set: FileSet): void {
    for (const server of set.servers.keys()) {
      if (findOwner(server) === instanceId && !ownedServerIds.has(server)) {
        ownedServerIds.add(server);
        logger.audit('server_owned', {server});
      }
    }
  }

  function recordLosses(set: FileSet): void {
    for (const server of ownedServerIds) {
      const owner = findOwner(server);
      if (!set.servers.has(server) || owner !== instanceId) {
        ownedServerIds.delete(server);
        logger.audit('server_disowned', {server, owner});
      }
    }
  }

  function recordOwnershipChanges(): void {
    if (fileSet) {
      recordLosses(fileSet);
      recordGains(fileSet);
    }
  }

  return {
    start: () => {
      timer = setInterval(recordOwnershipChanges, OWNERSHIP_CHECK_INTERVAL_MS);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    applyFileSet: set => {
      const previous = fileSet;
      fileSet = set;
      if (previous) {
        for (const {change, fields} of listFileSetRecords(previous, set)) {
          logger.audit(change, fields);
        }
      }
    },
  };
}
