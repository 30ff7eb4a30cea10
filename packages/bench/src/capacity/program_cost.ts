/** Memory and processor time of programs and of their turns. */
import type {ProgramId} from '@marigoldpost/common';
import {ProgramLoad, type TurnSize} from './program_load.js';
import {measureUsage} from '../utils/usage_meter.js';

const turnSize: TurnSize = {
  promptCharacters: 2400,
  completionTokens: 200,
  engineMs: 0,
};
const concurrentPrograms = 100;
const microsPerMs = 1000;

/** Programs to hold. */
export interface ProgramLoadSize {
  readonly programs: number;
  readonly turns: number;
}

/** What they cost; turns of 600 prompt tokens and 200 generated. */
export interface ProgramCost extends ProgramLoadSize {
  /** Heap without what the platform's stand-in holds. */
  readonly heapBytesPerProgram: number;
  /** Journal and snapshots in the platform. */
  readonly storedBytesPerProgram: number;
  /** Whole cost of a turn in keeper and journal, in microseconds. */
  readonly processorUsPerTurn: number;
  readonly writesPerTurn: number;
}

/**
 * Measures a partition that holds programs.
 * @param size - Programs and their turns.
 */
export async function measureProgramCost(
  size: ProgramLoadSize,
): Promise<ProgramCost> {
  const {programs, turns} = size;
  // A platform without delay, so that a turn ends in one round of promises.
  const site = await ProgramLoad.create(0);
  const usage = await measureUsage(() => runPrograms(site, size));
  const totalTurns = programs * turns;
  const {writes} = site.store.getTotalCallCounts();
  const storedBytes = await getStoredBytes(site);
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
  site: ProgramLoad,
  {programs, turns}: ProgramLoadSize,
): Promise<void> {
  for (let first = 0; first < programs; first += concurrentPrograms) {
    const count = Math.min(concurrentPrograms, programs - first);
    const group = Array.from({length: count}, () => runTurns(site, turns));
    const done = Promise.all(group);
    await site.clock.advance(1);
    await done;
  }
}

async function runTurns(site: ProgramLoad, turns: number): Promise<void> {
  let program: ProgramId | undefined;
  for (let turn = 0; turn < turns; turn += 1) {
    ({program} = await site.runTurn(turnSize, program));
  }
}

async function getStoredBytes({store}: ProgramLoad): Promise<number> {
  const objects = await store.listObjects('');
  return objects.reduce((sum, {value}) => sum + value.length, 0);
}
