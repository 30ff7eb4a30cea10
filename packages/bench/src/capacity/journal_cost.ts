/** Writes and waits that the journal costs a call, in virtual time. */
import {type ProgramId, SeededRandom} from '@marigoldpost/common';
import {getQuantile} from '../utils/statistics.js';
import {holderName, ProgramLoad, type TurnSize} from './program_load.js';

const storeMs = 5;
const turnsPerProgram = 10;
const msPerSecond = 1000;
const turnSize: TurnSize = {
  promptCharacters: 800,
  completionTokens: 100,
  engineMs: 3000,
};

/** Load to measure. */
export interface JournalLoad {
  readonly callsPerSecond: number;
  /** A multiple of a program's 10 turns. */
  readonly calls: number;
}

/** Cost of the journal. */
export interface JournalCost {
  readonly callsPerSecond: number;
  readonly calls: number;
  readonly writesPerCall: number;
  readonly readsPerCall: number;
  /** Wait before the dispatch and after the answer. */
  readonly p50WaitMs: number;
  readonly p99WaitMs: number;
}

/**
 * Measures one partition on a platform that takes 5 ms a call.
 * @param load - Rate and number of calls.
 */
export async function measureJournalCost(
  load: JournalLoad,
): Promise<JournalCost> {
  const {callsPerSecond, calls} = load;
  const site = await ProgramLoad.create(storeMs);
  const before = site.store.getCallCounts(holderName);
  const random = SeededRandom.create(1);
  const meanMs = (msPerSecond * turnsPerProgram) / callsPerSecond;
  const programs: Array<Promise<number[]>> = [];
  for (let admitted = 0; admitted < calls; admitted += turnsPerProgram) {
    programs.push(runProgram(site));
    await site.clock.advance(-Math.log(1 - random.next()) * meanMs);
  }
  await site.clock.advance(2 * turnsPerProgram * turnSize.engineMs);
  const waits = (await Promise.all(programs)).flat();
  const after = site.store.getCallCounts(holderName);
  return {
    callsPerSecond,
    calls: waits.length,
    writesPerCall: (after.writes - before.writes) / waits.length,
    readsPerCall: (after.reads - before.reads) / waits.length,
    p50WaitMs: getQuantile(waits, 0.5),
    p99WaitMs: getQuantile(waits, 0.99),
  };
}

async function runProgram(site: ProgramLoad): Promise<number[]> {
  const waits: number[] = [];
  let program: ProgramId | undefined;
  for (let turn = 0; turn < turnsPerProgram; turn += 1) {
    const result = await site.runTurn(turnSize, program);
    program = result.program;
    waits.push(result.waitMs);
  }
  return waits;
}
