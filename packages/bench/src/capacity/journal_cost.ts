/** Measures journal writes and commit waits per call, in virtual time. */
import {type ProgramId, SeededRandom} from '@marigoldpost/common';
import {getQuantile} from '../utils/statistics.js';
import {holderName, TurnRunner, type TurnSize} from './turn_runner.js';

const storeMs = 5;
const turnsPerProgram = 10;
const msPerSecond = 1000;
const turnSize: TurnSize = {
  promptCharacters: 800,
  completionTokens: 100,
  engineMs: 3000,
};

/** Rate and number of calls. */
export interface JournalLoad {
  readonly callsPerSecond: number;
  /** Number of calls; a multiple of 10, the turns of a program. */
  readonly calls: number;
}

/** Journal cost per call. */
export interface JournalCost {
  readonly callsPerSecond: number;
  readonly calls: number;
  readonly writesPerCall: number;
  readonly readsPerCall: number;
  /** Wait for commits before the dispatch and after the answer. */
  readonly p50WaitMs: number;
  readonly p99WaitMs: number;
}

/**
 * Measures one partition on a platform whose calls take 5 ms.
 * @param load - Rate and number of calls.
 */
export async function measureJournalCost(
  load: JournalLoad,
): Promise<JournalCost> {
  const {callsPerSecond, calls} = load;
  const runner = await TurnRunner.create(storeMs);
  const before = runner.store.getCallCounts(holderName);
  const random = SeededRandom.create(1);
  const meanMs = (msPerSecond * turnsPerProgram) / callsPerSecond;
  const programs: Array<Promise<number[]>> = [];
  for (let admitted = 0; admitted < calls; admitted += turnsPerProgram) {
    programs.push(runProgram(runner));
    await runner.clock.advance(-Math.log(1 - random.next()) * meanMs);
  }
  await runner.clock.advance(2 * turnsPerProgram * turnSize.engineMs);
  const waits = (await Promise.all(programs)).flat();
  const after = runner.store.getCallCounts(holderName);
  return {
    callsPerSecond,
    calls: waits.length,
    writesPerCall: (after.writes - before.writes) / waits.length,
    readsPerCall: (after.reads - before.reads) / waits.length,
    p50WaitMs: getQuantile(waits, 0.5),
    p99WaitMs: getQuantile(waits, 0.99),
  };
}

async function runProgram(runner: TurnRunner): Promise<number[]> {
  const waits: number[] = [];
  let program: ProgramId | undefined;
  for (let turn = 0; turn < turnsPerProgram; turn += 1) {
    const result = await runner.runTurn(turnSize, program);
    program = result.program;
    waits.push(result.waitMs);
  }
  return waits;
}
