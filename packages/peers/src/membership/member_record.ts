/** State that this daemon holds about one other daemon. */
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

/** Facts about a daemon, from its own heartbeat or from gossip. */
export interface MemberFacts {
  readonly incarnation: number;
  readonly revision: number;
  readonly isDraining: boolean;
  readonly reachesPlatform: boolean;
  readonly configVersion: number;
  /** Time at which the facts held, in milliseconds on this daemon's clock. */
  readonly factsAtMs: number;
  /**
   * Time at which the daemon was certainly alive. Set only for replies to own
   * requests: a request that was delayed in transit proves no time.
   */
  readonly heardAtMs?: number;
  readonly refusedAtMs?: number;
  /** Absent in brief gossip entries. */
  readonly details?: MemberDetails;
}

/** Facts that rarely change; they are versioned by the revision. */
export interface MemberDetails {
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly partitions: readonly AnnouncedPartition[];
}

/** Merged state of one other daemon, ordered by incarnation and revision. */
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
  lastHeartbeatMs = never;
  isHeartbeatPending = false;
  /** Number of changes to the public fields, except state and age. */
  changes = 0;
  /** Whether a heartbeat, gossip or a lease has proved that it is a daemon. */
  isConfirmed = false;
  /** Number of messages that have carried the latest change. */
  gossipSendCount = 0;
  private factsAtMs = never;

  private constructor(seed: MemberSeed) {
    this.daemon = seed.daemon;
    this.dataCentre = seed.dataCentre;
    this.address = seed.address;
  }

  /**
   * Creates the record of a daemon that has not been heard from yet.
   * @param seed - Initial data centre and address.
   */
  static create(seed: MemberSeed): MemberRecord {
    return new MemberRecord(seed);
  }

  /**
   * Merges facts; those of an older incarnation are ignored.
   * @param facts - Facts from a heartbeat or a gossip entry.
   */
  merge(facts: MemberFacts): void {
    if (facts.incarnation < this.incarnation) return;
    if (facts.incarnation > this.incarnation) this.reset(facts.incarnation);
    this.mergeDetails(facts);
    this.mergeFlags(facts);
    this.configVersion = Math.max(this.configVersion, facts.configVersion);
    this.heardAtMs = Math.max(this.heardAtMs, facts.heardAtMs ?? never);
    this.mergeRefusal(facts.refusedAtMs ?? never);
  }

  /**
   * Records that a heartbeat got no valid reply.
   * @param atMs - Time at which it was sent.
   * @param isRefused - Whether the connection was refused.
   */
  recordMissedHeartbeat(atMs: number, isRefused: boolean): void {
    this.missedAtMs = Math.max(this.missedAtMs, atMs);
    if (isRefused) this.mergeRefusal(atMs);
  }

  /**
   * Gets the liveness state: `dead` after a refused connection, `suspect` after
   * a missed heartbeat or a long silence.
   * @param nowMs - Current time.
   * @param suspectAfterMs - Silence after which a daemon is suspect.
   */
  getState(nowMs: number, suspectAfterMs: number): MemberState {
    if (this.refusedAtMs > this.heardAtMs) return 'dead';
    if (this.missedAtMs > this.heardAtMs) return 'suspect';
    return nowMs - this.heardAtMs > suspectAfterMs ? 'suspect' : 'alive';
  }

  /**
   * Converts the record to its public form.
   * @param nowMs - Current time.
   * @param suspectAfterMs - Silence after which a daemon is suspect.
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

  /** Discards what is known of an earlier incarnation. */
  private reset(incarnation: number): void {
    this.incarnation = incarnation;
    this.revision = -1;
    this.partitions = [];
    this.isDraining = false;
    this.heardAtMs = never;
    this.refusedAtMs = never;
    this.missedAtMs = never;
    this.lastHeartbeatMs = never;
    this.factsAtMs = never;
    this.isConfirmed = true;
    this.recordChange();
  }

  private mergeDetails({details, revision}: MemberFacts): void {
    if (details === undefined || revision <= this.revision) return;
    this.revision = revision;
    this.dataCentre = details.dataCentre;
    this.address = details.address;
    this.partitions = details.partitions;
    this.recordChange();
  }

  private mergeFlags(facts: MemberFacts): void {
    if (facts.factsAtMs <= this.factsAtMs) return;
    this.factsAtMs = facts.factsAtMs;
    if (this.reachesPlatform !== facts.reachesPlatform) this.changes += 1;
    this.reachesPlatform = facts.reachesPlatform;
    if (!facts.isDraining || this.isDraining) return;
    this.isDraining = true;
    this.recordChange();
  }

  /** Schedules the change for listeners, and for peers by gossip. */
  private recordChange(): void {
    this.changes += 1;
    this.gossipSendCount = 0;
  }

  private mergeRefusal(refusedAtMs: number): void {
    const isFirstRefusal =
      refusedAtMs > this.heardAtMs && this.refusedAtMs <= this.heardAtMs;
    this.refusedAtMs = Math.max(this.refusedAtMs, refusedAtMs);
    if (isFirstRefusal) this.gossipSendCount = 0;
  }
}

/**
 * Converts the partitions of a message.
 * @param partitions - Partitions as received.
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
 * Converts a gossip entry to facts.
 * @param news - Entry as received.
 * @param baseMs - Time that its ages are relative to, in milliseconds.
 * @param isAgeUpperBound - Whether the ages are never too low. Only then do
 * they prove that the daemon was alive.
 */
export function toMemberFacts(
  news: DaemonNews,
  baseMs: number,
  isAgeUpperBound: boolean,
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
    heardAtMs: isAgeUpperBound ? heardAtMs : undefined,
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
