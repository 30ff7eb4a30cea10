/**
 * Objects that hold finished turns until enough disks store them. Turns are
 * written in batches; a batch that exceeds the size of one object has several
 * parts.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {parseJson} from '@marigoldpost/common';
import {StoreTurnsSchema} from '@marigoldpost/peers';
import type {StoredObject} from '@marigoldpost/platform';
import * as z from 'zod';
import {fromTurnMessage, toTurnMessage} from '../records/turn_codec.js';
import type {TurnRecord} from '../records/turn_record.js';

/** Key prefix of the objects. */
export const turnObjectPrefix = 'turns/';

/** Limit of the bytes in one part: as base64, 700 of the 1,024 KB of an object. */
const maxPartBytes = 512 * 1024;

const partSchema = z.object({
  batch: z.string(),
  part: z.int().nonnegative(),
  parts: z.int().positive(),
  data: z.base64(),
});

/** One part of a batch, as an object holds it. */
export type TurnBatchPart = z.infer<typeof partSchema>;

/**
 * Encodes a batch of turns as values of objects, one for each part.
 * @param batch - Name of the batch, unique in the site.
 * @param records - Finished turns.
 */
export function encodeTurnBatch(
  batch: string,
  records: readonly TurnRecord[],
): StoredObject['value'][] {
  const turns = records.map(toTurnMessage);
  const message = create(StoreTurnsSchema, {turns});
  const bytes = Buffer.from(toBinary(StoreTurnsSchema, message));
  const parts = Math.ceil(bytes.byteLength / maxPartBytes);
  return Array.from({length: parts}, (_, part) => {
    const startByte = part * maxPartBytes;
    const chunk = bytes.subarray(startByte, startByte + maxPartBytes);
    const content: TurnBatchPart = {
      batch,
      part,
      parts,
      data: chunk.toString('base64'),
    };
    return JSON.stringify(content);
  });
}

/**
 * Decodes one part of a batch; `undefined` if it is malformed.
 * @param object - Object under `turnObjectPrefix`.
 */
export function decodeTurnBatchPart({
  value,
}: StoredObject): TurnBatchPart | undefined {
  const parsed = partSchema.safeParse(parseJson(value));
  return parsed.success ? parsed.data : undefined;
}

/**
 * Joins the parts of one batch; `undefined` while a part is missing, and if the
 * parts are malformed.
 * @param parts - Parts of the batch, in any order.
 */
export function joinTurnBatch(
  parts: readonly TurnBatchPart[],
): TurnRecord[] | undefined {
  const sorted = parts.toSorted((left, right) => left.part - right.part);
  const isWhole =
    sorted.length > 0 &&
    sorted.every(
      (part, index) => part.part === index && part.parts === sorted.length,
    );
  if (!isWhole) return undefined;
  const bytes = Buffer.concat(
    sorted.map(({data}) => Buffer.from(data, 'base64')),
  );
  try {
    return fromBinary(StoreTurnsSchema, bytes).turns.map(fromTurnMessage);
  } catch {
    return undefined;
  }
}
