/**
 * `npm run capacity`: measures the control-plane cost per entry for fleets of
 * growing size and extrapolates it linearly to the target size.
 */
import {parseArgs} from 'node:util';
import {measureFleet} from './measure_fleet.js';
import type {FleetCost} from './measure_fleet.js';
import {computeLeastSquaresLine, computeLineValue} from './linear_fit.js';
import type {FittedLine} from './linear_fit.js';

/** Fleet size that the limits apply to. */
const TARGET_ENTRIES = 420;
/** Largest permitted control-plane cost of one entry. */
const COST_LIMITS = {
  peerBytesPerSecond: 6 * 1024,
  cpuShare: 0.028,
  residentBytes: 128 * 1024 * 1024,
} as const;

type CostMetric = keyof typeof COST_LIMITS;

/** Extrapolation of one metric to the target size. */
interface Projection extends FittedLine {
  atTarget: number;
  limit: number;
  isWithinLimit: boolean;
}

const SERVERS_PER_ENTRY = 5;
const ENTRIES_PER_DATA_CENTRE = 47;
const SETTLE_MS = 3000;

function computeProjection(
  metric: CostMetric,
  costs: readonly FleetCost[],
): Projection {
  const line = computeLeastSquaresLine(
    costs.map(cost => ({x: cost.entries, y: cost[metric]})),
  );
  const atTarget = computeLineValue(line, TARGET_ENTRIES);
  const limit = COST_LIMITS[metric];
  return {...line, atTarget, limit, isWithinLimit: atTarget <= limit};
}

function printTable(
  costs: readonly FleetCost[],
  projections: Record<CostMetric, Projection>,
): void {
  for (const cost of costs) {
    process.stdout.write(
      `${String(cost.entries).padStart(4)} entries: ` +
        `${cost.peerBytesPerSecond.toFixed(0)} B/s, ` +
        `${cost.peerCallsPerSecond.toFixed(1)} calls/s, ` +
        `${(100 * cost.cpuShare).toFixed(2)} % of a core, ` +
        `${(cost.residentBytes / 2 ** 20).toFixed(0)} MiB, ` +
        `platform ${cost.platformCallsPerSecond.toFixed(2)} calls/s\n`,
    );
  }
  for (const [metric, projection] of Object.entries(projections)) {
    const verdict = projection.isWithinLimit ? 'within' : 'over';
    process.stdout.write(
      `${metric} at ${TARGET_ENTRIES}: ${projection.atTarget.toPrecision(4)}, ` +
        `${verdict} ${projection.limit}\n`,
    );
  }
}

async function runCapacity(): Promise<void> {
  const {values} = parseArgs({
    options: {
      json: {type: 'boolean', default: false},
      sizes: {type: 'string', default: '4,8,16,32'},
      seconds: {type: 'string', default: '10'},
      heartbeat: {type: 'string', default: '500'},
      customers: {type: 'string', default: '12000'},
    },
  });
  const costs: FleetCost[] = [];
  for (const size of values.sizes.split(',').map(Number)) {
    costs.push(
      await measureFleet({
        entries: size,
        customers: Number(values.customers),
        heartbeatMs: Number(values.heartbeat),
        serversPerEntry: SERVERS_PER_ENTRY,
        entriesPerDataCentre: ENTRIES_PER_DATA_CENTRE,
        settleMs: SETTLE_MS,
        durationMs: Number(values.seconds) * 1000,
      }),
    );
  }
  const projections = {
    peerBytesPerSecond: computeProjection('peerBytesPerSecond', costs),
    cpuShare: computeProjection('cpuShare', costs),
    residentBytes: computeProjection('residentBytes', costs),
  };
  if (values.json) {
    process.stdout.write(`${JSON.stringify({costs, projections}, null, 2)}\n`);
  } else {
    printTable(costs, projections);
  }
}

await runCapacity();
