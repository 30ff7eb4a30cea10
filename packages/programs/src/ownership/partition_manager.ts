/** Ownership of the partitions that one daemon holds. */
import {
  Backoff,
  getPartitionId,
  isErrorOfKind,
  type MarigoldpostError,
  toEpoch,
  toMarigoldpostError,
  type DaemonId,
  type DataCentreId,
  type Epoch,
  type PartitionId,
  type Timer,
} from '@marigoldpost/common';
import {
  LeaseObserver,
  PartitionDirectory,
  type PartitionEntry,
} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {ProgramManager} from '../execution/program_manager.js';
import type {CopiedRecords} from '../execution/record_copier.js';
import {DownDataCentreFinder} from './down_data_centre_finder.js';
import {HeldPartitions} from './held_partitions.js';
import {LeaseGuard} from './lease_guard.js';
import type {
  PartitionWithEpoch,
  PartitionListener,
  PartitionManagerOptions,
} from './partition_manager_options.js';
import {
  getCandidates,
  getFairShare,
  getLeastLoaded,
  getNextMove,
  getPreferredHolder,
  type Candidate,
} from './takeover_policy.js';

/** Interval of polling the local fleet view, which makes no platform calls. */
const pollIntervalMs = 100;
/** Longest interval between directory reads while the fleet view is stable. */
const maxReadIntervalMs = 2_000;
/** Minimum number of directory reads within the duration of a lease. */
const readsPerLease = 4;
/** Passes after which a daemon that is not the preferred holder may claim. */
const passesBeforeFallbackClaim = 3;
const maxAssignAttempts = 5;
const assignBackoff = {baseMs: 50, maxMs: 1_000};
const defaultLeaseMs = 10_000;

/** Claims, takes over, rebalances and hands over partitions. */
export class PartitionManager {
  private readonly held: HeldPartitions;
  private readonly directory: PartitionDirectory;
  private readonly leaseGuard: LeaseGuard;
  private readonly leaseObserver: LeaseObserver;
  private readonly downDataCentreFinder: DownDataCentreFinder;
  private readonly freePassCounts = new Map<PartitionId, number>();
  private timer: Timer | undefined;
  private pass: Promise<void> | undefined;
  private lastReadAtMs = -Infinity;
  private lastFleetView = '';
  private isStopped = true;
  private isDraining = false;

  private constructor(private readonly options: PartitionManagerOptions) {
    const {clock, dataCentre, fleet, leases, random, store} = options;
    const getLeaseMs = () => this.getLeaseMs();
    this.held = HeldPartitions.create(options);
    this.directory = PartitionDirectory.create(store, random);
    this.leaseGuard = LeaseGuard.create({
      clock,
      leases,
      fleet,
      dataCentre,
      getLeaseMs,
    });
    this.leaseObserver = LeaseObserver.create({
      store,
      clock,
      dataCentre,
      getLeaseMs,
    });
    this.downDataCentreFinder = DownDataCentreFinder.create(options);
  }

  /**
   * Creates a manager without partitions.
   * @param options - Daemon, platform and view of the fleet.
   */
  static create(options: PartitionManagerOptions): PartitionManager {
    return new PartitionManager(options);
  }

  /** Starts claiming partitions; resolves after the first pass. */
  async start(): Promise<void> {
    this.isStopped = false;
    await this.poll();
  }

  /** Stops after the current pass, without handing partitions over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.timer?.cancel();
    await this.pass;
    this.held.stopAll('stopped');
  }

  /**
   * Gets the program manager of a partition, or undefined when the partition is
   * not open here or may no longer be held.
   * @param partition - Partition id.
   */
  getProgramManager(partition: PartitionId): ProgramManager | undefined {
    if (!this.leaseGuard.mayHold()) return undefined;
    return this.held.getProgramManager(partition);
  }

  /** Gets the partitions that are open here, with their epochs. */
  getPartitions(): readonly PartitionWithEpoch[] {
    return this.held.getPartitions();
  }

  /**
   * Adds a listener.
   * @param listener - Notified of partitions that are opened or closed later.
   */
  addListener(listener: PartitionListener): void {
    this.held.addListener(listener);
  }

  /**
   * Hands a partition over to another daemon, after its journal is flushed.
   * While the platform is down, the partition is not handed over and stays
   * under this daemon's lease.
   * @param partition - Partition id.
   * @param to - Daemon that becomes the holder.
   */
  async handOver(partition: PartitionId, to: DaemonId): Promise<void> {
    const manager = this.held.getProgramManager(partition);
    if (manager === undefined) return;
    const {epoch, isPlatformDown} = manager.getStatus();
    if (isPlatformDown) return;
    try {
      await manager.close(this.options.drainMs);
      const entry = await this.assignHolder(partition, to, epoch);
      this.held.remove(partition, 'handed_over');
      await this.options.handovers?.sendHandover(to, partition, entry.epoch);
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    } finally {
      this.held.remove(partition, 'lost');
    }
  }

