/** Wires up the choice of servers: their statements, selection, admission and repeats. */
import type {PrefixLocations, RoomShortages} from '@buckthornbeam/decisions';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {GatewayMetrics} from './metrics.js';
import {createAdmission} from './relay/admission.js';
import {AdmissionOrder} from './relay/admission_reason.js';
import type {Admission} from './relay/admission_reason.js';
import {createServerConnections} from './relay/server_connections.js';
import type {ServerConnections} from './relay/server_connections.js';
import type {GatewaySettings} from './settings.js';
import type {ClusterState} from './state/cluster_state.js';
import type {FaultTracker} from './state/fault_tracker.js';
import {createRepeatBudgets} from './state/repeat_budgets.js';
import type {RepeatBudgets} from './state/repeat_budgets.js';
import type {ServerActivity} from './state/server_activity.js';
import type {ServerLoads} from './state/server_loads.js';
import {createServerSelection} from './state/server_selection.js';
import type {ServerSelection} from './state/server_selection.js';
import type {SpeedTracker} from './state/speed_tracker.js';
import {createStatementTracker} from './state/statement_tracker.js';
import type {StatementTracker} from './state/statement_tracker.js';

/** Options of {@link createGatewayRouting}. */
export interface GatewayRoutingOptions {
  settings: GatewaySettings;
  clusterState: ClusterState;
  loads: ServerLoads;
  activity: ServerActivity;
  locations: PrefixLocations;
  shortages: RoomShortages;
  faults: FaultTracker | undefined;
  speeds: SpeedTracker | undefined;
  listInstances: (now: number) => readonly string[];
  metrics: GatewayMetrics;
  clock: Clock;
  logger: Logger;
}

export interface GatewayRouting {
  connections: ServerConnections;
  statements: StatementTracker;
  selection: ServerSelection;
  /** Undefined if requests are not ordered by urgency. */
  admission: Admission | undefined;
  repeatBudgets: RepeatBudgets;
}

export function createGatewayRouting({
  settings,
  clusterState,
  loads,
  activity,
  locations,
  shortages,
  faults,
  speeds,
  listInstances,
  metrics,
  clock,
  logger,
}: GatewayRoutingOptions): GatewayRouting {
  const connections = createServerConnections({
    onOpen: () => metrics.countConnection(),
  });

  const statements = createStatementTracker({
    logger,
    onChange: change => metrics.countStatement(change),
  });

  const selection = createServerSelection({
    selfId: settings.instanceId,
    dataCentre: settings.dataCentre,
    regions: settings.regions,
    clusterState,
    loads,
    activity,
    locations,
    prefillTokensPerMs: settings.engines.readingTokensPerMs,
    shortPromptRatio: settings.engines.shortPromptPart,
    spreading: settings.engines.spreading,
    listInstances,
    coldOverage: settings.cold.overage,
    coldSlack: settings.cold.slack,
    statements,
    faults,
    speeds,
  });

  const admission =
    settings.admission.order === AdmissionOrder.URGENCY
      ? createAdmission({
          clusterState,
          shortages,
          prefillTokensPerMs: settings.engines.readingTokensPerMs,
          clock,
          onWaitEnd: ({reason, selected}) =>
            metrics.countWait(reason, selected !== undefined),
        })
      : undefined;

  const repeatBudgets = createRepeatBudgets({
    fleet: {
      ratio: settings.repeats.ratio,
      extra: settings.repeats.extra,
      windowMs: settings.repeats.windowS * 1000,
    },
    countInstances: now => listInstances(now).length,
  });

  return {connections, statements, selection, admission, repeatBudgets};
}
