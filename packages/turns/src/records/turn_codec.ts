/** Converts turns, ledgers and quarantines to peer messages and log entries, and back. */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  type DataCentreId,
  type ProgramId,
  type TargetId,
  type TenantId,
  toId,
  toUint32,
} from '@marigoldpost/common';
import {
  ArchiveLogEntrySchema,
  fromQuarantineMessage,
  type ProgramLedger,
  ProgramLedgerSchema,
  toQuarantineMessage,
  type Turn,
  TurnPromptPartSchema,
  TurnSchema,
} from '@marigoldpost/peers';
import type {PromptPartId, TurnId} from '@marigoldpost/sites';
import type {QuarantineEntry} from '@marigoldpost/targets';
import type {LedgerEntry} from '../ledger/budget_ledger.js';
import type {DiskId} from '../log/disk_identity.js';
import type {TurnRecord} from './turn_record.js';

/** Ledger entries of one program. */
export interface ProgramEntries {
  readonly program: ProgramId;
  readonly entries: readonly LedgerEntry[];
}

/** Content of one entry in an archive's log. */
export type ArchiveEntry =
  | {readonly kind: 'turn'; readonly turn: TurnRecord}
  | {readonly kind: 'ledger'; readonly ledger: ProgramEntries}
  | {readonly kind: 'quarantine'; readonly quarantine: QuarantineEntry};

/**
 * Converts a turn to a peer message.
 * @param record - Finished turn.
 */
export function toTurnMessage(record: TurnRecord): Turn {
  return create(TurnSchema, {
    ...record,
    previous: record.previous ?? '',
    tenant: record.tenant ?? '',
    tokens: toUint32(record.tokens),
    retentionMs: toUint32(record.retentionMs),
    prompt: record.prompt.map(({id, tokens}) =>
      create(TurnPromptPartSchema, {id, tokens: toUint32(tokens)}),
    ),
    disks: [...record.disks],
  });
}

/**
 * Converts a peer message to a turn; an empty `previous` means none.
 * @param message - Message that `toTurnMessage` created.
 */
export function fromTurnMessage(message: Turn): TurnRecord {
  const {previous, tenant} = message;
  return {
    id: toId<TurnId>(message.id),
    previous: previous === '' ? undefined : toId<TurnId>(previous),
    program: toId<ProgramId>(message.program),
    ...(tenant === '' ? {} : {tenant: toId<TenantId>(tenant)}),
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
 * Converts a program's ledger entries to a peer message.
 * @param ledger - Program and its entries.
 */
export function toLedgerMessage(ledger: ProgramEntries): ProgramLedger {
  const {program, entries} = ledger;
  return create(ProgramLedgerSchema, {
    program,
    entries: entries.map(({lapseMs, openMs, isReported = false, ...entry}) => ({
      ...entry,
      tokens: toUint32(entry.tokens),
      isReported,
      ...(lapseMs === undefined ? {} : {lapseMs: toUint32(lapseMs)}),
      ...(openMs === undefined ? {} : {openMs: toUint32(openMs)}),
    })),
  });
}

/**
 * Converts a peer message to a program's ledger entries.
 * @param message - Message that `toLedgerMessage` created.
 */
export function fromLedgerMessage(message: ProgramLedger): ProgramEntries {
  return {
    program: toId<ProgramId>(message.program),
    entries: message.entries.map((entry) => {
      const {attempt, tokens, isSettled, lapseMs, openMs, isReported} = entry;
      return {
        attempt: toId<TurnId>(attempt),
        tokens,
        isSettled,
        ...(isReported ? {isReported} : {}),
        ...(lapseMs === undefined ? {} : {lapseMs}),
        ...(openMs === undefined ? {} : {openMs}),
      };
    }),
  };
}

/**
 * Encodes a log entry as protobuf.
 * @param entry - Turn or ledger entries to store, or a quarantine.
 */
export function encodeArchiveEntry(entry: ArchiveEntry): Uint8Array {
  const body = toEntryBody(entry);
  return toBinary(ArchiveLogEntrySchema, create(ArchiveLogEntrySchema, {body}));
}

function toEntryBody(entry: ArchiveEntry) {
  switch (entry.kind) {
    case 'turn':
      return {case: 'turn' as const, value: toTurnMessage(entry.turn)};
    case 'ledger':
      return {case: 'ledger' as const, value: toLedgerMessage(entry.ledger)};
    case 'quarantine':
      return {
        case: 'quarantine' as const,
        value: toQuarantineMessage(entry.quarantine),
      };
  }
}

/**
 * Decodes a log entry; `undefined` for a kind that this version does not know.
 * @param bytes - Payload of an intact entry.
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
  if (body.case === 'quarantine') {
    return {kind: 'quarantine', quarantine: fromQuarantineMessage(body.value)};
  }
  return undefined;
}
