/**
 * Gossip of one instance without I/O: the caller passes in received messages and
 * the time, and sends what is returned. docs/design/gossip.md describes it.
 */
import {createRoomShortages, createUpdateQueue} from '@buckthornbeam/decisions';
import type {
  PrefixLocations,
  PromptQuarantine,
  QuarantineNews,
  RoomShortages,
} from '@buckthornbeam/decisions';
import {createGossipTable} from '@buckthornbeam/membership';
import type {
  GossipMember,
  GossipRecord,
  GossipTable,
  LivenessEntry,
} from '@buckthornbeam/membership';
import type {CustomerSums} from '../state/customer_sums.js';
import type {ServerLoads} from '../state/server_loads.js';
import {GossipKind} from './gossip_message.js';
import type {GossipEnvelope, GossipMessage} from './gossip_message.js';
import {createGroupView} from './group_view.js';
import type {FleetSumExchange} from './fleet_sums.js';
import type {LimitNews} from './limit_news.js';
import {buildDatagrams, createMessageBuilder} from './message_builder.js';
import type {GossipDatagram, GossipState} from './message_builder.js';
import {createRecordExchange} from './record_exchange.js';
import {decodeNews, encodeNews} from './quarantine_news.js';
import {
  MAXIMUM_WAITING_NEWS,
  NEWS_PER_MESSAGE,
  createRelayQueues,
} from './relay_queues.js';
import type {LearnedContent} from './relay_queues.js';

