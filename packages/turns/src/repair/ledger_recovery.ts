/** Recovers the ledger of an archive from those of its peers. */
import type {Clock, DataCentreId} from '@marigoldpost/common';
import type {Archive} from '../archive/archive.js';
import type {ArchiveClient} from '../client/archive_client.js';
import type {ArchivePool} from '../client/archive_pool.js';
import {getMajority} from '../ledger/reservation_quorum.js';
import type {ProgramEntries} from '../records/turn_codec.js';

/**
 * Archives that stop at the same moment are back within a second of each other;
 * with time for a reply.
 */
const commonRestartMs = 1200;
/**
 * A peer that is unreachable for this long is presumed lost with its ledgers:
 * longer than restarts, cuts and the recovery of a site, since the peer may alone
 * have recorded what a lost disk had recorded as well. A new archive has recorded
 * nothing, so it waits for the one that it replaces as long as a restart takes.
 */
const lostPeerMs = {alone: 30_000, replaced: 2500};

/**
 * Time after which the ledgers of the others are copied in place of that of an
 * unreachable peer: longer than a restart.
 */
const copyAfterMs = 4000;

/** Archive and peers of a recovery. */
export interface LedgerRecoveryOptions {
  readonly archive: Archive;
  readonly pool: ArchivePool;
  /**
   * Reads the reservations that entry VMs have recorded in the object API. While
   * its data centre was isolated, a lost disk may have been the only one with
   * them.
   */
  readonly readReservations: () => Promise<readonly ProgramEntries[]>;
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /**
   * Whether the site starts for the first time, so that no ledger can lack what
   * was granted before.
   */
  readonly isFirstStart: boolean;
  /** Registers the archive as one that is not new any more. */
  readonly registerAsKnown: () => Promise<void>;
}

/** Merges the ledger of each peer since it last became reachable. */
export class LedgerRecovery {
  /** Peers whose ledger was merged since they last became reachable. */
  private readonly mergedPeers = new Set<ArchiveClient>();
  /** Those of them whose ledger was complete before it was merged. */
  private readonly mergedCompletePeers = new Set<ArchiveClient>();
  /** Unreachable peers since whose loss the other ledgers have been copied. */
  private readonly copiedFor = new Set<ArchiveClient>();
  /** Whether the ledger includes what every possible quorum has recorded. */
  private hasPeerLedgers: boolean;
  private hasReservations = false;

  private constructor(private readonly options: LedgerRecoveryOptions) {
    const {archive, isFirstStart} = options;
    this.hasPeerLedgers = isFirstStart || archive.hasCompleteLedgers;
  }

  /**
   * Creates a recovery that has merged no ledger yet.
   * @param options - Archive and peers.
   */
  static create(options: LedgerRecoveryOptions): LedgerRecovery {
    return new LedgerRecovery(options);
  }

  /** Whether the ledger includes what peers recorded before this start. */
  get isComplete(): boolean {
    const {pool} = this.options;
    // Before the list of archives has been read, peers may hold its entries.
    const hasNoPeers = pool.isLoaded && pool.getClients().length === 0;
    // What is granted without this archive is not in its ledger.
    return (this.hasPeerLedgers && !this.isSuperseded) || hasNoPeers;
  }

  /** Merges the ledgers of peers that have not been merged. */
  async merge(): Promise<void> {
    const {pool, archive} = this.options;
    const clients = pool.getClients();
    for (const client of this.mergedPeers) {
      if (!client.isReachable || !clients.includes(client)) {
        this.mergedPeers.delete(client);
        this.mergedCompletePeers.delete(client);
      }
    }
    for (const client of clients) {
      if (client.isReachable) await this.mergePeerLedger(client);
    }
    await this.copyForAbsentPeers(clients);
    if (!this.hasPeerLedgers) {
      await this.mergeReservations();
      this.hasPeerLedgers =
        (this.hasAllLedgers || this.hasQuorumLedgers) &&
        (await this.isKnownToAll());
    }
    if (this.hasPeerLedgers) await archive.markLedgersComplete();
  }

