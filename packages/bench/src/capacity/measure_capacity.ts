/** Measures every slope of docs/CAPACITY.md. */
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

/** Memory of the process before anything is measured. */
export interface ProcessMemory {
  readonly heapBytes: number;
  readonly residentBytes: number;
}

/** Every figure measured. */
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
 * Measures on this machine; processor times differ between runs.
 * @param sizes - What to measure.
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

/** Measures in turn, so that no measurement slows another. */
async function measureEach<Size, Figures>(
  sizes: readonly Size[],
  measure: (size: Size) => Promise<Figures>,
): Promise<Figures[]> {
  const figures: Figures[] = [];
  for (const size of sizes) figures.push(await measure(size));
  return figures;
}
