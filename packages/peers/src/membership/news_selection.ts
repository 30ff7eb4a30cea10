/** Chooses the news of other daemons that one heartbeat carries. */
import {create} from '@bufbuild/protobuf';
import type {DataCentreId, Random} from '@marigoldpost/common';
import {
  type DaemonNews,
  DaemonNewsSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import type {MemberRecord} from './member_record.js';

/** Bytes of news in one heartbeat. */
const maxNewsBytes = 128;
const briefNewsBytes = 32;
const fullNewsBytes = 48;
const partitionBytes = 8;

/** Sends of one change by each daemon, at least. */
const minSends = 8;

/** Share of the messages without changes that repeat one daemon in full. */
const repeatShare = 0.25;

/** What the choice depends on. */
export interface NewsContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly ownDataCentre: DataCentreId;
}

/**
 * Chooses changes that few messages have carried; now and then one daemon in
 * full, for those who missed its change; then ages in the own data centre.
 * @param records - Daemons that are known.
 * @param context - Time, randomness, own data centre.
 */
export function selectNews(
  records: readonly MemberRecord[],
  context: NewsContext,
): DaemonNews[] {
  const chosen = selectFull(records, context);
  const left = maxNewsBytes - sum(chosen.map(getFullBytes));
  const briefs = selectBrief(records, chosen, context, left);
  return [
    ...chosen.map((record) => toFullNews(record, context.nowMs)),
    ...briefs.map((record) => toBriefNews(record, context.nowMs)),
  ];
}

/**
 * Gets one daemon's news with everything that is known.
 * @param record - The daemon.
 * @param nowMs - Now.
 */
export function toFullNews(record: MemberRecord, nowMs: number): DaemonNews {
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

function selectFull(
  records: readonly MemberRecord[],
  {random}: NewsContext,
): MemberRecord[] {
  const known = records.filter((record) => record.revision >= 0);
  const maxSends = Math.max(minSends, Math.ceil(Math.log2(known.length + 2)));
  const changes = known
    .filter((record) => record.newsSends < maxSends)
    .sort((left, right) => left.newsSends - right.newsSends);
  const chosen = takeWithinBytes(changes, maxNewsBytes);
  for (const record of chosen) record.newsSends += 1;
  if (chosen.length > 0 || random.next() >= repeatShare) return chosen;
  const repeated = known[random.nextInteger(known.length)];
  return repeated === undefined ? [] : [repeated];
}

function takeWithinBytes(
  records: readonly MemberRecord[],
  maxBytes: number,
): MemberRecord[] {
  const taken: MemberRecord[] = [];
  let bytes = 0;
  for (const record of records) {
    bytes += getFullBytes(record);
    if (bytes > maxBytes && taken.length > 0) break;
    taken.push(record);
  }
  return taken;
}

function selectBrief(
  records: readonly MemberRecord[],
  chosen: readonly MemberRecord[],
  {random, ownDataCentre}: NewsContext,
  bytes: number,
): MemberRecord[] {
  const candidates = records.filter(
    (record) =>
      record.dataCentre === ownDataCentre &&
      Number.isFinite(record.heardAtMs) &&
      !chosen.includes(record),
  );
  const briefs: MemberRecord[] = [];
  let left = bytes;
  while (candidates.length > 0) {
    const index = random.nextInteger(candidates.length);
    const [record] = candidates.splice(index, 1);
    if (record === undefined) break;
    left -= briefNewsBytes + record.daemon.length;
    if (left < 0) break;
    briefs.push(record);
  }
  return briefs;
}

function toBriefNews(record: MemberRecord, nowMs: number): DaemonNews {
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

function getFullBytes(record: MemberRecord): number {
  const {daemon, dataCentre, address, partitions} = record;
  const texts = daemon.length + dataCentre.length + address.length;
  const held = partitions.map(
    ({partition}) => partition.length + partitionBytes,
  );
  return fullNewsBytes + texts + sum(held);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
