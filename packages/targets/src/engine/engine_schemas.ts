/** Schemas that validate what engines send. */
import {type ModelId, toId} from '@marigoldpost/common';
import * as z from 'zod';

/** Schema of a load report. */
export const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  usedBlocks: z.number(),
  totalBlocks: z.number(),
  models: z.array(z.string().transform((text) => toId<ModelId>(text))),
});

/** Schema of a page of cache events. */
export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      kind: z.enum(['stored', 'removed', 'cleared']),
      blockHashes: z.array(z.string()),
    }),
  ),
  floorSequence: z.number().int(),
});

/** Schema of the data of an `end` event. */
export const endSchema = z.object({
  finishReason: z.enum(['stop', 'length']),
  promptTokens: z.number().int(),
  cachedTokens: z.number().int(),
  completionTokens: z.number().int(),
});
