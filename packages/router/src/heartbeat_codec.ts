/** Heartbeats on the wire. */
import {create} from '@bufbuild/protobuf';
import type {Heartbeat, LeaseTerms} from '@buckthornbeam/membership';
import {HeartbeatMessageSchema} from '@buckthornbeam/protocol';
import type {HeartbeatMessage} from '@buckthornbeam/protocol';

function decodeLoan(message: HeartbeatMessage): LeaseTerms {
  const {loan} = message;
  const lent = loan?.lent ?? [];
  return {
    version: loan?.version ?? 0,
    isGranted: loan?.isGranted ?? false,
    currentCandidates: lent,
    nextCandidates: loan?.hasNext ? loan.next : lent,
  };
}

/** Decodes a heartbeat of a peer. */
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
    lease: decodeLoan(message),
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

/** Greatest age on the wire, in milliseconds. */
const MAXIMUM_AGE_MS = 0x7fffffff;

function encodeAge(ageMs: number | undefined): number {
  return ageMs === undefined
    ? 0
    : Math.min(Math.ceil(ageMs), MAXIMUM_AGE_MS) + 1;
}

/** Encodes a heartbeat; the hash tells which instance list the sender has. */
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
