/** Derives the limits of a process from those of its machine. */

/** Limits of the machine; undefined where they are not stated. */
export interface MachineLimits {
  memoryMb?: number | undefined;
  maximumDescriptors?: number | undefined;
}

export interface ConnectionLimits {
  /** Connections of callers while few status requests are under way. */
  maximumConnections: number;
  /** Connections of status requests that callers leave free. */
  reservedConnections: number;
  /** Connections of peers. */
  peerConnections: number;
  /** Connections of status requests of each kind. */
  statusConnections: number;
  /** Requests that may each need a connection to a server. */
  maximumRequests: number;
}

const BYTES_PER_MB = 1_000_000;
/**
 * Memory of the process without bodies: 74 MB after the start, and some 15 MB of
 * heap and connection buffers under load.
 */
const PROCESS_BYTES = 90_000_000;
/** Part of the machine's memory left to uncollected buffers and to fragmentation. */
const MEMORY_MARGIN_RATIO = 0.15;
/** Serves several requests of the largest usual size, 4 MB. */
const MINIMUM_BUDGET_BYTES = 16_000_000;

/** Computes the memory for bodies and responses; Infinity without a stated limit. */
export function computeMemoryBudget({memoryMb}: MachineLimits): number {
  return memoryMb === undefined
    ? Infinity
    : Math.max(
        MINIMUM_BUDGET_BYTES,
        memoryMb * BYTES_PER_MB * (1 - MEMORY_MARGIN_RATIO) - PROCESS_BYTES,
      );
}

/** Descriptors that the machine reserves for files. */
const FILE_DESCRIPTORS = 200;
const MAXIMUM_FILE_RATIO = 0.25;
/** Connections of callers that stay open between requests need no server. */
const CALLER_RATIO = 0.6;
const REQUEST_RATIO = 0.35;
/**
 * Connections of peers and status requests that callers leave free. The rest, a fiftieth,
 * is for the store and the listeners.
 */
const RESERVED_RATIO = 0.03;
/**
 * Holds one connection of each of 419 peers on the smallest machine. Connections of peers
 * beyond the reserved ones take the place of idle connections of callers.
 */
const PEER_RATIO = 0.22;
/** Such a connection is in use for milliseconds. */
const STATUS_RATIO = 0.03;

/** Divides the descriptors; Infinity without a stated limit. */
export function computeConnectionLimits({
  maximumDescriptors,
}: MachineLimits): ConnectionLimits {
  if (maximumDescriptors === undefined) {
    return {
      maximumConnections: Infinity,
      reservedConnections: Infinity,
      peerConnections: Infinity,
      statusConnections: Infinity,
      maximumRequests: Infinity,
    };
  }
  const reserved = Math.min(
    FILE_DESCRIPTORS,
    maximumDescriptors * MAXIMUM_FILE_RATIO,
  );
  const usable = maximumDescriptors - reserved;
  return {
    maximumConnections: Math.floor(usable * CALLER_RATIO),
    reservedConnections: Math.floor(usable * RESERVED_RATIO),
    peerConnections: Math.floor(usable * PEER_RATIO),
    statusConnections: Math.floor(usable * STATUS_RATIO),
    maximumRequests: Math.floor(usable * REQUEST_RATIO),
  };
}
