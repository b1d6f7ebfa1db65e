/** Builds the gossip messages of one instance. */
import {computeStateHash, isSameState} from '@buckthornbeam/membership';
import type {GossipRecord} from '@buckthornbeam/membership';
import type {
  GossipEnvelope,
  GossipKind,
  GossipMessage,
} from './gossip_message.js';

/** State of an instance that its messages describe. */
export type GossipState = Pick<
  GossipMessage,
  'version' | 'revision' | 'digest' | 'confirmedAgeMs'
>;

/** A message to send. */
export interface GossipDatagram extends GossipEnvelope {
  /** `host:port` */
  address: string;
}

/** Options of {@link createMessageBuilder}. */
export interface MessageBuilderOptions {
  /** Current record of this instance; the builder adds the round. */
  describeSelf: () => Omit<GossipRecord, 'round'>;
  describeState: (now: number) => GossipState;
  /** Digest of the records of an instance with this state hash. */
  computeMemberDigest: (selfHash: number) => number;
}

export interface MessageBuilder {
  /** State hash of the current record of this instance. */
  getSelfHash(): number;
  /** Builds a message with the next round; what `content` omits is empty. */
  build(
    kind: GossipKind,
    now: number,
    content?: Partial<GossipMessage>,
  ): GossipMessage;
}

/** Addresses a message to several instances. */
export function buildDatagrams(
  message: GossipMessage,
  addresses: readonly string[],
): GossipDatagram[] {
  return addresses.map(address => ({
    address,
    message,
    forwardTo: [],
    hopDigest: message.digest,
  }));
}

export function createMessageBuilder({
  describeSelf,
  describeState,
  computeMemberDigest,
}: MessageBuilderOptions): MessageBuilder {
  let self = describeSelf();
  let selfHash = computeStateHash(self);
  let round = 0;

  function getSelfHash(): number {
    const current = describeSelf();
    if (!isSameState(current, self)) {
      self = current;
      selfHash = computeStateHash(current);
    }
    return selfHash;
  }

  return {
    getSelfHash,
    build: (kind, now, content = {}) => {
      round += 1;
      return {
        kind,
        sender: {...describeSelf(), round},
        ...describeState(now),
        memberDigest: computeMemberDigest(getSelfHash()),
        groupKey: '',
        loadReport: [],
        cacheLocations: [],
        relayed: [],
        liveness: [],
        silentHashes: [],
        knownHashes: [],
        quarantineNews: [],
        limitNews: [],
        faultSums: [],
        speedSums: [],
        shortageNews: [],
        ...content,
      };
    },
  };
}
