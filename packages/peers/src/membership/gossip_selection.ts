/** Selects the gossip about other daemons that one heartbeat carries. */
import {create} from '@bufbuild/protobuf';
import type {DataCentreId, Random} from '@marigoldpost/common';
import {
  type DaemonNews,
  DaemonNewsSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import type {MemberRecord} from './member_record.js';

/** Estimated size limit of the gossip in one heartbeat, in bytes. */
const maxGossipBytes = 128;
const briefEntryBytes = 32;
const fullEntryBytes = 48;
const partitionEntryBytes = 8;

/** Minimum number of times that each daemon sends one change. */
const minSendsPerChange = 8;

/** Probability that a message without changes repeats one daemon in full. */
const repeatProbability = 0.25;

/** Inputs to the selection besides the records. */
export interface GossipContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly ownDataCentre: DataCentreId;
}

/**
 * Selects the changes that the fewest messages have carried. A message without
 * changes sometimes repeats one daemon in full, for peers that missed its
 * change. The remaining bytes carry ages of daemons of the own data centre.
 * Counts the selected changes as sent.
 * @param records - Confirmed daemons.
 * @param context - Time, randomness and own data centre.
 */
export function selectGossip(
  records: readonly MemberRecord[],
  context: GossipContext,
): DaemonNews[] {
  const chosen = selectFullRecords(records, context);
  const remainingBytes = maxGossipBytes - sum(chosen.map(getFullEntryBytes));
  const briefs = selectBriefRecords(records, chosen, context, remainingBytes);
  return [
    ...chosen.map((record) => toFullEntry(record, context.nowMs)),
    ...briefs.map((record) => toBriefEntry(record, context.nowMs)),
  ];
}

/**
 * Creates a full gossip entry, with address, data centre and partitions.
 * @param record - Daemon that the entry is about.
 * @param nowMs - Time that the ages in the entry are relative to.
 */
export function toFullEntry(record: MemberRecord, nowMs: number): DaemonNews {
  return create(DaemonNewsSchema, {
    ...getBriefFields(record, nowMs),
    isBrief: false,
    dataCentre: record.dataCentre,
    address: record.address,
    partitions: record.partitions.map(({partition, epoch}) => ({
      partition,
      epoch: BigInt(epoch),
    })),
  });
}

function selectFullRecords(
  records: readonly MemberRecord[],
  {random}: GossipContext,
): MemberRecord[] {
  const known = records.filter((record) => record.revision >= 0);
  const maxSendsPerChange = Math.max(
    minSendsPerChange,
    Math.ceil(Math.log2(known.length + 2)),
  );
  const changedRecords = known
    .filter((record) => record.gossipSendCount < maxSendsPerChange)
    .sort((left, right) => left.gossipSendCount - right.gossipSendCount);
  const chosen = limitByBytes(changedRecords, maxGossipBytes);
  for (const record of chosen) record.gossipSendCount += 1;
  if (chosen.length > 0 || random.next() >= repeatProbability) return chosen;
  const repeated = known[random.nextInteger(known.length)];
  return repeated === undefined ? [] : [repeated];
}

function limitByBytes(
  records: readonly MemberRecord[],
  maxBytes: number,
): MemberRecord[] {
  const selected: MemberRecord[] = [];
  let bytes = 0;
  for (const record of records) {
    bytes += getFullEntryBytes(record);
    if (bytes > maxBytes && selected.length > 0) break;
    selected.push(record);
  }
  return selected;
}

function selectBriefRecords(
  records: readonly MemberRecord[],
  chosen: readonly MemberRecord[],
  {random, ownDataCentre}: GossipContext,
  bytes: number,
): MemberRecord[] {
  const candidates = records.filter(
    (record) =>
      record.dataCentre === ownDataCentre &&
      Number.isFinite(record.heardAtMs) &&
      !chosen.includes(record),
  );
  const briefs: MemberRecord[] = [];
  let remainingBytes = bytes;
  while (candidates.length > 0) {
    const index = random.nextInteger(candidates.length);
    const [record] = candidates.splice(index, 1);
    if (record === undefined) break;
    remainingBytes -= briefEntryBytes + record.daemon.length;
    if (remainingBytes < 0) break;
    briefs.push(record);
  }
  return briefs;
}

function toBriefEntry(record: MemberRecord, nowMs: number): DaemonNews {
  return create(DaemonNewsSchema, getBriefFields(record, nowMs));
}

function getBriefFields(record: MemberRecord, nowMs: number) {
  const {refusedAtMs} = record;
  return {
    daemon: record.daemon,
    incarnation: BigInt(record.incarnation),
    revision: BigInt(Math.max(0, record.revision)),
    ageMs: nowMs - record.heardAtMs,
    refusedAgeMs: Number.isFinite(refusedAtMs)
      ? nowMs - refusedAtMs
      : undefined,
    isDraining: record.isDraining,
    reachesPlatform: record.reachesPlatform,
    configVersion: BigInt(record.configVersion),
    isBrief: true,
  };
}

function getFullEntryBytes(record: MemberRecord): number {
  const {daemon, dataCentre, address, partitions} = record;
  const texts = daemon.length + dataCentre.length + address.length;
  const held = partitions.map(
    ({partition}) => partition.length + partitionEntryBytes,
  );
  return fullEntryBytes + texts + sum(held);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
