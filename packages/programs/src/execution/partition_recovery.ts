/**
 * Recovery of a partition: seals its journal, replays it and applies the
 * uncommitted records that peers have copies of.
 */
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
import type {ProgramManagerOptions} from './program_manager_options.js';
import type {RecoveredCall} from './program_manager_types.js';
import {PartitionLog} from './partition_log.js';
import type {CopiedRecords, RecordCopier} from './record_copier.js';

/**
 * End of an epoch whose uncommitted records other daemons may have copies of.
 */
interface EpochTail {
  readonly epoch: Epoch;
  /** Sequence number of the first record that is not in the journal. */
  readonly nextSequence: number;
}

/**
 * Opens a partition and recovers its state. Throws `fenced`,
 * `store_unavailable`, `store_ambiguous`.
 * @param options - Partition, epoch and new holder.
 */
export async function openPartitionLog(
  options: ProgramManagerOptions,
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
  const copies = await fetchCopies(options, findEpochTail(replay));
  for (const record of copies) await log.commit(record, {isEssential: true});
  await log.commit({kind: 'partition_recovered'}, {isEssential: true});
  return log;
}

/**
 * Gets the repeatable calls that were running at the previous holder.
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

function createReader(options: ProgramManagerOptions): JournalReader {
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
  options: ProgramManagerOptions,
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
 * Finds the last epoch that accepted calls, and its end. Later epochs ended
 * during their recovery; their records are copies of that epoch's records.
 */
function findEpochTail(replay: Replay): EpochTail | undefined {
  const {records, snapshot} = replay;
  const recovery = records.findLast(({record}) => isRecoveryRecord(record));
  const epoch = recovery?.epoch ?? snapshot?.epoch;
  if (epoch === undefined) return undefined;
  const lastKnownSequence = recovery?.sequence ?? snapshot!.throughSequence;
  const later = records.filter((record) =>
    isAfter(record, epoch, lastKnownSequence),
  );
  return {epoch, nextSequence: lastKnownSequence + 1 + later.length};
}

function isAfter(
  record: ReplayedRecord,
  epoch: Epoch,
  sequence: number,
): boolean {
  if (record.epoch !== epoch) return record.epoch > epoch;
  return record.sequence > sequence;
}

function isRecoveryRecord(record: unknown): boolean {
  return parseProgramRecord(record).kind === 'partition_recovered';
}

/** Gets the records behind the journal's end that peers have copies of. */
async function fetchCopies(
  options: ProgramManagerOptions,
  tail: EpochTail | undefined,
): Promise<ProgramRecord[]> {
  const {copier, partition} = options;
  if (copier === undefined || tail === undefined) return [];
  const records: ProgramRecord[] = [];
  for (const copy of await fetchSortedCopies(copier, partition, tail.epoch)) {
    const overlap = tail.nextSequence + records.length - copy.firstSequence;
    if (overlap < 0) continue;
    for (const text of copy.records.slice(overlap)) {
      records.push(parseProgramRecord(JSON.parse(text)));
    }
  }
  return records;
}

async function fetchSortedCopies(
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
