/** Reads the result files of experiments. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {ExperimentResult} from '@marigoldpost/bench';
import * as z from 'zod';
import {readText} from './read_text.js';

const numberSchema = z.number();

const resultSchema = z.object({
  rows: z
    .array(
      z.object({
        workload: z.string(),
        policy: z.string(),
        role: z.string(),
        load: numberSchema,
        seed: numberSchema,
        cacheWeight: numberSchema,
        eventGapRate: numberSchema,
        programs: numberSchema,
        doneShare: numberSchema,
        refusedShare: numberSchema,
        goodputPerSecond: numberSchema,
        meanLatencyMs: numberSchema,
        p95LatencyMs: numberSchema,
        meanActiveMs: numberSchema,
        p95ActiveMs: numberSchema,
        p95ImmediateMs: numberSchema,
        wastedShare: numberSchema,
        wastedBlockSeconds: numberSchema,
        hitShare: numberSchema,
      }),
    )
    .min(1),
});

/**
 * Reads a file written by `bench run --output`; throws `invalid_request` when
 * the file can't be read or holds anything else.
 * @param path - Path of the file.
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
