/** The audit trail: what changed by file sets and by ownership. */
import type {FileSet} from '@buckthornbeam/config';
import type {Logger} from '@buckthornbeam/shared';
import {listFileSetRecords} from '../file_set_audit.js';

/** Options of {@link createAuditTrail}. */
export interface AuditTrailOptions {
  instanceId: string;
  logger: Logger;
  findOwner: (serverId: string) => string | undefined;
}

/** Writes the audit trail of one instance. */
export interface AuditTrail {
  start(): void;
  stop(): void;
  applyFileSet(set: FileSet): void;
}

/** Period at which ownership is compared, in milliseconds. */
const PERIOD_MS = 1000;

/** Creates the task that writes the audit trail. */
export function createAuditTrail(options: AuditTrailOptions): AuditTrail {
  const {instanceId, logger, findOwner} = options;
  const owned = new Set<string>();
  let fileSet: FileSet | undefined;
  let timer: NodeJS.Timeout | undefined;

  function recordGains(set: FileSet): void {
    for (const server of set.servers.keys()) {
      if (findOwner(server) === instanceId && !owned.has(server)) {
        owned.add(server);
        logger.audit('server_owned', {server});
      }
    }
  }

  function recordLosses(set: FileSet): void {
    for (const server of owned) {
      const owner = findOwner(server);
      if (!set.servers.has(server) || owner !== instanceId) {
        owned.delete(server);
        logger.audit('server_disowned', {server, owner});
      }
    }
  }

  function compareOwners(): void {
    if (fileSet) {
      recordLosses(fileSet);
      recordGains(fileSet);
    }
  }

  return {
    start: () => {
      timer = setInterval(compareOwners, PERIOD_MS);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    applyFileSet: set => {
      const before = fileSet;
      fileSet = set;
      if (before) {
        for (const {change, fields} of listFileSetRecords(before, set)) {
          logger.audit(change, fields);
        }
      }
    },
  };
}
