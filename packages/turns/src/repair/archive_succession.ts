/** Takes the place of archives of the own data centre that do not return. */
import type {Clock, DataCentreId} from '@marigoldpost/common';
import type {Archive} from '../archive/archive.js';
import type {ArchiveClient} from '../client/archive_client.js';
import type {ArchivePool} from '../client/archive_pool.js';
import {getMajority} from '../ledger/reservation_quorum.js';
import type {DiskId} from '../log/disk_identity.js';
import type {ProgramEntries} from '../records/turn_codec.js';

/**
 * Time after which the place of an unreachable archive is taken: longer than a
 * restart, a freeze or a stalled disk. A new archive probably replaces one that
 * has never replied to it, unless that restarts at the same moment.
 */
const absentMs = {known: 6000, replaced: 1200};
/**
 * Time between two removals, in which all VMs read of the first one. The
 * majorities before and after the removal of a single vote always meet.
 */
const settleMs = 3000;
/** Pause between two attempts, each of which reads the ledgers of peers. */
const retryMs = 1000;

/** Archive, peers and registration of a succession. */
export interface ArchiveSuccessionOptions {
  readonly archive: Archive;
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** Whether the ledger of the archive is complete, and it is not retired. */
  readonly isComplete: () => boolean;
  /** Names superseded disks in the registration of the archive. */
  readonly registerSupersededDisks: (disks: readonly DiskId[]) => Promise<void>;
}

/**
 * Removes the votes of absent archives, one after the other. The archive that
 * takes their place has so many voters record the superseded disk that each
 * majority until then has one of them, and stores their ledgers: none of them
 * lets the vote count afterwards, also for an entry VM whose list is behind, and
 * when the successor has left. Its registration then names the disk. The vote
 * never counts again: what was granted since may be missing on that disk.
 */