  /**
   * Merges the ledgers of all reachable peers once a peer has been away for long:
   * what it had recorded with one of them may be on that disk alone.
   */
  private async copyForAbsentPeers(
    clients: readonly ArchiveClient[],
  ): Promise<void> {
    for (const client of this.copiedFor) {
      const isAway = !client.isReachable && clients.includes(client);
      if (!isAway) this.copiedFor.delete(client);
    }
    const absent = clients.filter(
      (client) =>
        this.hasBeenAwayFor(client, copyAfterMs) && !this.copiedFor.has(client),
    );
    if (absent.length === 0) return;
    const {archive} = this.options;
    for (const client of clients.filter(({isReachable}) => isReachable)) {
      await archive.mergeLedgers(await client.fetchLedgers());
    }
    for (const client of absent) this.copiedFor.add(client);
  }

  /**
   * Registers a new archive as one that counts, before it does: once it has lost
   * its disk, it must not pass for one that has granted nothing.
   */
  private async isKnownToAll(): Promise<boolean> {
    const {pool, registerAsKnown} = this.options;
    const {wasRegistered, ownMember} = pool;
    if (wasRegistered !== false || ownMember?.isNew === false) return true;
    if (ownMember === undefined) return false;
    await registerAsKnown();
    return true;
  }

  /** Whether another archive has taken the place of this one. */
  private get isSuperseded(): boolean {
    const {pool, archive} = this.options;
    const {disk, supersededDisks} = archive;
    return pool.supersededDisks.has(disk) || supersededDisks.has(disk);
  }

  private async mergeReservations(): Promise<void> {
    if (this.hasReservations) return;
    const {archive, readReservations} = this.options;
    await archive.mergeLedgers(await readReservations());
    this.hasReservations = true;
  }

  /** Merges the ledger of a peer, again if it was incomplete and is no more. */
  private async mergePeerLedger(client: ArchiveClient): Promise<void> {
    const isMerged = this.mergedPeers.has(client);
    let isPeerComplete = false;
    if (!this.hasPeerLedgers && !this.mergedCompletePeers.has(client)) {
      ({isComplete: isPeerComplete} = await client.findTurns([]));
    }
    if (isMerged && !isPeerComplete) return;
    const {archive, pool} = this.options;
    // A peer that returns learns that its place was taken.
    const disks = [...archive.supersededDisks, ...pool.supersededDisks];
    await archive.mergeLedgers(await client.fetchFinalLedgers(disks));
    this.mergedPeers.add(client);
    if (isPeerComplete) this.mergedCompletePeers.add(client);
  }

  /** Whether each peer has sent its ledger or is presumed lost. */
  private get hasAllLedgers(): boolean {
    const voters = this.options.pool.getVoters();
    return (
      this.mergedPeers.size > 0 &&
      voters.every(
        (client) =>
          this.mergedPeers.has(client) ||
          this.hasBeenAwayFor(client, this.getLostPeerMs(client)),
      )
    );
  }

  /**
   * Whether enough peers with complete ledgers have sent theirs: each quorum
   * that an archive of this daemon may have taken part in has one of them, but
   * for those of its data centre while that was isolated. What these granted is
   * in the object API.
   */
  private get hasQuorumLedgers(): boolean {
    const {pool} = this.options;
    const voters = pool.getVoters();
    const merged = voters.filter((client) =>
      this.mergedCompletePeers.has(client),
    );
    // A new archive has taken part in none, and neither has a superseded one.
    const isNew = pool.wasRegistered === false;
    const isVoter = !isNew && !this.isSuperseded;
    const quorumVoters = voters.length + (isVoter ? 1 : 0);
    const requiredCount = quorumVoters - getMajority(quorumVoters) + 1;
    return (
      pool.isLoaded &&
      merged.length >= requiredCount &&
      this.isEveryPeerMergedOrAway(commonRestartMs, voters)
    );
  }

  private getLostPeerMs({dataCentre}: ArchiveClient): number {
    const {pool, dataCentre: ownDataCentre} = this.options;
    const isReplaced =
      pool.wasRegistered === false && dataCentre === ownDataCentre;
    return isReplaced ? lostPeerMs.replaced : lostPeerMs.alone;
  }

  private isEveryPeerMergedOrAway(
    awayMs: number,
    clients: readonly ArchiveClient[],
  ): boolean {
    return clients.every(
      (client) =>
        this.mergedPeers.has(client) || this.hasBeenAwayFor(client, awayMs),
    );
  }

  private hasBeenAwayFor(
    {unreachableAtMs = Infinity}: ArchiveClient,
    awayMs: number,
  ): boolean {
    return this.options.clock.nowMs() - unreachableAtMs >= awayMs;
  }
}
