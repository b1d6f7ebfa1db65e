/** Logs generations whose connection to the server was lost. */
import type {Logger} from '@buckthornbeam/shared';
import type {BackendServer, PromptBlock} from '../model.js';

/** An attempt whose connection was lost; times are monotonic, in milliseconds. */
export interface CutAttempt {
  requestId: string;
  server: BackendServer;
  blocks: readonly PromptBlock[];
  reason: string;
  /** Events received until then. */
  eventCount: number;
  /** When the head of the answer arrived; undefined without one. */
  headAt: number | undefined;
  at: number;
}

/** Options of {@link createCutAttempts}. */
export interface CutAttemptsOptions {
  logger: Logger;
}

export interface CutAttempts {
  handle(attempt: CutAttempt): void;
}

export function createCutAttempts({logger}: CutAttemptsOptions): CutAttempts {
  return {
    handle: ({requestId, server, blocks, reason, eventCount, headAt, at}) => {
      logger.info('attempt_cut', {
        id: requestId,
        server: server.id,
        reason,
        events: eventCount,
        headMs: headAt === undefined ? undefined : Math.round(at - headAt),
        blocks: blocks.map(block => block.id).join(','),
      });
    },
  };
}
