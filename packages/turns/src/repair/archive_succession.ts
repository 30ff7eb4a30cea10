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
 * takes their place first stores the ledgers of so many voters that each majority
 * until then has one of them. Its registration then names the disk, so that all
 * VMs leave out the same votes. The vote of a disk that was left out never counts
 * again: what was granted since may be missing on it.
 */
export class ArchiveSuccession {
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

  /** Takes the place of an absent archive if it is the next one to be left out. */
  async run(): Promise<void> {
    const {pool, clock, dataCentre, isComplete} = this.options;
    const nowMs = clock.nowMs();
    const own = pool.ownMember;
    if (own === undefined) return;
    this.updateSeenDisks(nowMs);
    const isDue =
      nowMs >= this.nextAttemptMs && nowMs - this.changedAtMs >= settleMs;
    if (pool.isOwnSuperseded || !isDue) return;
    const absent = this.findNextAbsent();
    if (absent?.dataCentre !== dataCentre || !isComplete()) return;
    this.nextAttemptMs = nowMs + retryMs;
    if (!(await this.mergeLedgers())) return;
    const registered = new Set(
      pool.getClients().map(({member}) => member.disk),
    );
    const known = own.supersededDisks ?? [];
    await this.options.registerSupersededDisks([
      ...known.filter((disk) => registered.has(disk)),
      absent.member.disk,
    ]);
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
   * absences choose the same one.
   */
  private findNextAbsent(): ArchiveClient | undefined {
    const {pool, dataCentre} = this.options;
    const voters = pool.getVoters();
    const hasSuccessor = (client: ArchiveClient) =>
      client.dataCentre === dataCentre ||
      voters.some(
        (other) => other.isReachable && other.dataCentre === client.dataCentre,
      );
    return voters
      .filter((client) => this.isAbsent(client) && hasSuccessor(client))
      .toSorted((one, other) => (one.member.disk < other.member.disk ? -1 : 1))
      .at(0);
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
   * Stores what every majority until now has recorded; `false` if too few peers
   * with complete ledgers reply.
   */
  private async mergeLedgers(): Promise<boolean> {
    const {pool, archive} = this.options;
    const voters = pool.getVoters();
    const requiredCount = voters.length - getMajority(voters.length) + 1;
    const reachable = voters.filter(({isReachable}) => isReachable);
    if (reachable.length < requiredCount) return false;
    const replies = await Promise.allSettled(
      reachable.map(fetchCompleteLedger),
    );
    const ledgers = replies.flatMap((reply) =>
      reply.status === 'fulfilled' && reply.value !== undefined
        ? [reply.value]
        : [],
    );
    if (ledgers.length < requiredCount) return false;
    for (const ledger of ledgers) await archive.mergeLedgers(ledger);
    return true;
  }
}

/** Gets the ledger of a peer; `undefined` if it is not complete. */
async function fetchCompleteLedger(
  client: ArchiveClient,
): Promise<readonly ProgramEntries[] | undefined> {
  const ledger = await client.fetchLedgers();
  // Asked afterwards, so that a peer that has just lost its disk is left out.
  const {isComplete} = await client.findTurns([]);
  return isComplete ? ledger : undefined;
}
