/** Converts heartbeats to and from their protobuf messages. */
import {create} from '@bufbuild/protobuf';
import type {Heartbeat, LeaseTerms} from '@buckthornbeam/membership';
import {HeartbeatMessageSchema} from '@buckthornbeam/protocol';
import type {HeartbeatMessage} from '@buckthornbeam/protocol';

function decodeLease(message: HeartbeatMessage): LeaseTerms {
  const {loan} = message;
  const candidates = loan?.lent ?? [];
  return {
    version: loan?.version ?? 0,
    isGranted: loan?.isGranted ?? false,
    currentCandidates: candidates,
    nextCandidates: loan?.hasNext ? loan.next : candidates,
  };
}

export function decodeHeartbeat(message: HeartbeatMessage): Heartbeat {
  const {receipt, fileSet, readingAgePlusOneMs} = message;
  return {
    instanceId: message.from?.id ?? '',
    incarnation: message.from?.incarnation ?? '',
    memberHash: message.memberHash,
    sequence: Number(message.sequence),
    receipt: receipt && {
      incarnation: receipt.incarnation,
      sequence: Number(receipt.sequence),
      loanVersion: receipt.loanVersion,
    },
    ready: message.ready,
    leaving: message.leaving,
    fileSet: fileSet && {
      revision: Number(fileSet.revision),
      digest: fileSet.digest,
    },
    viewHash: message.viewHash,
    listAgeMs: readingAgePlusOneMs === 0 ? undefined : readingAgePlusOneMs - 1,
    lease: decodeLease(message),
    loads: message.summaries.map(summary => ({
      serverId: summary.serverId,
      limit: summary.limit,
      inFlight: summary.inFlight,
      queued: summary.queued,
      expectedWaitMs: summary.expectedWaitMs,
      msPerToken: summary.msPerToken,
      phase: summary.phase,
      lowestTier: summary.lowestTier,
    })),
  };
}

/** Older ages are sent as this one, so that age + 1 fits into 32 bits. */
const MAXIMUM_ENCODED_AGE_MS = 0x7fffffff;

/** Encodes an age as age + 1, as 0 means that there is none. */
function encodeAge(ageMs: number | undefined): number {
  return ageMs === undefined
    ? 0
    : Math.min(Math.ceil(ageMs), MAXIMUM_ENCODED_AGE_MS) + 1;
}

/** Encodes a heartbeat; `listHash` identifies the sender's instance list. */
export function encodeHeartbeat(
  heartbeat: Heartbeat,
  listHash: number,
): HeartbeatMessage {
  const {receipt, fileSet, lease: loan, listAgeMs: readingAgeMs} = heartbeat;
  const hasNext = loan.nextCandidates !== loan.currentCandidates;
  return create(HeartbeatMessageSchema, {
    from: {id: heartbeat.instanceId, incarnation: heartbeat.incarnation},
    memberHash: heartbeat.memberHash,
    sequence: BigInt(heartbeat.sequence),
    ...(receipt && {
      receipt: {...receipt, sequence: BigInt(receipt.sequence)},
    }),
    ready: heartbeat.ready,
    leaving: heartbeat.leaving,
    ...(fileSet && {
      fileSet: {revision: BigInt(fileSet.revision), digest: fileSet.digest},
    }),
    viewHash: heartbeat.viewHash,
    readingAgePlusOneMs: encodeAge(readingAgeMs),
    loan: {
      version: loan.version,
      isGranted: loan.isGranted,
      lent: [...loan.currentCandidates],
      next: hasNext ? [...loan.nextCandidates] : [],
      hasNext,
    },
    summaries: heartbeat.loads,
    listHash,
  });
}
