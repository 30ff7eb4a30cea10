/** Every other daemon that is known. */
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

/** A daemon unheard of for this long is forgotten, in milliseconds. */
const forgetAfterMs = 600_000;

/** When a message's ages count from, and whether they can be relied on. */
export interface MessageTime {
  readonly baseMs: number;
  /** Set for a reply, whose ages count from the sending of the request. */
  readonly isReply: boolean;
}

/** Records by daemon. */
export class MemberTable {
  private readonly records = new Map<DaemonId, MemberRecord>();

  private constructor(private readonly owner: DaemonId) {}

  /**
   * Creates an empty table.
   * @param owner - The daemon itself, which has no record.
   */
  static create(owner: DaemonId): MemberTable {
    return new MemberTable(owner);
  }

  /** Gets every record, also of daemons that only a VM list names. */
  getRecords(): MemberRecord[] {
    return [...this.records.values()];
  }

  /** Gets the records of daemons that have announced themselves. */
  getConfirmed(): MemberRecord[] {
    return this.getRecords().filter((record) => record.isConfirmed);
  }

  /**
   * Gets one record.
   * @param daemon - Its daemon.
   */
  getRecord(daemon: DaemonId): MemberRecord | undefined {
    return this.records.get(daemon);
  }

  /**
   * Adds a daemon that may exist; corrects the address of a silent one.
   * @param seed - Where it may be found.
   * @param isConfirmed - Whether it surely is a daemon.
   */
  addSeed(seed: MemberSeed, isConfirmed: boolean): void {
    if (seed.daemon === this.owner) return;
    const record = this.getOrAdd(seed);
    record.isConfirmed ||= isConfirmed;
    if (record.missedAtMs > record.heardAtMs) record.address = seed.address;
  }

  /**
   * Takes in a daemon's own heartbeat and the news in it.
   * @param heartbeat - The heartbeat.
   * @param time - When its ages count from.
   */
  applyHeartbeat(heartbeat: Heartbeat, time: MessageTime): void {
    const daemon = toId<DaemonId>(heartbeat.daemon);
    const dataCentre = toId<DataCentreId>(heartbeat.dataCentre);
    const {address} = heartbeat;
    if (daemon !== this.owner) {
      const record = this.getOrAdd({daemon, dataCentre, address});
      record.merge(toOwnFacts(heartbeat, time));
    }
    for (const news of heartbeat.news) this.applyNews(news, time);
  }

  /**
   * Forgets daemons that have left.
   * @param nowMs - Now.
   * @param gone - Daemons that the VM list calls gone.
   */
  removeLost(nowMs: number, gone: ReadonlySet<DaemonId>): void {
    for (const record of this.records.values()) {
      const isSilent = record.missedAtMs > record.heardAtMs;
      const isOld = nowMs - record.heardAtMs > forgetAfterMs;
      if (isSilent && (gone.has(record.daemon) || isOld)) {
        this.records.delete(record.daemon);
      }
    }
  }

  private applyNews(news: DaemonNews, {baseMs, isReply}: MessageTime): void {
    const daemon = toId<DaemonId>(news.daemon);
    if (daemon === this.owner) return;
    if (!this.records.has(daemon)) {
      if (news.isBrief || news.ageMs > forgetAfterMs) return;
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

function toOwnFacts(
  heartbeat: Heartbeat,
  {baseMs, isReply}: MessageTime,
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