  /**
   * Hands all partitions over, each to the live daemon of the data centre that
   * holds the fewest.
   */
  async handOverAll(): Promise<void> {
    this.isDraining = true;
    await this.pass;
    const self = this.getSelf();
    const peers = getCandidates(self, this.options.fleet.getMembers()).slice(1);
    const localPeers = peers.filter(
      (peer) => peer.dataCentre === self.dataCentre,
    );
    const loads = new Map(localPeers.map((peer) => [peer.daemon, peer]));
    const handovers: Array<Promise<void>> = [];
    for (const partition of self.partitions) {
      const to = getLeastLoaded([...loads.values()]);
      if (to === undefined) break;
      loads.set(to.daemon, {...to, partitions: [...to.partitions, partition]});
      handovers.push(this.handOver(partition, to.daemon));
    }
    await Promise.all(handovers);
  }

  /**
   * Opens a partition that its holder has handed over to this daemon.
   * @param partition - Partition id.
   * @param epoch - Epoch that the partition directory assigned to this daemon.
   */
  async acceptHandover(partition: PartitionId, epoch: Epoch): Promise<void> {
    await this.held.open(partition, epoch);
  }

  /**
   * Stops a partition that another daemon has sealed.
   * @param partition - Partition id.
   * @param epoch - Epoch that was sealed.
   * @returns Uncommitted records, if the partition was held at that epoch.
   */
  releasePartition(
    partition: PartitionId,
    epoch: Epoch,
  ): CopiedRecords | undefined {
    const manager = this.held.getProgramManager(partition);
    if (manager === undefined || manager.getStatus().epoch !== epoch) {
      return undefined;
    }
    const records = manager.stopAndGetUncommitted();
    this.held.remove(partition, 'lost');
    return records;
  }

  private async poll(): Promise<void> {
    if (!this.leaseGuard.mayHold()) this.held.stopAll('lost');
    if (this.isReadDue()) {
      this.pass = this.runPass();
      await this.pass;
    }
    if (this.isStopped) return;
    this.timer = this.options.clock.setTimer(
      pollIntervalMs,
      () => void this.poll(),
    );
  }

  /** Whether the fleet view has changed, or the read interval has passed. */
  private isReadDue(): boolean {
    const {clock, fleet} = this.options;
    const view = fleet
      .getMembers()
      .map(({daemon, isDraining, state}) => `${daemon} ${state} ${isDraining}`)
      .join();
    const isChanged = view !== this.lastFleetView;
    const readMs = Math.min(
      maxReadIntervalMs,
      this.getLeaseMs() / readsPerLease,
    );
    const isOld = clock.nowMs() - this.lastReadAtMs >= readMs;
    this.lastFleetView = view;
    return isChanged || isOld;
  }

  private async runPass(): Promise<void> {
    const {clock, getConfig} = this.options;
    const config = getConfig();
    this.lastReadAtMs = clock.nowMs();
    if (config === undefined) return;
    try {
      await this.readLeases();
      await this.claimFreePartitions(config);
      await this.rebalance();
    } catch (error) {
      this.logFailure(toMarigoldpostError(error));
    }
  }

  /**
   * Logs a failed pass. Failures of the store are omitted, since the next pass
   * retries them.
   */
  private logFailure({kind, message}: MarigoldpostError): void {
    if (kind === 'store_unavailable' || kind === 'store_ambiguous') return;
    const task = 'partition_manager';
    this.options.logger?.log('background_failed', {task, kind, message});
  }

  private async readLeases(): Promise<void> {
    await this.leaseObserver.observe();
    const live = this.leaseObserver.getLiveLeases().map(({daemon}) => daemon);
    this.leaseGuard.setLeaseHolders(
      live.filter((daemon) => daemon !== this.options.daemon),
    );
  }

  private async claimFreePartitions(config: OperatorsConfig): Promise<void> {
    const {dataCentre, leases} = this.options;
    const down = await this.downDataCentreFinder.findDownDataCentres(config);
    if (down.has(dataCentre)) return;
    for (const home of [dataCentre, ...down]) {
      if (this.isDraining || this.isStopped || !leases.isHeld()) return;
      await this.claimPartitionsOf(home, config.fleet.partitionsPerDataCentre);
    }
  }

