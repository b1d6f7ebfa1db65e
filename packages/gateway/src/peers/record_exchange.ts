/**
 * Exchange of the instances' records: hellos to random instances show whether two
 * tables differ, and a list of the known records brings the missing ones.
 */
import type {GossipRecord, GossipTable} from '@buckthornbeam/membership';
import {GossipKind} from './gossip_message.js';
import type {GossipMessage} from './gossip_message.js';
import {buildDatagrams} from './message_builder.js';
import type {GossipDatagram, MessageBuilder} from './message_builder.js';

/** Options of {@link createRecordExchange}. */
export interface RecordExchangeOptions {
  table: GossipTable;
  messages: MessageBuilder;
  /** Returns a number in [0, 1). */
  random: () => number;
}

export interface RecordExchange {
  /** Builds the hellos of a round. */
  startRound(now: number): GossipDatagram[];
  /** Answers a hello with the list of the known records if the tables differ. */
  answerHello(message: GossipMessage, now: number): GossipDatagram[];
  /** Answers a list with the records that its sender lacks, and asks for others. */
  answerKnown(message: GossipMessage, now: number): GossipDatagram[];
}

/** Rounds between two hellos in steady state. */
const HELLO_ROUNDS = 8;
/** Hellos of a round, in steady state and after a change of the records. */
const STEADY_HELLOS = 1;
const CHANGING_HELLOS = 2;
/** Time after a change of the records in which hellos are sent more often. */
const CHANGING_MS = 3000;
/** Rounds between two hellos to a seed that matches no instance. */
const SEED_ROUNDS = 2;
/** Lists of known records in one round: as answers to hellos, and to lists. */
const HELLO_ANSWERS_PER_ROUND = 8;
const REQUESTS_PER_ROUND = 4;
/** Records that answer one list, and records in one message of that answer. */
const RECORDS_PER_ANSWER = 36;
const RECORDS_PER_MESSAGE = 12;

export function createRecordExchange({
  table,
  messages,
  random,
}: RecordExchangeOptions): RecordExchange {
  let roundCount = 0;
  let helloAnswersLeft = HELLO_ANSWERS_PER_ROUND;
  let requestsLeft = REQUESTS_PER_ROUND;

  function buildKnown(receiver: GossipRecord, now: number): GossipDatagram[] {
    const knownHashes = [messages.getSelfHash(), ...table.listHashes()];
    return buildDatagrams(
      messages.build(GossipKind.KNOWN, now, {knownHashes}),
      [receiver.gossipAddress],
    );
  }

  function hasUnknown(hashes: readonly number[]): boolean {
    const selfHash = messages.getSelfHash();
    return hashes.some(
      hash => hash !== selfHash && table.findByHash(hash) === undefined,
    );
  }

  function buildMissing(
    {sender, knownHashes}: GossipMessage,
    now: number,
  ): GossipDatagram[] {
    const missing = table.pickMissing(
      [...knownHashes, table.findHash(sender.instanceId)!],
      now,
      RECORDS_PER_ANSWER,
      random,
    );
    const datagrams: GossipDatagram[] = [];
    for (let from = 0; from < missing.length; from += RECORDS_PER_MESSAGE) {
      const relayed = missing.slice(from, from + RECORDS_PER_MESSAGE);
      datagrams.push(
        ...buildDatagrams(messages.build(GossipKind.RECORDS, now, {relayed}), [
          sender.gossipAddress,
        ]),
      );
    }
    return datagrams;
  }

  function pickHelloTargets(now: number): string[] {
    const isChanging =
      now - table.getLastChangeAt() < CHANGING_MS || table.isIsolated(now);
    const isDue = isChanging || roundCount % HELLO_ROUNDS === 0;
    const count = isChanging ? CHANGING_HELLOS : STEADY_HELLOS;
    return [
      ...(isDue ? table.pickTargets(count, now, random) : []),
      ...(roundCount % SEED_ROUNDS === 1 ? table.listUnmatchedSeeds() : []),
    ];
  }

  return {
    startRound: now => {
      roundCount += 1;
      helloAnswersLeft = HELLO_ANSWERS_PER_ROUND;
      requestsLeft = REQUESTS_PER_ROUND;
      const targets = pickHelloTargets(now);
      return targets.length > 0
        ? buildDatagrams(messages.build(GossipKind.HELLO, now), targets)
        : [];
    },
    answerHello: ({sender, memberDigest}, now) => {
      const ownDigest = table.computeDigest(messages.getSelfHash());
      if (memberDigest === ownDigest || helloAnswersLeft === 0) {
        return [];
      }
      helloAnswersLeft -= 1;
      return buildKnown(sender, now);
    },
    answerKnown: (message, now) => {
      const datagrams = buildMissing(message, now);
      if (requestsLeft > 0 && hasUnknown(message.knownHashes)) {
        requestsLeft -= 1;
        datagrams.push(...buildKnown(message.sender, now));
      }
      return datagrams;
    },
  };
}
