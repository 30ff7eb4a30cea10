/** Files with the results of experiments. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {ExperimentResult} from '@marigoldpost/bench';
import * as z from 'zod';
import {readText} from './read_text.js';

const figure = z.number();

const resultSchema = z.object({
  rows: z
    .array(
      z.object({
        workload: z.string(),
        policy: z.string(),
        role: z.string(),
        load: figure,
        seed: figure,
        cacheWeight: figure,
        eventGapRate: figure,
        programs: figure,
        doneShare: figure,
        refusedShare: figure,
        goodputPerSecond: figure,
        meanLatencyMs: figure,
        p95LatencyMs: figure,
        meanActiveMs: figure,
        p95ActiveMs: figure,
        p95ImmediateMs: figure,
        wastedShare: figure,
        wastedBlockSeconds: figure,
        hitShare: figure,
      }),
    )
    .min(1),
});

/**
 * Reads a file that `bench run --output` wrote; throws `invalid_request` for
 * any other.
 * @param path - Its path.
 */
export async function readExperiment(path: string): Promise<ExperimentResult> {
  const text = await readText(path);
  try {
    return resultSchema.parse(JSON.parse(text));
  } catch {
    const message = `file "${path}" was not written by "bench run --output"`;
    throw MarigoldpostError.create('invalid_request', message);
  }
}
