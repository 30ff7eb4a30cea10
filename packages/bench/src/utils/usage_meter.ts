/** Processor time and memory of this process. */
import {setImmediate} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const microsPerMs = 1000;
const collectRounds = 3;

/** What a piece of work cost. */
export interface Usage {
  readonly processorMs: number;
  /** Growth of the heap, after a collection before and behind the work. */
  readonly heapBytes: number;
}

/**
 * Measures a piece of work.
 * @param run - The work; what it keeps must stay referenced by the caller.
 */
export async function measureUsage(run: () => Promise<void>): Promise<Usage> {
  const heapBefore = await getSettledHeapBytes();
  const processorBefore = process.cpuUsage();
  await run();
  const {user, system} = process.cpuUsage(processorBefore);
  const heapBytes = (await getSettledHeapBytes()) - heapBefore;
  return {processorMs: (user + system) / microsPerMs, heapBytes};
}

/** Collects until continuations and finalizers hold on to nothing more. */
async function getSettledHeapBytes(): Promise<number> {
  for (let round = 0; round < collectRounds; round += 1) {
    getCollectedHeapBytes();
    await setImmediate();
  }
  return getCollectedHeapBytes();
}

/** Gets the heap in use after a collection. */
export function getCollectedHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
