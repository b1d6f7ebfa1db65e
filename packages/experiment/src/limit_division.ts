/** How the instances of a simulated fleet divide the rates that servers state. */
import {createStatementTracker} from '@buckthornbeam/gateway';
import type {
  GossipNodeOptions,
  ServerSelection,
  StatementTracker,
  TrackedServer,
} from '@buckthornbeam/gateway';

export const LimitDivision = {
  /** Each instance uses its share, as in a deployment. */
  SHARES: 'shares',
  /**
   * All instances use one rate together and hear of statements at once. What is lost
   * then is lost to the limit itself.
   */
  COMMON: 'common',
} as const;
export type LimitDivision = (typeof LimitDivision)[keyof typeof LimitDivision];

const COMMON_ID = 'all';
const COMMON_CONTEXT = {instances: [COMMON_ID]};

/** Lets a tracker decide as that of the only instance. */
function createCommonTracker(): StatementTracker {
  const tracker = createStatementTracker();
  return {
    ...tracker,
    canSend: (life, _, now) => tracker.canSend(life, COMMON_CONTEXT, now),
    computeWait: (life, _, now, requestsAhead) =>
      tracker.computeWait(life, COMMON_CONTEXT, now, requestsAhead),
    take: (life, _, now) => tracker.take(life, COMMON_CONTEXT, now),
    advance: (_, now) =>
      tracker.advance({selfId: COMMON_ID, ...COMMON_CONTEXT}, now),
    listLimitNews: () => [],
    acceptLimitNews: () => false,
  };
}

/** Returns a function that creates the tracker of the next instance. */
export function createTrackers(division: LimitDivision) {
  const common = createCommonTracker();
  return (): StatementTracker =>
    division === LimitDivision.COMMON ? common : createStatementTracker();
}

/** Passes on to an instance what the others heard of limits, as its gossip does. */
export function createLimitExchange(
  statements: StatementTracker,
  selection: Pick<ServerSelection, 'updateShares'>,
  servers: readonly TrackedServer[],
): NonNullable<GossipNodeOptions['limits']> {
  return {
    listNews: statements.listLimitNews,
    acceptNews: (news, now) => {
      const listed = servers.map(({server}) => server);
      if (statements.acceptLimitNews(news, listed, now)) {
        selection.updateShares(now);
      }
    },
  };
}
