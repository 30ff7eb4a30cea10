/** Table of all other known daemons. */
import {type DaemonId, type DataCentreId, toId} from '@marigoldpost/common';
import type {
  DaemonNews,
  Heartbeat,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {
  type MemberFacts,
  MemberRecord,
  toAnnouncedPartitions,
  toMemberFacts,
} from './member_record.js';
import type {MemberSeed} from './member_seed.js';

/** Silence after which a daemon is removed, in milliseconds. */
const memberRetentionMs = 600_000;

/** Time that the ages in a heartbeat are relative to, and its reliability. */
export interface HeartbeatTime {
  readonly baseMs: number;
  /**
   * Set for a reply, whose ages are relative to the sending of the request.
   * Only then are the ages never too low.
   */
  readonly isReply: boolean;
}

/** Merges heartbeats, gossip and seeds into one record for each daemon. */
export class MemberTable {
  private readonly records = new Map<DaemonId, MemberRecord>();

  private constructor(private readonly owner: DaemonId) {}

  /**
   * Creates an empty table.
   * @param owner - This daemon, which gets no record.
   */
  static create(owner: DaemonId): MemberTable {
    return new MemberTable(owner);
  }

  /** Gets all records, including daemons that only the VM list names. */
  getRecords(): MemberRecord[] {
    return [...this.records.values()];
  }

  /** Gets the records of daemons that a heartbeat, gossip or a lease proved. */
  getConfirmed(): MemberRecord[] {
    return this.getRecords().filter((record) => record.isConfirmed);
  }

  /**
   * Gets one record, confirmed or not.
   * @param daemon - Id of the daemon.
   */
  getRecord(daemon: DaemonId): MemberRecord | undefined {
    return this.records.get(daemon);
  }

  /**
   * Adds a daemon if it is unknown; updates the address of an unresponsive one.
   * @param seed - Data centre and address to contact it at.
   * @param isConfirmed - Whether it is known to be a daemon.
   */
  addSeed(seed: MemberSeed, isConfirmed: boolean): void {
    if (seed.daemon === this.owner) return;
    const record = this.getOrAdd(seed);
    record.isConfirmed ||= isConfirmed;
    if (record.missedAtMs > record.heardAtMs) record.address = seed.address;
  }

  /**
   * Merges a daemon's own heartbeat and the gossip in it.
   * @param heartbeat - Heartbeat as received.
   * @param time - Time that its ages are relative to.
   */
  applyHeartbeat(heartbeat: Heartbeat, time: HeartbeatTime): void {
    const daemon = toId<DaemonId>(heartbeat.daemon);
    const dataCentre = toId<DataCentreId>(heartbeat.dataCentre);
    const {address} = heartbeat;
    if (daemon !== this.owner) {
      const record = this.getOrAdd({daemon, dataCentre, address});
      record.merge(toHeartbeatFacts(heartbeat, time));
    }
    for (const news of heartbeat.news) this.applyGossip(news, time);
  }

  /**
   * Removes unresponsive daemons that are gone or long silent.
   * @param nowMs - Current time.
   * @param gone - Daemons that the VM list reports as gone.
   */
  removeDeparted(nowMs: number, gone: ReadonlySet<DaemonId>): void {
    for (const record of this.records.values()) {
      const isSilent = record.missedAtMs > record.heardAtMs;
      const isOld = nowMs - record.heardAtMs > memberRetentionMs;
      if (isSilent && (gone.has(record.daemon) || isOld)) {
        this.records.delete(record.daemon);
      }
    }
  }

  private applyGossip(
    news: DaemonNews,
    {baseMs, isReply}: HeartbeatTime,
  ): void {
    const daemon = toId<DaemonId>(news.daemon);
    if (daemon === this.owner) return;
    if (!this.records.has(daemon)) {
      if (news.isBrief || news.ageMs > memberRetentionMs) return;
      const dataCentre = toId<DataCentreId>(news.dataCentre);
      this.getOrAdd({daemon, dataCentre, address: news.address});
    }
    this.records.get(daemon)?.merge(toMemberFacts(news, baseMs, isReply));
  }

  private getOrAdd(seed: MemberSeed): MemberRecord {
    const known = this.records.get(seed.daemon);
    if (known !== undefined) return known;
    const record = MemberRecord.create(seed);
    this.records.set(seed.daemon, record);
    return record;
  }
}

function toHeartbeatFacts(
  heartbeat: Heartbeat,
  {baseMs, isReply}: HeartbeatTime,
): MemberFacts {
  return {
    incarnation: Number(heartbeat.incarnation),
    revision: Number(heartbeat.revision),
    isDraining: heartbeat.isDraining,
    reachesPlatform: heartbeat.reachesPlatform,
    configVersion: Number(heartbeat.configVersion),
    factsAtMs: baseMs,
    heardAtMs: isReply ? baseMs : undefined,
    details: {
      dataCentre: toId<DataCentreId>(heartbeat.dataCentre),
      address: heartbeat.address,
      partitions: toAnnouncedPartitions(heartbeat.partitions),
    },
  };
}
