/** Follows the attempts of one request for the prompt quarantine. */
import type {Clock} from '@buckthornbeam/shared';
import type {BackendServer, Customer, RequestMetadata} from '../model.js';
import {buildPromptIdentity} from '../state/prompt_identity.js';
import {AttemptEnd, isSuccess} from './attempt.js';
import type {AttemptResult} from './attempt.js';
import type {QuarantineGuard} from './quarantine_guard.js';

/** Options of {@link createPromptTracker}. */
export interface PromptTrackerOptions {
  metadata: RequestMetadata;
  customer: Customer | undefined;
  guard: QuarantineGuard;
  clock: Clock;
}

/** One attempt; its methods are called in the order of their declaration. */
export interface AttemptTracker {
  /** `abort` is called if the prompt is quarantined before its first event. */
  start(abort: () => void): void;
  recordHead(): void;
  recordEvent(): void;
  end(result: AttemptResult): void;
}

/** Requests that generate no text are allowed, and leave no trace. */
export interface PromptTracker {
  isQuarantined(): boolean;
  /** Whether the request may run on another server after this result. */
  canRepeat(result: AttemptResult): boolean;
  createAttempt(server: BackendServer): AttemptTracker;
}

export function createPromptTracker({
  metadata,
  customer,
  guard,
  clock,
}: PromptTrackerOptions): PromptTracker {
  const prompt = buildPromptIdentity(metadata, customer);

  function createAttempt(server: BackendServer): AttemptTracker {
    let headAt: number | undefined;
    let firstEventAt: number | undefined;
    let isAnswered = false;
    let stopTracking: () => void = () => undefined;

    function recordAnswer(startedAt: number): void {
      if (prompt && !isAnswered) {
        isAnswered = true;
        guard.recordAnswer(prompt, startedAt);
      }
    }

    return {
      start: abort => {
        if (prompt) {
          stopTracking = guard.trackAttempt(prompt, abort);
        }
      },
      recordHead: () => {
        headAt = clock.now();
      },
      recordEvent: () => {
        if (firstEventAt === undefined) {
          firstEventAt = clock.now();
          stopTracking();
        } else {
          // A server may end right after the first event.
          recordAnswer(firstEventAt);
        }
      },
      end: result => {
        stopTracking();
        const {end, head, reason, eventCount} = result;
        if (end === AttemptEnd.COMPLETE && isSuccess(head!.status)) {
          recordAnswer(headAt ?? clock.now());
        }
        if (result.isCut && metadata.generation) {
          guard.handleCut({
            requestId: metadata.id,
            server,
            blocks: metadata.generation.blocks,
            prompt,
            reason,
            eventCount,
            headAt,
            at: clock.now(),
          });
        }
      },
    };
  }

  return {
    isQuarantined: () => prompt !== undefined && guard.isQuarantined(prompt),
    canRepeat: ({isCut, eventCount}) =>
      !prompt || !isCut || eventCount > 0 || guard.canRepeat(prompt),
    createAttempt,
  };
}
