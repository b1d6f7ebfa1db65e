/** Creates the memory budget of a process and the reports of what it refuses. */
import type {Clock, Logger} from '@buckthornbeam/shared';
import {createBufferCollector} from './buffer_collector.js';
import {createLimitReports} from './limit_reports.js';
import type {LimitReports} from './limit_reports.js';
import {computeMemoryBudget} from './machine_limits.js';
import type {MachineLimits} from './machine_limits.js';
import {createMemoryBudget} from './memory_budget.js';
import type {MemoryBudget} from './memory_budget.js';

/** Options of {@link createMachineMemory}. */
export interface MachineMemoryOptions {
  machine: MachineLimits;
  clock: Clock;
  logger: Logger;
  /** Called for each refusal with its reason. */
  onRefusal: (reason: string) => void;
}

export interface MachineMemory {
  memory: MemoryBudget;
  reports: LimitReports;
}

/** Below the margin that the budget leaves on the smallest machine. */
const MINIMUM_UNCOLLECTED_BYTES = 8_000_000;
/** A larger machine leaves its buffers to V8 for longer. */
const UNCOLLECTED_RATIO = 1 / 6;

export function createMachineMemory({
  machine,
  clock,
  logger,
  onRefusal,
}: MachineMemoryOptions): MachineMemory {
  const reports = createLimitReports({clock, logger, onRefusal});
  const limitBytes = computeMemoryBudget(machine);
  const collector =
    limitBytes === Infinity
      ? undefined
      : createBufferCollector({
          maximumUncollectedBytes: Math.max(
            MINIMUM_UNCOLLECTED_BYTES,
            limitBytes * UNCOLLECTED_RATIO,
          ),
          clock,
        });
  const memory = createMemoryBudget({
    limitBytes,
    clock,
    ...(collector ? {collector} : {}),
    onRefusal: (use, isEvicted) =>
      reports.record(isEvicted ? `${use}_closed` : `${use}_refused`),
  });
  return {memory, reports};
}