export class ArchiveSuccession {
  /** Disk that voters have been told of, but which is not registered yet. */
  private pendingDisk: DiskId | undefined;
  /** Whether the ledgers for which the vote of that disk stood are stored. */
  private hasLedgers = false;
  private nextAttemptMs = Number.NEGATIVE_INFINITY;
  /** Superseded disks that were seen last, and when they changed. */
  private seenDisks: ReadonlySet<DiskId> | undefined;
  private changedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: ArchiveSuccessionOptions) {}

  /**
   * Creates a succession that has taken no place yet.
   * @param options - Archive, peers and registration.
   */
  static create(options: ArchiveSuccessionOptions): ArchiveSuccession {
    return new ArchiveSuccession(options);
  }

  /**
   * Whether a disk that a requester leaves out is one whose ledgers are not all
   * stored yet.
   * @param supersededDisks - Disks that the requester leaves out.
   */
  isPending(supersededDisks: readonly DiskId[]): boolean {
    const {pendingDisk, hasLedgers} = this;
    if (pendingDisk === undefined || hasLedgers) return false;
    return supersededDisks.includes(pendingDisk);
  }

  /** Takes the place of an absent archive if it is the next one to be left out. */
  async run(): Promise<void> {
    const {pool, clock, archive, dataCentre, isComplete} = this.options;
    const nowMs = clock.nowMs();
    if (pool.ownMember === undefined) return;
    this.updateSeenDisks(nowMs);
    if (nowMs < this.nextAttemptMs || !isComplete()) return;
    if (this.pendingDisk === undefined) {
      const isSettled = nowMs - this.changedAtMs >= settleMs;
      if (pool.supersededDisks.has(archive.disk) || !isSettled) return;
      const absent = await this.findNextAbsent(nowMs);
      if (absent?.dataCentre !== dataCentre) return;
      this.nextAttemptMs = nowMs + retryMs;
      const {disk} = absent.member;
      if (!this.hasEnoughVoters(disk)) return;
      // Fails while the object API is away: voters would leave the disk out, but
      // no list would name it.
      await this.register();
      await archive.recordSupersededDisks([disk]);
      this.pendingDisk = disk;
      this.hasLedgers = false;
    }
    this.nextAttemptMs = nowMs + retryMs;
    this.hasLedgers ||= await this.mergeLedgers(this.pendingDisk);
    if (!this.hasLedgers) return;
    await this.register(this.pendingDisk);
    this.pendingDisk = undefined;
  }

  /**
   * Writes the registration, which names the disks that any registration has
   * named, as long as their archives are registered.
   * @param superseded - Further disk to name.
   */
  private async register(superseded?: DiskId): Promise<void> {
    const {pool, isComplete, registerSupersededDisks} = this.options;
    // A retired archive must not register again.
    if (!isComplete()) return;
    const registered = pool.getClients().map(({member}) => member.disk);
    await registerSupersededDisks(
      registered.filter(
        (disk) => pool.supersededDisks.has(disk) || disk === superseded,
      ),
    );
  }

  private updateSeenDisks(nowMs: number): void {
    const {supersededDisks, wasRegistered} = this.options.pool;
    const {seenDisks} = this;
    // A restarted archive may have missed the last change.
    const isSame =
      seenDisks === undefined
        ? wasRegistered === false
        : supersededDisks.size === seenDisks.size &&
          [...supersededDisks].every((disk) => seenDisks.has(disk));
    if (!isSame) this.changedAtMs = nowMs;
    this.seenDisks = supersededDisks;
  }

  /**
   * Finds the absent voter that is left out next. Archives that see the same
   * absences choose the same one. One that enough peers reach is not absent: a link
   * between two archives has failed, and both would take each other's place.
   */
  private async findNextAbsent(
    nowMs: number,
  ): Promise<ArchiveClient | undefined> {
    const {pool, dataCentre} = this.options;
    const voters = pool.getVoters();
    const hasSuccessor = (client: ArchiveClient) =>
      client.dataCentre === dataCentre ||
      voters.some(
        (other) => other.isReachable && other.dataCentre === client.dataCentre,
      );
    const absent = voters
      .filter((client) => this.isAbsent(client) && hasSuccessor(client))
      .toSorted((one, other) => (one.member.disk < other.member.disk ? -1 : 1));
    for (const client of absent) {
      this.nextAttemptMs = nowMs + retryMs;
      if (!(await this.isReachedByPeers(client.member.disk))) return client;
    }
    return undefined;
  }

  private isAbsent({
    unreachableAtMs = Infinity,
    repliedAtMs,
  }: ArchiveClient): boolean {
    const {pool, clock} = this.options;
    const isNew = pool.wasRegistered === false;
    const isReplaced = isNew && repliedAtMs === Number.NEGATIVE_INFINITY;
    const limitMs = isReplaced ? absentMs.replaced : absentMs.known;
    return clock.nowMs() - unreachableAtMs >= limitMs;
  }

  /**
   * Has voters record the disk, and stores what they have recorded until then;
   * `false` if too few peers with complete ledgers reply.
   */
  private async mergeLedgers(disk: DiskId): Promise<boolean> {
    const voters = this.getVotersUntilNow(disk);
    const replies = await Promise.allSettled(
      voters
        .filter(({isReachable}) => isReachable)
        .map((client) => fetchCompleteLedger(client, disk)),
    );
    const ledgers = replies.flatMap((reply) =>
      reply.status === 'fulfilled' && reply.value !== undefined
        ? [reply.value]
        : [],
    );
    if (ledgers.length < getRequiredCount(voters)) return false;
    const {archive} = this.options;
    for (const ledger of ledgers) await archive.mergeLedgers(ledger);
    return true;
  }

  /**
   * Whether so many voters reach an archive that it could take the place of this
   * one. A few may be wrong, or alone with it.
   */
  private async isReachedByPeers(disk: DiskId): Promise<boolean> {
    const voters = this.getVotersUntilNow(disk);
    const replies = await Promise.allSettled(
      voters
        .filter(({isReachable}) => isReachable)
        .map((client) => client.reachesArchive(disk)),
    );
    const reached = replies.filter(
      (reply) => reply.status === 'fulfilled' && reply.value,
    );
    return reached.length >= getRequiredCount(voters);
  }

  private hasEnoughVoters(disk: DiskId): boolean {
    const voters = this.getVotersUntilNow(disk);
    const reachable = voters.filter(({isReachable}) => isReachable);
    return reachable.length >= getRequiredCount(voters);
  }

  /** Gets the voters with the one that is left out next, which peers may name. */
  private getVotersUntilNow(disk: DiskId): ArchiveClient[] {
    const {pool} = this.options;
    return pool
      .getClients()
      .filter(
        ({member}) =>
          member.disk === disk || !pool.supersededDisks.has(member.disk),
      );
  }
}

/** Gets the number of voters of which each majority has one at least. */
function getRequiredCount(voters: readonly ArchiveClient[]): number {
  return voters.length - getMajority(voters.length) + 1;
}

/** Gets the ledger of a peer; `undefined` if it is not complete. */
async function fetchCompleteLedger(
  client: ArchiveClient,
  disk: DiskId,
): Promise<readonly ProgramEntries[] | undefined> {
  const ledger = await client.fetchFinalLedgers([disk]);
  // Asked afterwards, so that a peer that has just lost its disk is left out.
  const {isComplete} = await client.findTurns([]);
  return isComplete ? ledger : undefined;
}