  /**
   * Claims the free partitions of one data centre that this daemon should hold.
   */
  private async claimPartitionsOf(
    home: DataCentreId,
    count: number,
  ): Promise<void> {
    const listed = await this.directory.readPartitions(home);
    const entries = new Map(listed.map((entry) => [entry.partition, entry]));
    const opened: Array<Promise<void>> = [];
    for (let index = 0; index < count; index++) {
      const partition = getPartitionId(home, index);
      const entry = entries.get(partition);
      if (!this.checkAndCountFree(partition, entry)) continue;
      // A partition that the directory already assigns to this daemon is
      // claimed immediately, whichever daemon is preferred.
      const isOwn = entry?.holder === this.options.daemon;
      if (!isOwn && !this.shouldClaim(partition, home, count)) continue;
      opened.push(this.claim(partition, entry?.epoch ?? toEpoch(0)));
    }
    await Promise.all(opened);
  }

  /**
   * Whether a partition is free; counts the consecutive passes in which it is.
   */
  private checkAndCountFree(
    partition: PartitionId,
    entry: PartitionEntry | undefined,
  ): boolean {
    const isFree = !this.held.has(partition) && this.hasNoActiveHolder(entry);
    const passes = this.freePassCounts.get(partition) ?? 0;
    if (isFree) this.freePassCounts.set(partition, passes + 1);
    else this.freePassCounts.delete(partition);
    return isFree;
  }

  /** Whether a partition has no holder that may still be active. */
  private hasNoActiveHolder(entry: PartitionEntry | undefined): boolean {
    if (entry === undefined) return true;
    const {daemon, fleet} = this.options;
    if (entry.holder === daemon) return true;
    const member = fleet.getMember(entry.holder);
    // If the daemon is alive after all, the seal fences it.
    if (member?.state === 'dead') return true;
    const isActive = member?.state === 'alive' && member.reachesPlatform;
    return !isActive && this.leaseObserver.isLapsed(entry.holder);
  }

  /**
   * Whether this daemon should claim a free partition: it is the preferred
   * holder, or the partition has been free for several passes. Then daemons of
   * the same data centre claim only up to their fair share.
   */
  private shouldClaim(
    partition: PartitionId,
    home: DataCentreId,
    count: number,
  ): boolean {
    const {daemon, dataCentre, fleet} = this.options;
    const candidates = getCandidates(this.getSelf(), fleet.getMembers());
    const isPreferred = getPreferredHolder(partition, candidates) === daemon;
    if (isPreferred) return true;
    const isOverdue =
      (this.freePassCounts.get(partition) ?? 0) > passesBeforeFallbackClaim;
    if (!isOverdue || home !== dataCentre) return isOverdue;
    const localCandidates = candidates.filter(
      (it) => it.dataCentre === dataCentre,
    );
    return this.held.size < getFairShare(count, localCandidates);
  }

  private async claim(
    partition: PartitionId,
    expectedEpoch: Epoch,
  ): Promise<void> {
    const {daemon} = this.options;
    try {
      const entry = await this.directory.claimPartition({
        partition,
        holder: daemon,
        expectedEpoch,
      });
      await this.held.open(partition, entry.epoch);
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    }
  }

  private async rebalance(): Promise<void> {
    if (this.isDraining || this.isStopped) return;
    const self = this.getSelf();
    const candidates = getCandidates(self, this.options.fleet.getMembers());
    const move = getNextMove(self, candidates);
    if (move === undefined) return;
    // Rebalancing does not wait for running requests; the next pass retries.
    if (this.held.getProgramManager(move.partition)?.hasOpenIntents()) return;
    await this.handOver(move.partition, move.to);
  }

  /** Assigns the next holder in the directory; retries during short outages. */
  private async assignHolder(
    partition: PartitionId,
    holder: DaemonId,
    expectedEpoch: Epoch,
  ): Promise<PartitionEntry> {
    const {clock, random} = this.options;
    const backoff = Backoff.create(assignBackoff, random);
    for (let attempt = 1; ; attempt++) {
      try {
        return await this.directory.claimPartition({
          partition,
          holder,
          expectedEpoch,
        });
      } catch (error) {
        const isUnavailable = isErrorOfKind(error, 'store_unavailable');
        if (!isUnavailable || attempt >= maxAssignAttempts) throw error;
      }
      await clock.sleep(backoff.nextDelayMs());
    }
  }

  private getLeaseMs(): number {
    return this.options.getConfig()?.fleet.leaseMs ?? defaultLeaseMs;
  }

  private getSelf(): Candidate {
    const {daemon, dataCentre} = this.options;
    const partitions = this.held.getPartitions().map((own) => own.partition);
    return {daemon, dataCentre, partitions};
  }
}
