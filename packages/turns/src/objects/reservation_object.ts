/**
 * Objects that hold the reservations that no majority with an archive of the
 * program's home has recorded; one for each process of an entry VM.
 */
import {
  MarigoldpostError,
  parseJson,
  type ProgramId,
  toId,
  toUint32,
} from '@marigoldpost/common';
import type {StoredObject} from '@marigoldpost/platform';
import type {TurnId} from '@marigoldpost/sites';
import * as z from 'zod';
import type {LedgerEntry} from '../ledger/budget_ledger.js';
import type {ProgramEntries} from '../records/turn_codec.js';

/** Key prefix of the objects. */
export const reservationPrefix = 'reservations/';

const ledgersSchema = z.array(
  z.object({
    program: z.string(),
    entries: z.array(
      z.object({
        attempt: z.string(),
        tokens: z.uint32(),
        isSettled: z.boolean(),
        openMs: z.uint32().optional(),
        isReported: z.boolean().optional(),
      }),
    ),
  }),
);

/**
 * Encodes the reservations of an entry VM.
 * @param ledgers - Entries by program.
 */
export function encodeReservations(ledgers: readonly ProgramEntries[]): string {
  const values = ledgers.map(({program, entries}) => ({
    program,
    entries: entries.map(({openMs, ...entry}) => ({
      ...entry,
      tokens: toUint32(entry.tokens),
      ...(openMs === undefined ? {} : {openMs: toUint32(openMs)}),
    })),
  }));
  return JSON.stringify(values);
}

/**
 * Decodes the reservations of an entry VM; `undefined` if they are malformed.
 * @param object - Object under `reservationPrefix`.
 */
export function decodeReservations({
  value,
}: StoredObject): ProgramEntries[] | undefined {
  const parsed = ledgersSchema.safeParse(parseJson(value));
  return parsed.data?.map(({program, entries}) => ({
    program: toId<ProgramId>(program),
    entries: entries.map(({attempt, ...entry}): LedgerEntry => ({
      attempt: toId<TurnId>(attempt),
      ...entry,
    })),
  }));
}

/**
 * Decodes the reservations of an entry VM. Throws `archive_unavailable` if they
 * are malformed, since it is then not known what is reserved.
 * @param object - Object under `reservationPrefix`.
 */
export function decodeReservationsOrThrow(
  object: StoredObject,
): ProgramEntries[] {
  const ledgers = decodeReservations(object);
  if (ledgers !== undefined) return ledgers;
  throw MarigoldpostError.create(
    'archive_unavailable',
    `the reservations in object "${object.key}" are malformed`,
  );
}
