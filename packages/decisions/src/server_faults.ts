/**
 * Faults of backend servers that report to be healthy, counted by one instance: answers
 * with an error of the server, and answers that break off. Refusals and deadlines are
 * not counted, since a busy server has them as well.
 */

/** Recent answers of one server. */
export interface FaultCounts {
  /** With exponential decay, as all counts. */
  faults: number;
  answers: number;
}

/** `now` is the local monotonic time in milliseconds. */
export interface ServerFaults {
  record(serverId: string, isFault: boolean, now: number): void;
  /** Lists the servers with recent faults. */
  list(now: number): Array<FaultCounts & {serverId: string}>;
  retain(serverIds: ReadonlySet<string>): void;
}

interface FaultRecord extends FaultCounts {
  updatedAt: number;
}

const HALF_LIFE_MS = 2000;
/** Fewer faults are forgotten, so that nothing is sent about sound servers. */
const MINIMUM_FAULTS = 0.1;

export function createServerFaults(): ServerFaults {
  const records = new Map<string, FaultRecord>();

  function updateCounts(record: FaultRecord, now: number): void {
    const ratio = 0.5 ** (Math.max(0, now - record.updatedAt) / HALF_LIFE_MS);
    record.faults *= ratio;
    record.answers *= ratio;
    record.updatedAt = now;
  }

  return {
    record: (serverId, isFault, now) => {
      const record = records.get(serverId);
      // Sound answers matter only as a part of a rate with faults.
      if (!record && !isFault) {
        return;
      }
      const current = record ?? {faults: 0, answers: 0, updatedAt: now};
      records.set(serverId, current);
      updateCounts(current, now);
      current.answers += 1;
      current.faults += isFault ? 1 : 0;
    },
    list: now => {
      const rows = [];
      for (const [serverId, record] of records) {
        updateCounts(record, now);
        if (record.faults < MINIMUM_FAULTS) {
          records.delete(serverId);
        } else {
          const {faults, answers} = record;
          rows.push({serverId, faults, answers});
        }
      }
      return rows;
    },
    retain: serverIds => {
      for (const serverId of records.keys()) {
        if (!serverIds.has(serverId)) {
          records.delete(serverId);
        }
      }
    },
  };
}

/** Faults of the fleet from which a server counts as faulty. */
const FAULTY_COUNT = 3;
/** Ratio of faults among the recent answers from which a server counts as faulty. */
const FAULTY_RATIO = 0.4;

/** Whether the answers of the fleet show a server that fails much of its work. */
export function isFaulty({faults, answers}: FaultCounts): boolean {
  return faults >= FAULTY_COUNT && faults >= answers * FAULTY_RATIO;
}

/**
 * Selects the servers for a request. Faulty servers get only requests that may be
 * repeated elsewhere, which show when they are sound again. If a third or more are
 * faulty, leaving them out would overload the others, and all are kept.
 */
export function selectSoundServers<Server>(
  servers: readonly Server[],
  isServerFaulty: (server: Server) => boolean,
  isRepeatable: boolean,
): readonly Server[] {
  if (isRepeatable) {
    return servers;
  }
  const sound = servers.filter(server => !isServerFaulty(server));
  return (servers.length - sound.length) * 3 < servers.length ? sound : servers;
}
