/**
 * Detects servers that stop sending in the middle of their answers. A server
 * that is generating sends data many times a second.
 */

export interface ServerActivity {
  /** Counts an answer as open until the returned function is called, once. */
  beginAnswer(serverId: string, now: number): () => void;
  /** Records that the server sent data. */
  recordActivity(serverId: string, now: number): void;
  /**
   * Whether answers are open, but the server has sent no data for a second, or for
   * half more than the pause between two events that the route allows.
   */
  isUnresponsive(serverId: string, now: number, eventPauseMs?: number): boolean;
  /** Removes the state of servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

interface AnswerActivity {
  openAnswers: number;
  lastActivityAt: number;
}

/** Must exceed the delay of the next event of an answer by a batch of long prompts. */
const UNRESPONSIVE_AFTER_MS = 1000;
const UNRESPONSIVE_PAUSE_RATIO = 1.5;

export function createServerActivity(): ServerActivity {
  const servers = new Map<string, AnswerActivity>();

  function getActivity(serverId: string, now: number): AnswerActivity {
    let activity = servers.get(serverId);
    if (!activity) {
      activity = {openAnswers: 0, lastActivityAt: now};
      servers.set(serverId, activity);
    }
    return activity;
  }

  return {
    beginAnswer: (serverId, now) => {
      const activity = getActivity(serverId, now);
      activity.openAnswers += 1;
      activity.lastActivityAt = now;
      return () => {
        activity.openAnswers -= 1;
      };
    },
    recordActivity: (serverId, now) => {
      getActivity(serverId, now).lastActivityAt = now;
    },
    isUnresponsive: (serverId, now, eventPauseMs = 0) => {
      const activity = servers.get(serverId);
      const limitMs = Math.max(
        UNRESPONSIVE_AFTER_MS,
        eventPauseMs * UNRESPONSIVE_PAUSE_RATIO,
      );
      return (
        activity !== undefined &&
        activity.openAnswers > 0 &&
        now - activity.lastActivityAt > limitMs
      );
    },
    retain: serverIds => {
      for (const serverId of servers.keys()) {
        if (!serverIds.has(serverId)) {
          servers.delete(serverId);
        }
      }
    },
  };
}
