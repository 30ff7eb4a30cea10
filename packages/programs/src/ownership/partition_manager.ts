/** The partitions that one daemon holds. */
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
import type {ProgramKeeper} from '../keeper/program_keeper.js';
import type {CopiedRecords} from '../keeper/record_copier.js';
import {DownDataCentres} from './down_data_centres.js';
import {HeldPartitions} from './held_partitions.js';
import {LeaseGuard} from './lease_guard.js';
import type {
  OwnPartition,
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

/** Interval of looks at the own view of the fleet, which cost no calls. */
const lookMs = 100;
/** Longest interval of reads of the directory while nothing changes. */
const maxReadMs = 2_000;
/** Reads of the directory in the length of a lease, at least. */
const readsPerLease = 4;
/** Passes after which a daemon that is not preferred may claim as well. */
const patientPasses = 3;
const maxAssignTries = 5;
const assignBackoff = {baseMs: 50, maxMs: 1_000};
const defaultLeaseMs = 10_000;

/** Claims, takes over, balances and hands over partitions. */
export class PartitionManager {
  private readonly held: HeldPartitions;
  private readonly directory: PartitionDirectory;
  private readonly guard: LeaseGuard;
  private readonly observer: LeaseObserver;
  private readonly downDataCentres: DownDataCentres;
  private readonly freeFor = new Map<PartitionId, number>();
  private timer: Timer | undefined;
  private pass: Promise<void> | undefined;
  private lastReadAtMs = -Infinity;
  private lastView = '';
  private isStopped = true;
  private isDraining = false;

  private constructor(private readonly options: PartitionManagerOptions) {
    const {clock, dataCentre, fleet, leases, random, store} = options;
    const getLeaseMs = () => this.getLeaseMs();
    this.held = HeldPartitions.create(options);
    this.directory = PartitionDirectory.create(store, random);
    this.guard = LeaseGuard.create({
      clock,
      leases,
      fleet,
      dataCentre,
      getLeaseMs,
    });
    this.observer = LeaseObserver.create({
      store,
      clock,
      dataCentre,
      getLeaseMs,
    });
    this.downDataCentres = DownDataCentres.create(options);
  }

  /**
   * Creates a manager that holds nothing.
   * @param options - Daemon, platform and view of the fleet.
   */
  static create(options: PartitionManagerOptions): PartitionManager {
    return new PartitionManager(options);
  }

  /** Starts to claim partitions; resolves after the first pass. */
  async start(): Promise<void> {
    this.isStopped = false;
    await this.look();
  }

  /** Stops at once, without handing over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.timer?.cancel();
    await this.pass;
    this.held.stopAll('stopped');
  }

  /**
   * Gets the keeper of a partition, if it is held here and open.
   * @param partition - The partition.
   */
  getKeeper(partition: PartitionId): ProgramKeeper | undefined {
    if (!this.guard.mayHold()) return undefined;
    return this.held.getKeeper(partition);
  }

  /** Gets the partitions held here, with their epochs. */
  getPartitions(): readonly OwnPartition[] {
    return this.held.getPartitions();
  }

  /**
   * Adds a listener.
   * @param listener - The listener.
   */
  addListener(listener: PartitionListener): void {
    this.held.addListener(listener);
  }

  /**
   * Hands a partition to another daemon, after its journal is flushed. With the
   * platform away the partition stays with this daemon's lease.
   * @param partition - The partition.
   * @param to - The daemon.
   */
  async handOver(partition: PartitionId, to: DaemonId): Promise<void> {
    const keeper = this.held.getKeeper(partition);
    if (keeper === undefined) return;
    const {epoch, isPlatformDown} = keeper.getStatus();
    if (isPlatformDown) return;
    try {
      await keeper.close(this.options.drainMs);
      const entry = await this.assign(partition, to, epoch);
      this.held.remove(partition, 'handed_over');
      await this.options.handovers?.sendHandover(to, partition, entry.epoch);
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    } finally {
      this.held.remove(partition, 'lost');
    }
  }

  /** Hands every partition over, each to the live daemon that has fewest. */
  async handOverAll(): Promise<void> {
    this.isDraining = true;
    await this.pass;
    const own = this.getOwn();
    const peers = getCandidates(own, this.options.fleet.getMembers()).slice(1);
    const near = peers.filter((peer) => peer.dataCentre === own.dataCentre);
    const loads = new Map(near.map((peer) => [peer.daemon, peer]));
    const moves: Array<Promise<void>> = [];
    for (const partition of own.partitions) {
      const to = getLeastLoaded([...loads.values()]);
      if (to === undefined) break;
      loads.set(to.daemon, {...to, partitions: [...to.partitions, partition]});
      moves.push(this.handOver(partition, to.daemon));
    }
    await Promise.all(moves);
  }

  /**
   * Opens a partition that its holder has handed to this daemon.
   * @param partition - The partition.
   * @param epoch - Epoch that the directory gives this daemon.
   */
  async acceptHandover(partition: PartitionId, epoch: Epoch): Promise<void> {
    await this.held.open(partition, epoch);
  }

  /**
   * Gives a partition up to the daemon that has sealed it.
   * @param partition - The partition.
   * @param epoch - Epoch that was sealed.
   * @returns Records that were not committed, if it was held at that epoch.
   */
  surrender(partition: PartitionId, epoch: Epoch): CopiedRecords | undefined {
    const keeper = this.held.getKeeper(partition);
    if (keeper === undefined || keeper.getStatus().epoch !== epoch) {
      return undefined;
    }
    const records = keeper.surrender();
    this.held.remove(partition, 'lost');
    return records;
  }

  private async look(): Promise<void> {
    if (!this.guard.mayHold()) this.held.stopAll('lost');
    if (this.isReadDue()) {
      this.pass = this.runPass();
      await this.pass;
    }
    if (this.isStopped) return;
    this.timer = this.options.clock.setTimer(lookMs, () => void this.look());
  }

  /** Whether the view has changed, or the last read is old. */
  private isReadDue(): boolean {
    const {clock, fleet} = this.options;
    const view = fleet
      .getMembers()
      .map(({daemon, isDraining, state}) => `${daemon} ${state} ${isDraining}`)
      .join();
    const isChanged = view !== this.lastView;
    const readMs = Math.min(maxReadMs, this.getLeaseMs() / readsPerLease);
    const isOld = clock.nowMs() - this.lastReadAtMs >= readMs;
    this.lastView = view;
    return isChanged || isOld;
  }

  private async runPass(): Promise<void> {
    const {clock, getConfig} = this.options;
    const config = getConfig();
    this.lastReadAtMs = clock.nowMs();
    if (config === undefined) return;
    try {
      await this.readLeases();
      await this.claimAll(config);
      await this.balance();
    } catch (error) {
      this.logFailure(toMarigoldpostError(error));
    }
  }

  /** The next pass tries again; only what it cannot mend is worth a line. */
  private logFailure({kind, message}: MarigoldpostError): void {
    if (kind === 'store_unavailable' || kind === 'store_ambiguous') return;
    const task = 'partition_manager';
    this.options.logger?.log('background_failed', {task, kind, message});
  }

  private async readLeases(): Promise<void> {
    await this.observer.observe();
    const live = this.observer.getLiveLeases().map(({daemon}) => daemon);
    this.guard.setRoster(
      live.filter((daemon) => daemon !== this.options.daemon),
    );
  }

  private async claimAll(config: OperatorsConfig): Promise<void> {
    const {dataCentre, leases} = this.options;
    const down = await this.downDataCentres.findDown(config);
    if (down.has(dataCentre)) return;
    for (const home of [dataCentre, ...down]) {
      if (this.isDraining || this.isStopped || !leases.isHeld()) return;
      await this.claimOf(home, config.fleet.partitionsPerDataCentre);
    }
  }

  /** Claims the free partitions of one data centre that fall to this daemon. */
  private async claimOf(home: DataCentreId, count: number): Promise<void> {
    const read = await this.directory.readPartitions(home);
    const entries = new Map(read.map((entry) => [entry.partition, entry]));
    const opened: Array<Promise<void>> = [];
    for (let index = 0; index < count; index++) {
      const partition = getPartitionId(home, index);
      const entry = entries.get(partition);
      if (!this.isFree(partition, entry)) continue;
      // A partition that the directory gives this daemon waits for no other.
      const isOwn = entry?.holder === this.options.daemon;
      if (!isOwn && !this.shouldClaim(partition, home, count)) continue;
      opened.push(this.claim(partition, entry?.epoch ?? toEpoch(0)));
    }
    await Promise.all(opened);
  }

  private isFree(
    partition: PartitionId,
    entry: PartitionEntry | undefined,
  ): boolean {
    const isFree = !this.held.has(partition) && this.mayTakeOver(entry);
    const passes = this.freeFor.get(partition) ?? 0;
    if (isFree) this.freeFor.set(partition, passes + 1);
    else this.freeFor.delete(partition);
    return isFree;
  }

  /** Whether a partition has no holder that may be at work. */
  private mayTakeOver(entry: PartitionEntry | undefined): boolean {
    if (entry === undefined) return true;
    const {daemon, fleet} = this.options;
    if (entry.holder === daemon) return true;
    const member = fleet.getMember(entry.holder);
    // The seal makes it safe to take over from a daemon that still lives.
    if (member?.state === 'dead') return true;
    const isAtWork = member?.state === 'alive' && member.reachesPlatform;
    return !isAtWork && this.observer.isLapsed(entry.holder);
  }

  private shouldClaim(
    partition: PartitionId,
    home: DataCentreId,
    count: number,
  ): boolean {
    const {daemon, dataCentre, fleet} = this.options;
    const candidates = getCandidates(this.getOwn(), fleet.getMembers());
    const isPreferred = getPreferredHolder(partition, candidates) === daemon;
    if (isPreferred) return true;
    const isWaiting = (this.freeFor.get(partition) ?? 0) > patientPasses;
    if (!isWaiting || home !== dataCentre) return isWaiting;
    const near = candidates.filter((it) => it.dataCentre === dataCentre);
    return this.held.size < getFairShare(count, near);
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

  private async balance(): Promise<void> {
    if (this.isDraining || this.isStopped) return;
    const own = this.getOwn();
    const candidates = getCandidates(own, this.options.fleet.getMembers());
    const move = getNextMove(own, candidates);
    if (move === undefined) return;
    // A move for balance never waits for a request; the next pass tries again.
    if (this.held.getKeeper(move.partition)?.hasIntents()) return;
    await this.handOver(move.partition, move.to);
  }

  /** Names the next holder in the directory, through short outages. */
  private async assign(
    partition: PartitionId,
    holder: DaemonId,
    expectedEpoch: Epoch,
  ): Promise<PartitionEntry> {
    const {clock, random} = this.options;
    const backoff = Backoff.create(assignBackoff, random);
    for (let tries = 1; ; tries++) {
      try {
        return await this.directory.claimPartition({
          partition,
          holder,
          expectedEpoch,
        });
      } catch (error) {
        const isAway = isErrorOfKind(error, 'store_unavailable');
        if (!isAway || tries >= maxAssignTries) throw error;
      }
      await clock.sleep(backoff.nextDelayMs());
    }
  }

  private getLeaseMs(): number {
    return this.options.getConfig()?.fleet.leaseMs ?? defaultLeaseMs;
  }

  private getOwn(): Candidate {
    const {daemon, dataCentre} = this.options;
    const partitions = this.held.getPartitions().map((own) => own.partition);
    return {daemon, dataCentre, partitions};
  }
}
