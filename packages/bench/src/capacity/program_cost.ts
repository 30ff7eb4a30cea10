/** Measures memory of programs and CPU time of their turns. */
import type {ProgramId} from '@marigoldpost/common';
import {TurnRunner, type TurnSize} from './turn_runner.js';
import {measureUsage} from '../utils/usage_meter.js';

const turnSize: TurnSize = {
  promptCharacters: 2400,
  completionTokens: 200,
  engineMs: 0,
};
const concurrentPrograms = 100;
const microsPerMs = 1000;

/** Number of programs in the partition, and turns of each. */
export interface ProgramLoadSize {
  readonly programs: number;
  readonly turns: number;
}

/** Cost of programs; a turn has 600 prompt tokens and 200 output tokens. */
export interface ProgramCost extends ProgramLoadSize {
  /** Heap, without the objects in the stand-in of the platform. */
  readonly heapBytesPerProgram: number;
  /** Size of journal and snapshots in the platform. */
  readonly storedBytesPerProgram: number;
  /** CPU time of a turn in program manager and journal, in microseconds. */
  readonly processorUsPerTurn: number;
  readonly writesPerTurn: number;
}

/**
 * Measures a partition that holds programs.
 * @param size - Number of programs and turns.
 */
export async function measureProgramCost(
  size: ProgramLoadSize,
): Promise<ProgramCost> {
  const {programs, turns} = size;
  // Without platform delay, a turn completes while the clock advances by 1 ms.
  const runner = await TurnRunner.create(0);
  const usage = await measureUsage(() => runPrograms(runner, size));
  const totalTurns = programs * turns;
  const {writes} = runner.store.getTotalCallCounts();
  const storedBytes = await getStoredBytes(runner);
  return {
    programs,
    turns,
    heapBytesPerProgram: (usage.heapBytes - storedBytes) / programs,
    storedBytesPerProgram: storedBytes / programs,
    processorUsPerTurn: (usage.processorMs * microsPerMs) / totalTurns,
    writesPerTurn: writes / totalTurns,
  };
}

async function runPrograms(
  runner: TurnRunner,
  {programs, turns}: ProgramLoadSize,
): Promise<void> {
  for (let first = 0; first < programs; first += concurrentPrograms) {
    const count = Math.min(concurrentPrograms, programs - first);
    const group = Array.from({length: count}, () => runTurns(runner, turns));
    const done = Promise.all(group);
    await runner.clock.advance(1);
    await done;
  }
}

async function runTurns(runner: TurnRunner, turns: number): Promise<void> {
  let program: ProgramId | undefined;
  for (let turn = 0; turn < turns; turn += 1) {
    ({program} = await runner.runTurn(turnSize, program));
  }
}

async function getStoredBytes({store}: TurnRunner): Promise<number> {
  const objects = await store.listObjects('');
  return objects.reduce((sum, {value}) => sum + value.length, 0);
}
