/** Measures CPU time and heap memory of this process. */
import {setImmediate} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const microsPerMs = 1000;
const collectRounds = 3;

/** CPU time and heap growth of a piece of work. */
export interface Usage {
  readonly processorMs: number;
  /** Heap growth; garbage is collected before and after the work. */
  readonly heapBytes: number;
}

/**
 * Measures a piece of work.
 * @param run - Work to measure. The caller must keep references to the objects
 *     whose memory counts.
 */
export async function measureUsage(run: () => Promise<void>): Promise<Usage> {
  const heapBefore = await getStableHeapBytes();
  const processorBefore = process.cpuUsage();
  await run();
  const {user, system} = process.cpuUsage(processorBefore);
  const heapBytes = (await getStableHeapBytes()) - heapBefore;
  return {processorMs: (user + system) / microsPerMs, heapBytes};
}

/**
 * Gets the heap size after repeated collections, between which continuations
 * and finalizers run and release their objects.
 */
async function getStableHeapBytes(): Promise<number> {
  for (let round = 0; round < collectRounds; round += 1) {
    getCollectedHeapBytes();
    await setImmediate();
  }
  return getCollectedHeapBytes();
}

/** Gets the used heap size after a garbage collection. */
export function getCollectedHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
