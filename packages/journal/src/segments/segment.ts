/**
 * Segments: the objects that a partition's journal consists of. A segment's
 * ordinal grows by one over the life of the partition; the segment is kept in
 * the slot that is the ordinal's remainder. Writing a slot is conditional on its
 * version, so that only one writer can ever write an ordinal.
 */
import {
  toEpoch,
  toId,
  type DaemonId,
  type Epoch,
  type PartitionId,
} from '@marigoldpost/common';
import * as z from 'zod';

/** Slots of one partition. */
export const segmentSlots = 512;
/** Most bytes of one segment's records. */
export const maxSegmentBytes = 1_000_000;

const slotDigits = 4;

/** Where a snapshot is, and which records it stands for. */
export interface SnapshotReference {
  readonly epoch: Epoch;
  readonly nonce: string;
  readonly chunks: number;
  /** Segment of the last record that the snapshot covers. */
  readonly throughOrdinal: number;
  /** Sequence number, within the epoch, of that record. */
  readonly throughSequence: number;
}

/** What a segment says besides its records. */
export interface SegmentHeader {
  readonly ordinal: number;
  readonly epoch: Epoch;
  readonly writer: DaemonId;
  readonly nonce: string;
  /** Sequence number, within the epoch, of the first record. */
  readonly firstSequence: number;
  /** Makes a snapshot the start of the replay. */
  readonly snapshot?: SnapshotReference;
}

/** A segment; the first one of an epoch has no records and is its seal. */
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
 * Gets the start of the keys of a partition's segments.
 * @param partition - The partition.
 */
export function getSegmentPrefix(partition: PartitionId): string {
  return `journal/${partition}/`;
}

/**
 * Gets the key of a segment's slot.
 * @param partition - The partition.
 * @param ordinal - The segment's ordinal.
 */
export function getSegmentKey(partition: PartitionId, ordinal: number): string {
  const slot = String(ordinal % segmentSlots).padStart(slotDigits, '0');
  return `${getSegmentPrefix(partition)}${slot}`;
}

/**
 * Gets a segment as the value of an object.
 * @param header - What it says besides its records.
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
 * Reads a segment.
 * @param value - Value of a segment's object.
 */
export function parseSegment(value: string): Segment {
  return segmentSchema.parse(JSON.parse(value));
}
