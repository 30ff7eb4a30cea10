/** What is known of one other daemon. */
import {
  type DaemonId,
  type DataCentreId,
  type PartitionId,
  toEpoch,
  toId,
} from '@marigoldpost/common';
import type {
  AnnouncedPartition,
  FleetMember,
  MemberState,
} from '@marigoldpost/platform';
import type {
  DaemonNews,
  HeldPartition,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import type {MemberSeed} from './member_seed.js';

const never = Number.NEGATIVE_INFINITY;

/** Facts of a daemon, from itself or passed on. */
export interface MemberFacts {
  readonly incarnation: number;
  readonly revision: number;
  readonly isDraining: boolean;
  readonly reachesPlatform: boolean;
  readonly configVersion: number;
  /** When the facts were true, on the own clock, in milliseconds. */
  readonly factsAtMs: number;
  /** When the daemon surely still ran; only replies to own requests tell. */
  readonly heardAtMs?: number;
  readonly refusedAtMs?: number;
  /** Absent in brief news. */
  readonly details?: MemberDetails;
}

/** The part of the facts that seldom changes. */
export interface MemberDetails {
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly partitions: readonly AnnouncedPartition[];
}

/** One other daemon. */
export class MemberRecord {
  readonly daemon: DaemonId;
  dataCentre: DataCentreId;
  address: string;
  incarnation = 0;
  revision = -1;
  partitions: readonly AnnouncedPartition[] = [];
  isDraining = false;
  reachesPlatform = true;
  configVersion = 0;
  heardAtMs = never;
  refusedAtMs = never;
  missedAtMs = never;
  lastBeatMs = never;
  isBeatPending = false;
  /** Grows with each change of what others see, but for state and age. */
  changes = 0;
  /** Whether the daemon has announced itself, or a lease names it. */
  isConfirmed = false;
  /** Messages that have carried the newest change. */
  newsSends = 0;
  private factsAtMs = never;

  private constructor(seed: MemberSeed) {
    this.daemon = seed.daemon;
    this.dataCentre = seed.dataCentre;
    this.address = seed.address;
  }

  /**
   * Creates the record of a daemon not yet heard of.
   * @param seed - Where it may be found.
   */
  static create(seed: MemberSeed): MemberRecord {
    return new MemberRecord(seed);
  }

  /**
   * Takes in facts; older ones are ignored.
   * @param facts - The facts.
   */
  merge(facts: MemberFacts): void {
    if (facts.incarnation < this.incarnation) return;
    if (facts.incarnation > this.incarnation) this.beginLife(facts.incarnation);
    this.mergeDetails(facts);
    this.mergeFlags(facts);
    this.configVersion = Math.max(this.configVersion, facts.configVersion);
    this.heardAtMs = Math.max(this.heardAtMs, facts.heardAtMs ?? never);
    this.mergeRefusal(facts.refusedAtMs ?? never);
  }

  /**
   * Notes that a heartbeat went unanswered.
   * @param atMs - When it was sent.
   * @param isRefused - Whether the connection was refused.
   */
  noteMissed(atMs: number, isRefused: boolean): void {
    this.missedAtMs = Math.max(this.missedAtMs, atMs);
    if (isRefused) this.mergeRefusal(atMs);
  }

  /**
   * Gets the state.
   * @param nowMs - Now.
   * @param suspectAfterMs - Age from which a daemon is suspect.
   */
  getState(nowMs: number, suspectAfterMs: number): MemberState {
    if (this.refusedAtMs > this.heardAtMs) return 'dead';
    if (this.missedAtMs > this.heardAtMs) return 'suspect';
    return nowMs - this.heardAtMs > suspectAfterMs ? 'suspect' : 'alive';
  }

  /**
   * Gets the daemon as others see it.
   * @param nowMs - Now.
   * @param suspectAfterMs - Age from which a daemon is suspect.
   */
  toFleetMember(nowMs: number, suspectAfterMs: number): FleetMember {
    return {
      daemon: this.daemon,
      dataCentre: this.dataCentre,
      address: this.address,
      state: this.getState(nowMs, suspectAfterMs),
      isDraining: this.isDraining,
      reachesPlatform: this.reachesPlatform,
      partitions: this.partitions,
      configVersion: this.configVersion,
      ageMs: nowMs - this.heardAtMs,
    };
  }

  private beginLife(incarnation: number): void {
    this.incarnation = incarnation;
    this.revision = -1;
    this.partitions = [];
    this.isDraining = false;
    this.heardAtMs = never;
    this.refusedAtMs = never;
    this.missedAtMs = never;
    this.lastBeatMs = never;
    this.factsAtMs = never;
    this.isConfirmed = true;
    this.noteChange();
  }

  private mergeDetails({details, revision}: MemberFacts): void {
    if (details === undefined || revision <= this.revision) return;
    this.revision = revision;
    this.dataCentre = details.dataCentre;
    this.address = details.address;
    this.partitions = details.partitions;
    this.noteChange();
  }

  private mergeFlags(facts: MemberFacts): void {
    if (facts.factsAtMs <= this.factsAtMs) return;
    this.factsAtMs = facts.factsAtMs;
    if (this.reachesPlatform !== facts.reachesPlatform) this.changes += 1;
    this.reachesPlatform = facts.reachesPlatform;
    if (!facts.isDraining || this.isDraining) return;
    this.isDraining = true;
    this.noteChange();
  }

  /** Makes the change known to listeners, and to peers by news. */
  private noteChange(): void {
    this.changes += 1;
    this.newsSends = 0;
  }

  private mergeRefusal(refusedAtMs: number): void {
    const isNews =
      refusedAtMs > this.heardAtMs && this.refusedAtMs <= this.heardAtMs;
    this.refusedAtMs = Math.max(this.refusedAtMs, refusedAtMs);
    if (isNews) this.newsSends = 0;
  }
}

/**
 * Gets announced partitions from a message.
 * @param partitions - As sent.
 */
export function toAnnouncedPartitions(
  partitions: readonly HeldPartition[],
): AnnouncedPartition[] {
  return partitions.map(({partition, epoch}) => ({
    partition: toId<PartitionId>(partition),
    epoch: toEpoch(Number(epoch)),
  }));
}

/**
 * Gets the facts that one piece of news carries.
 * @param news - The news.
 * @param baseMs - Time that its ages count from, in milliseconds.
 * @param isTimed - Whether the ages are surely not too low.
 */
export function toMemberFacts(
  news: DaemonNews,
  baseMs: number,
  isTimed: boolean,
): MemberFacts {
  const heardAtMs = baseMs - news.ageMs;
  const {refusedAgeMs} = news;
  return {
    incarnation: Number(news.incarnation),
    revision: Number(news.revision),
    isDraining: news.isDraining,
    reachesPlatform: news.reachesPlatform,
    configVersion: Number(news.configVersion),
    factsAtMs: heardAtMs,
    heardAtMs: isTimed ? heardAtMs : undefined,
    refusedAtMs: refusedAgeMs === undefined ? undefined : baseMs - refusedAgeMs,
    details: news.isBrief ? undefined : toDetails(news),
  };
}

function toDetails(news: DaemonNews): MemberDetails {
  return {
    dataCentre: toId<DataCentreId>(news.dataCentre),
    address: news.address,
    partitions: toAnnouncedPartitions(news.partitions),
  };
}