export interface GossipNodeOptions {
  /** Current record of this instance; the node adds the round. */
  describeSelf: () => Omit<GossipRecord, 'round'>;
  describeState: (now: number) => GossipState;
  seedAddresses: readonly string[];
  loads: ServerLoads;
  locations: PrefixLocations;
  quarantine: Pick<PromptQuarantine, 'acceptNews' | 'takeNews' | 'list'>;
  limits?: LimitExchange;
  /** Faults of servers; not exchanged if absent. */
  faults?: FleetSumExchange | undefined;
  /** Speeds of servers; not exchanged if absent. */
  speeds?: FleetSumExchange | undefined;
  /** What customers asked for and got, while capacity is scarce. */
  customers?: CustomerSums;
  shortages?: Pick<RoomShortages, 'listNews' | 'acceptNews'>;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** What servers stated about their request rate, to and from other instances. */
export interface LimitExchange {
  /** Lists what was passed on at most so many times. */
  listNews(maximumHops: number, now: number): LimitNews[];
  acceptNews(news: readonly LimitNews[], now: number): void;
}

const NO_LIMITS: LimitExchange = {
  listNews: () => [],
  acceptNews: () => undefined,
};

/** The messages that answer or forward a received one. */
export interface ReceiveResult {
  /** False if a newer message of the sender was received before. */
  isAccepted: boolean;
  datagrams: GossipDatagram[];
}

export interface GossipNode {
  readonly table: GossipTable;
  /** Builds the messages of one round, {@link GOSSIP_ROUND_MS} after the last. */
  runRound(now: number): GossipDatagram[];
  /**
   * Computes the time until a changed own load may be reported, in milliseconds;
   * undefined if it is not reported between rounds.
   */
  computeReportDelay(now: number): number | undefined;
  /** Builds a report of the changed load, unless a round has reported it. */
  buildChangedReport(now: number): GossipDatagram[];
  /** Builds the messages that make a change of the own record known at once. */
  announce(now: number): GossipDatagram[];
  receive(envelope: GossipEnvelope, now: number): ReceiveResult;
  /** Whether this instance publishes the load of its group. */
  isPublishing(): boolean;
  /** Drops what was received, after a suspension of the process. */
  clearReceived(now: number): void;
}

/** Interval of the rounds. */
export const GOSSIP_ROUND_MS = 250;
/** Time in which several changes of the load go into one report. */
const REPORT_DELAY_MS = 5;
/** Intervals of reports without a change, with and without a publisher. */
const REPORT_INTERVAL_MS = 1000;
const UNHEARD_REPORT_INTERVAL_MS = 500;
/** A state confirmed by this much later than the publisher's is reported early. */
const NEWER_STATE_MS = 200;
/** Rounds between two lists of live instances, by group and of the fleet. */
const GROUP_LIVENESS_ROUNDS = 2;
const FLEET_LIVENESS_ROUNDS = 8;
/** Rounds between two lists of quarantine entries, for instances that started. */
const ENTRY_ROUNDS = 8;
/** Live instances in one message; longer lists are sent in parts. */
const LIVENESS_PER_MESSAGE = 250;

/**
 * Times that news in a message were passed on before, at most. It rises on the way from
 * an instance to all others, so that no news return.
 */
const MAXIMUM_HOPS = {REPORT: 0, GROUP_SUM: 1, TOTALS: 2} as const;

/** Lists instances with the time since each was heard. */
function listLiveness(
  members: readonly GossipMember[],
  now: number,
): LivenessEntry[] {
  return members.map(({stateHash, lastSeenAt}) => ({
    stateHash,
    ageMs: Math.max(0, now - lastSeenAt),
  }));
}

export function createGossipNode(options: GossipNodeOptions): GossipNode {
  const {describeSelf, describeState, loads, locations, quarantine, random} =
    options;
  const {limits = NO_LIMITS, faults, speeds, customers} = options;
  const {shortages = createRoomShortages()} = options;
  const {instanceId: selfId, gossipAddress} = describeSelf();
  const table = createGossipTable({
    selfId,
    selfAddress: gossipAddress,
    seedAddresses: options.seedAddresses,
  });
  const messages = createMessageBuilder({
    describeSelf,
    describeState,
    computeMemberDigest: table.computeDigest,
  });
  const view = createGroupView({table, describeSelf, random});
  const {role} = view;
  const records = createRecordExchange({table, messages, random});
  const relays = createRelayQueues(table);
  const ownNews = createUpdateQueue<QuarantineNews>({
    maximumTaken: NEWS_PER_MESSAGE,
    maximumWaiting: MAXIMUM_WAITING_NEWS,
  });
  let roundCount = 0;
  let reportedAt = -Infinity;
  /** Change of the load, and own state hash, in the last report. */
  let reportedChange = -1;
  let reportedSelfHash = -1;
  let hasReportedShortage = false;
  /** When the state in the last totals was confirmed, in local time. */
  let publishedConfirmationAt = -Infinity;

  function listAddresses(ids: readonly string[]): string[] {
    return ids.flatMap(id => table.findAddress(id) ?? []);
  }

  /** Adds the quarantine entries to the content of a message when they are due. */
  function addEntries<Content extends Pick<GossipMessage, 'quarantineNews'>>(
    content: Content,
    now: number,
  ): Content {
    const entries =
      roundCount % ENTRY_ROUNDS === 0
        ? quarantine
            .list(now)
            .slice(-NEWS_PER_MESSAGE)
            .map(entry => ({...entry, kind: 'entry'}) as const)
        : [];
    return {
      ...content,
      quarantineNews: [...content.quarantineNews, ...encodeNews(entries, now)],
    };
  }

  function buildGroupSum(now: number): GossipDatagram[] {
    relays.addFromMember({
      locations: locations.takeUpdates(),
      news: ownNews.take(),
    });
    const isListDue = roundCount % GROUP_LIVENESS_ROUNDS === 0;
    const message = messages.build(GossipKind.GROUP_SUM, now, {
      groupKey: view.getOwnKey(),
      loadReport: loads.buildGroupSum(now),
      liveness: isListDue ? listLiveness(view.listPeers(now), now) : [],
      ...addEntries(relays.takeForGroups(now), now),
      limitNews: limits.listNews(MAXIMUM_HOPS.GROUP_SUM, now),
      faultSums: faults?.buildGroupSum(now) ?? [],
      speedSums: speeds?.buildGroupSum(now) ?? [],
      customerNews: customers?.buildGroupSum(now) ?? [],
      shortageNews: shortages.listNews(now, MAXIMUM_HOPS.GROUP_SUM),
    });
    return buildDatagrams(message, listAddresses(view.listSumTargets(now)));
  }

  /** Lists the part of the live instances that this round's totals contain. */
  function listFleetLiveness(now: number): LivenessEntry[] {
    if (roundCount % FLEET_LIVENESS_ROUNDS !== 0) {
      return [];
    }
    const entries = listLiveness(table.listAlive(now), now);
    const parts = Math.max(1, Math.ceil(entries.length / LIVENESS_PER_MESSAGE));
    const part = (roundCount / FLEET_LIVENESS_ROUNDS) % parts;
    return entries.filter(({stateHash}) => stateHash % parts === part);
  }

  /** Divides the instances of the group among those that forward the totals. */
  function buildTotals(now: number): GossipDatagram[] {
    const peers = view.listPeers(now);
    if (peers.length === 0) {
      return [];
    }
    const message = messages.build(GossipKind.TOTALS, now, {
      groupKey: view.getOwnKey(),
      loadReport: loads.buildTotals(now),
      liveness: listFleetLiveness(now),
      silentHashes: table.listSilent(now),
      ...addEntries(relays.takeForMembers(now), now),
      limitNews: limits.listNews(MAXIMUM_HOPS.TOTALS, now),
      faultSums: faults?.buildTotals(now) ?? [],
      speedSums: speeds?.buildTotals(now) ?? [],
      customerNews: customers?.buildTotals(now) ?? [],
      shortageNews: shortages.listNews(now, MAXIMUM_HOPS.TOTALS),
    });
    const forwarders = view.pickForwarders(peers, now);
    const direct = forwarders.length > 0 ? forwarders : peers;
    const others = peers.filter(peer => !direct.includes(peer));
    return direct.map(({record}, index) => ({
      address: record.gossipAddress,
      message,
      forwardTo: others
        .filter((_, other) => other % direct.length === index)
        .map(({stateHash}) => stateHash),
      hopDigest: message.digest,
    }));
  }

  function buildReport(now: number): GossipDatagram[] {
    const targets = view.listReportTargets(now);
    if (targets.length === 0) {
      return [];
    }
    reportedAt = now;
    reportedChange = loads.getChangeCount();
    reportedSelfHash = messages.getSelfHash();
    const shortageNews = shortages.listNews(now, MAXIMUM_HOPS.REPORT);
    hasReportedShortage = shortageNews.length > 0;
    const message = messages.build(GossipKind.REPORT, now, {
      groupKey: view.getOwnKey(),
      loadReport: loads.buildReport(now),
      cacheLocations: locations.takeUpdates(),
      quarantineNews: encodeNews(ownNews.take(), now),
      limitNews: limits.listNews(MAXIMUM_HOPS.REPORT, now),
      faultSums: faults?.buildReport(now) ?? [],
      speedSums: speeds?.buildReport(now) ?? [],
      customerNews: customers?.buildReport(now) ?? [],
      shortageNews,
    });
    return buildDatagrams(message, listAddresses(targets));
  }

  function hasChangedLoad(now: number): boolean {
    return !role.isPublishing(now) && loads.getChangeCount() !== reportedChange;
  }

  /** Whether the publisher should learn something before the next report is due. */
  function hasNews(now: number): boolean {
    const confirmedAt = now - describeState(now).confirmedAgeMs;
    return (
      loads.getChangeCount() !== reportedChange ||
      messages.getSelfHash() !== reportedSelfHash ||
      !ownNews.isEmpty() ||
      // After its end, one report without a shortage replaces the last.
      hasReportedShortage ||
      shortages.listNews(now, MAXIMUM_HOPS.REPORT).length > 0 ||
      confirmedAt > publishedConfirmationAt + NEWER_STATE_MS
    );
  }

  function isReportDue(now: number): boolean {
    const intervalMs = view.isPublisherHeard(now)
      ? REPORT_INTERVAL_MS
      : UNHEARD_REPORT_INTERVAL_MS;
    return now - reportedAt >= intervalMs || hasNews(now);
  }

  function runRound(now: number): GossipDatagram[] {
    roundCount += 1;
    ownNews.add(quarantine.takeNews());
    view.startRound(now);
    loads.retain(
      new Set(view.listOtherKeys()),
      new Set(view.listPeers(now).map(({record}) => record.instanceId)),
    );
    const isPublishing = role.isPublishing(now);
    const datagrams = records.startRound(now);
    if (isPublishing) {
      loads.dropTotals();
      customers?.dropTotals();
      datagrams.push(...buildGroupSum(now), ...buildTotals(now));
    }
    // Alone in its view of the group, an instance publishes for itself.
    if ((!isPublishing || table.isIsolated(now)) && isReportDue(now)) {
      datagrams.push(...buildReport(now));
    }
    return datagrams;
  }

  type Handler = (
    message: GossipMessage,
    /** Instances whose relayed records changed the table. */
    changedIds: readonly string[],
    now: number,
  ) => GossipDatagram[];

  function acceptContent(message: GossipMessage, now: number): LearnedContent {
    shortages.acceptNews(message.sender.instanceId, message.shortageNews, now);
    if (message.limitNews.length > 0) {
      limits.acceptNews(message.limitNews, now);
    }
    return {
      locations: locations.acceptUpdates(message.cacheLocations, now),
      news: quarantine.acceptNews(decodeNews(message.quarantineNews, now)),
    };
  }

  /** Accepts what a publisher sent; passes it on to the group if this one is it. */
  const acceptPublished: Handler = (message, changedIds, now) => {
    const {sender} = message;
    view.recordPublisher(message.groupKey, sender.instanceId, now);
    const learned = acceptContent(message, now);
    if (role.isPublishing(now)) {
      relays.addFromGroup(learned, sender, changedIds);
    }
    return [];
  };

  const handlers: Record<GossipKind, Handler> = {
    [GossipKind.HELLO]: (message, _changedIds, now) =>
      records.answerHello(message, now),
    [GossipKind.KNOWN]: (message, _changedIds, now) =>
      records.answerKnown(message, now),
    [GossipKind.RECORDS]: () => [],
    [GossipKind.REPORT]: (message, _changedIds, now) => {
      const {sender} = message;
      role.recordReport(now);
      if (message.groupKey === view.getOwnKey()) {
        loads.receiveReport(sender.instanceId, message.loadReport, now);
        faults?.receiveReport(sender.instanceId, message.faultSums, now);
        speeds?.receiveReport(sender.instanceId, message.speedSums, now);
        const news = message.customerNews ?? [];
        customers?.receiveReport(sender.instanceId, news, now);
      }
      const learned = acceptContent(message, now);
      if (role.isPublishing(now)) {
        relays.addFromMember(learned, sender);
      }
      return [];
    },
    [GossipKind.GROUP_SUM]: (message, changedIds, now) => {
      if (view.hasOther(message.groupKey)) {
        loads.receiveGroupSum(message.groupKey, message.loadReport, now);
        faults?.receiveGroupSum(message.groupKey, message.faultSums, now);
        speeds?.receiveGroupSum(message.groupKey, message.speedSums, now);
        const news = message.customerNews ?? [];
        customers?.receiveGroupSum(message.groupKey, news, now);
      }
      return acceptPublished(message, changedIds, now);
    },
    [GossipKind.TOTALS]: (message, changedIds, now) => {
      role.recordTotals(message.sender.instanceId, now);
      publishedConfirmationAt = now - message.confirmedAgeMs;
      if (!role.isPublishing(now)) {
        loads.receiveTotals(message.loadReport, now);
        faults?.receiveTotals(message.faultSums, now);
        speeds?.receiveTotals(message.speedSums, now);
        customers?.receiveTotals(message.customerNews ?? [], now);
      }
      if (
        message.memberDigest === table.computeDigest(messages.getSelfHash())
      ) {
        table.acceptSilent(message.silentHashes, now);
      }
      return acceptPublished(message, changedIds, now);
    },
  };

  function buildForwarded(
    {message, forwardTo}: GossipEnvelope,
    now: number,
  ): GossipDatagram[] {
    const hopDigest = describeState(now).digest;
    return forwardTo
      .flatMap(hash => table.findByHash(hash) ?? [])
      .map(({record}) => ({
        address: record.gossipAddress,
        message,
        forwardTo: [],
        hopDigest,
      }));
  }

  function acceptEnvelope(
    envelope: GossipEnvelope,
    now: number,
  ): ReceiveResult {
    const {message} = envelope;
    if (!table.acceptDirect(message.sender, now)) {
      return {isAccepted: false, datagrams: []};
    }
    const forwarded = buildForwarded(envelope, now);
    const changedIds = message.relayed
      .filter(item => table.acceptRelayed(item, now))
      .map(({record}) => record.instanceId);
    table.acceptLiveness(message.liveness, now);
    const answers = handlers[message.kind](message, changedIds, now);
    return {isAccepted: true, datagrams: [...forwarded, ...answers]};
  }

  return {
    table,
    runRound,
    computeReportDelay: now =>
      hasChangedLoad(now)
        ? Math.max(REPORT_DELAY_MS, reportedAt + GOSSIP_ROUND_MS - now)
        : undefined,
    buildChangedReport: now => (hasChangedLoad(now) ? buildReport(now) : []),
    announce: now => {
      const datagrams = role.isPublishing(now)
        ? [...buildGroupSum(now), ...buildTotals(now)]
        : buildReport(now);
      // A leaving publisher hands over to the next in rank.
      view.update(now);
      return datagrams;
    },
    receive: acceptEnvelope,
    isPublishing: () => role.wasPublishing(),
    clearReceived: now => {
      loads.clearReceived();
      faults?.clearReceived();
      speeds?.clearReceived();
      customers?.clearReceived();
      view.reset(now);
    },
  };
}
