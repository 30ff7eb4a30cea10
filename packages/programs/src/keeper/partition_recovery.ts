/** Opens a partition: seals its journal, replays it and takes copies in. */
import {
  isErrorOfKind,
  type Epoch,
  type PartitionId,
} from '@marigoldpost/common';
import {
  Journal,
  JournalReader,
  type Replay,
  type ReplayedRecord,
} from '@marigoldpost/journal';
import {
  parseProgramRecord,
  type ProgramRecord,
} from '../records/program_record.js';
import {PartitionState} from '../state/partition_state.js';
import {isRepeatable} from '../state/program_state.js';
import type {ProgramKeeperOptions} from './keeper_options.js';
import type {RecoveredCall} from './keeper_types.js';
import {PartitionLog} from './partition_log.js';
import type {CopiedRecords, RecordCopier} from './record_copier.js';

/** An epoch whose uncommitted records may be known to other daemons. */
interface EpochEnd {
  readonly epoch: Epoch;
  /** Sequence number of the first record that is not in the journal. */
  readonly nextSequence: number;
}

/**
 * Opens a partition. Throws `fenced`, `store_unavailable`, `store_ambiguous`.
 * @param options - The partition and its new holder.
 */
export async function openPartitionLog(
  options: ProgramKeeperOptions,
): Promise<PartitionLog> {
  const replay = await createReader(options).sealAndReplay();
  const state = PartitionState.create();
  for (const record of replay.snapshotRecords) {
    state.apply(parseProgramRecord(record));
  }
  for (const {record} of replay.records) {
    state.apply(parseProgramRecord(record));
  }
  const log = createLog(options, replay, state);
  const copies = await fetchCopies(options, findEpochEnd(replay));
  for (const record of copies) await log.commit(record, {isEssential: true});
  await log.commit({kind: 'partition_recovered'}, {isEssential: true});
  return log;
}

/**
 * Gets the calls that a previous holder left under way.
 * @param state - State after the recovery.
 */
export function findRecoveredCalls(state: PartitionState): RecoveredCall[] {
  const recovered: RecoveredCall[] = [];
  for (const program of state.getPrograms()) {
    for (const {call, state, target, traits} of program.calls) {
      if (state !== 'running' || call === undefined) continue;
      if (!isRepeatable(traits, call.idempotencyKey)) continue;
      recovered.push({
        call: {...call, program: program.program},
        traits,
        target,
      });
    }
  }
  return recovered;
}

function createReader(options: ProgramKeeperOptions): JournalReader {
  const {daemon, epoch, partition, random, store} = options;
  return JournalReader.create({
    store,
    random,
    partition,
    epoch,
    writer: daemon,
  });
}

function createLog(
  options: ProgramKeeperOptions,
  replay: Replay,
  state: PartitionState,
): PartitionLog {
  const {copier, daemon, epoch, partition} = options;
  const {clock, random, store} = options;
  const journal = Journal.create<ProgramRecord>({
    store,
    clock,
    random,
    partition,
    epoch,
    writer: daemon,
    tail: replay.tail,
    getMaxUncommittedBytes: options.getMaxUncommittedBytes,
    getSnapshot: () => state.toSnapshot(),
    onFenced: options.onFenced,
    stallMs: options.stallMs,
  });
  return PartitionLog.create({partition, epoch, journal, state, copier});
}

/**
 * Finds the last epoch that was open for calls. Records of later epochs, which
 * ended before they were open, are copies that were taken in.
 */
function findEpochEnd(replay: Replay): EpochEnd | undefined {
  const {records, snapshot} = replay;
  const opening = records.findLast(({record}) => isOpening(record));
  const epoch = opening?.epoch ?? snapshot?.epoch;
  if (epoch === undefined) return undefined;
  const before = opening?.sequence ?? snapshot!.throughSequence;
  const later = records.filter((record) => isAfter(record, epoch, before));
  return {epoch, nextSequence: before + 1 + later.length};
}

function isAfter(
  record: ReplayedRecord,
  epoch: Epoch,
  sequence: number,
): boolean {
  if (record.epoch !== epoch) return record.epoch > epoch;
  return record.sequence > sequence;
}

function isOpening(record: unknown): boolean {
  return parseProgramRecord(record).kind === 'partition_recovered';
}

/** Gets the records that follow the journal's end, as far as peers know them. */
async function fetchCopies(
  options: ProgramKeeperOptions,
  end: EpochEnd | undefined,
): Promise<ProgramRecord[]> {
  const {copier, partition} = options;
  if (copier === undefined || end === undefined) return [];
  const records: ProgramRecord[] = [];
  for (const copy of await tryToFetch(copier, partition, end.epoch)) {
    const known = end.nextSequence + records.length - copy.firstSequence;
    if (known < 0) continue;
    for (const text of copy.records.slice(known)) {
      records.push(parseProgramRecord(JSON.parse(text)));
    }
  }
  return records;
}

async function tryToFetch(
  copier: RecordCopier,
  partition: PartitionId,
  epoch: Epoch,
): Promise<readonly CopiedRecords[]> {
  try {
    const copies = await copier.fetchCopies(partition, epoch);
    return copies.toSorted(
      (left, right) => left.firstSequence - right.firstSequence,
    );
  } catch (error) {
    if (!isErrorOfKind(error)) throw error;
    return [];
  }
}
