/** Measures all figures of docs/CAPACITY.md. */
import {
  type ControlCost,
  measureMemoryCost,
  measureSocketCost,
} from '../control/control_cost.js';
import {
  type DecisionCost,
  measureDecisionCost,
} from '../decision_cost/measure_decision_cost.js';
import {type CallCost, measureCallCost} from './call_cost.js';
import type {CapacitySizes} from './capacity_sizes.js';
import {type IdleCost, measureIdleCost} from './idle_cost.js';
import {type JournalCost, measureJournalCost} from './journal_cost.js';
import {measureProgramCost, type ProgramCost} from './program_cost.js';

/** Memory of the process before the first measurement. */
export interface ProcessMemory {
  readonly heapBytes: number;
  readonly residentBytes: number;
}

/** Figures of all measurements. */
export interface CapacityFigures {
  readonly processMemory: ProcessMemory;
  readonly idleFleets: readonly IdleCost[];
  readonly calls: readonly CallCost[];
  readonly journals: readonly JournalCost[];
  readonly programs: readonly ProgramCost[];
  readonly memoryFleets: readonly ControlCost[];
  readonly socketFleets: readonly ControlCost[];
  readonly decisions: readonly DecisionCost[];
}

/**
 * Runs all measurements on this machine; CPU times vary between runs.
 * @param sizes - Sizes of each measurement.
 */
export async function measureCapacity(
  sizes: CapacitySizes,
): Promise<CapacityFigures> {
  const {heapUsed, rss} = process.memoryUsage();
  const {controlSeconds} = sizes;
  return {
    processMemory: {heapBytes: heapUsed, residentBytes: rss},
    idleFleets: await measureEach(sizes.idleFleets, measureIdleCost),
    calls: await measureEach(sizes.calls, measureCallCost),
    journals: await measureEach(sizes.journals, measureJournalCost),
    programs: await measureEach(sizes.programs, measureProgramCost),
    memoryFleets: await measureEach(sizes.memoryFleets, (count) =>
      measureMemoryCost(count, controlSeconds),
    ),
    socketFleets: await measureEach(sizes.socketFleets, (count) =>
      measureSocketCost(count, controlSeconds),
    ),
    decisions: sizes.decisions.map((options) => measureDecisionCost(options)),
  };
}

/** Runs measurements sequentially, so that none slows another. */
async function measureEach<Size, Figures>(
  sizes: readonly Size[],
  measure: (size: Size) => Promise<Figures>,
): Promise<Figures[]> {
  const figures: Figures[] = [];
  for (const size of sizes) figures.push(await measure(size));
  return figures;
}
