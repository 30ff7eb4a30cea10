/** Turns and ledgers as messages between daemons and as entries on a disk. */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  type DataCentreId,
  type ProgramId,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  ArchiveLogEntrySchema,
  type ProgramLedger,
  ProgramLedgerSchema,
  type Turn,
  TurnPromptPartSchema,
  TurnSchema,
} from '@marigoldpost/peers';
import type {PromptPartId, TurnId} from '@marigoldpost/sites';
import type {LedgerEntry} from '../ledger/budget_ledger.js';
import type {DiskId} from '../log/disk_identity.js';
import type {TurnRecord} from './turn_record.js';

/** Entries of one program. */
export interface ProgramEntries {
  readonly program: ProgramId;
  readonly entries: readonly LedgerEntry[];
}

/** What one entry of an archive's log holds. */
export type ArchiveEntry =
  | {readonly kind: 'turn'; readonly turn: TurnRecord}
  | {readonly kind: 'ledger'; readonly ledger: ProgramEntries};

/**
 * Gets a turn as a message.
 * @param record - The turn.
 */
export function toTurnMessage(record: TurnRecord): Turn {
  return create(TurnSchema, {
    ...record,
    previous: record.previous ?? '',
    prompt: record.prompt.map((part) => create(TurnPromptPartSchema, part)),
    disks: [...record.disks],
  });
}

/**
 * Gets a turn from a message.
 * @param message - The message.
 */
export function fromTurnMessage(message: Turn): TurnRecord {
  const {previous} = message;
  return {
    id: toId<TurnId>(message.id),
    previous: previous === '' ? undefined : toId<TurnId>(previous),
    program: toId<ProgramId>(message.program),
    home: toId<DataCentreId>(message.home),
    input: message.input,
    output: message.output,
    tokens: message.tokens,
    retentionMs: message.retentionMs,
    target: toId<TargetId>(message.target),
    prompt: message.prompt.map(({id, tokens}) => ({
      id: toId<PromptPartId>(id),
      tokens,
    })),
    disks: message.disks.map((disk) => toId<DiskId>(disk)),
  };
}

/**
 * Gets a program's entries as a message.
 * @param ledger - The entries.
 */
export function toLedgerMessage(ledger: ProgramEntries): ProgramLedger {
  const {program, entries} = ledger;
  return create(ProgramLedgerSchema, {program, entries: [...entries]});
}

/**
 * Gets a program's entries from a message.
 * @param message - The message.
 */
export function fromLedgerMessage(message: ProgramLedger): ProgramEntries {
  return {
    program: toId<ProgramId>(message.program),
    entries: message.entries.map(({attempt, tokens, isSettled}) => ({
      attempt: toId<TurnId>(attempt),
      tokens,
      isSettled,
    })),
  };
}

/**
 * Gets the bytes of a log entry.
 * @param entry - The entry.
 */
export function encodeArchiveEntry(entry: ArchiveEntry): Uint8Array {
  const body =
    entry.kind === 'turn'
      ? {case: 'turn' as const, value: toTurnMessage(entry.turn)}
      : {case: 'ledger' as const, value: toLedgerMessage(entry.ledger)};
  return toBinary(ArchiveLogEntrySchema, create(ArchiveLogEntrySchema, {body}));
}

/**
 * Reads a log entry; nothing for a kind that this version does not know.
 * @param bytes - An intact entry.
 */
export function decodeArchiveEntry(
  bytes: Uint8Array,
): ArchiveEntry | undefined {
  const {body} = fromBinary(ArchiveLogEntrySchema, bytes);
  if (body.case === 'turn') {
    return {kind: 'turn', turn: fromTurnMessage(body.value)};
  }
  if (body.case === 'ledger') {
    return {kind: 'ledger', ledger: fromLedgerMessage(body.value)};
  }
  return undefined;
}
