/**
 * Segments: the objects that a partition's journal consists of. Ordinals of
 * segments increase by one over the lifetime of the partition. The slot of a
 * segment is its ordinal modulo the number of slots. A slot is written on the
 * condition of its version, so that only one writer can ever write an ordinal.
 */
import {
  toEpoch,
  toId,
  type DaemonId,
  type Epoch,
  type PartitionId,
} from '@marigoldpost/common';
import * as z from 'zod';

/** Number of slots of one partition's journal. */
export const segmentSlots = 512;
/** Maximum size of the records of one segment, in bytes. */
export const maxSegmentBytes = 1_000_000;

const slotDigits = 4;

/** Name and size of a snapshot, and the last record that it replaces. */
export interface SnapshotReference {
  readonly epoch: Epoch;
  readonly nonce: string;
  readonly chunks: number;
  /** Segment of the last record that the snapshot covers. */
  readonly throughOrdinal: number;
  /** Sequence number, within the epoch, of that record. */
  readonly throughSequence: number;
}

/** All fields of a segment but its records. */
export interface SegmentHeader {
  readonly ordinal: number;
  readonly epoch: Epoch;
  readonly writer: DaemonId;
  readonly nonce: string;
  /** Sequence number, within the epoch, of the first record. */
  readonly firstSequence: number;
  /** Snapshot from which a replay starts, from this segment on. */
  readonly snapshot?: SnapshotReference;
}

/**
 * A segment with its records. The first one of an epoch, its seal, is empty.
 */
export interface Segment extends SegmentHeader {
  readonly records: readonly unknown[];
}

const epochSchema = z.number().transform(toEpoch);
const segmentSchema = z.object({
  ordinal: z.number(),
  epoch: epochSchema,
  writer: z.string().transform((text) => toId<DaemonId>(text)),
  nonce: z.string(),
  firstSequence: z.number(),
  snapshot: z
    .object({
      epoch: epochSchema,
      nonce: z.string(),
      chunks: z.number(),
      throughOrdinal: z.number(),
      throughSequence: z.number(),
    })
    .optional(),
  records: z.array(z.unknown()),
});

/**
 * Gets the key prefix of a partition's segments.
 * @param partition - Partition id.
 */
export function getSegmentPrefix(partition: PartitionId): string {
  return `journal/${partition}/`;
}

/**
 * Gets the key of a segment's slot.
 * @param partition - Partition id.
 * @param ordinal - Ordinal of the segment, from 0.
 */
export function getSegmentKey(partition: PartitionId, ordinal: number): string {
  const slot = String(ordinal % segmentSlots).padStart(slotDigits, '0');
  return `${getSegmentPrefix(partition)}${slot}`;
}

/**
 * Encodes a segment as the JSON value of an object.
 * @param header - All fields of the segment but its records.
 * @param records - JSON text of each record.
 */
export function encodeSegment(
  header: SegmentHeader,
  records: readonly string[],
): string {
  const start = JSON.stringify(header).slice(0, -1);
  return `${start},"records":[${records.join(',')}]}`;
}

/**
 * Parses a segment; throws when the value is not one.
 * @param value - JSON value of a segment's object.
 */
export function parseSegment(value: string): Segment {
  return segmentSchema.parse(JSON.parse(value));
}
