/**
 * Notices servers that went silent in the middle of their answers. A server
 * that generates shows a sign of life many times a second.
 */

/** Signs of life of all servers. */
export interface ServerActivity {
  /** An answer has begun; call the result when it ends. */
  beginAnswer(serverId: string, now: number): () => void;
  /** Bytes came from the server. */
  record(serverId: string, now: number): void;
  /** Answers are under way and none of them went on for a while. */
  isSilent(serverId: string, now: number): boolean;
  /** Forgets servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

interface ServerSigns {
  answers: number;
  lastAt: number;
}

/** Longer than a batch of long prompts takes between two events of an answer. */
const SILENCE_MS = 1000;

/** Creates a tracker without signs. */
export function createServerActivity(): ServerActivity {
  const servers = new Map<string, ServerSigns>();

  function getSigns(serverId: string, now: number): ServerSigns {
    let signs = servers.get(serverId);
    if (!signs) {
      signs = {answers: 0, lastAt: now};
      servers.set(serverId, signs);
    }
    return signs;
  }

  return {
    beginAnswer: (serverId, now) => {
      const signs = getSigns(serverId, now);
      signs.answers += 1;
      signs.lastAt = now;
      return () => {
        signs.answers -= 1;
      };
    },
    record: (serverId, now) => {
      getSigns(serverId, now).lastAt = now;
    },
    isSilent: (serverId, now) => {
      const signs = servers.get(serverId);
      return (
        signs !== undefined &&
        signs.answers > 0 &&
        now - signs.lastAt > SILENCE_MS
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
