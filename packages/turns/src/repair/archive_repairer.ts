/** Restores missing replicas of turns and merges the ledgers of peers. */
import {type DaemonId, toMarigoldpostError} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {IndexedTurn} from '../archive/turn_index.js';
import type {ArchiveClient} from '../client/archive_client.js';
import {orderCandidates} from '../client/replica_placement.js';
import type {ArchiveMember} from '../directory/archive_directory.js';
import type {DiskId} from '../log/disk_identity.js';
import type {TurnRecord} from '../records/turn_record.js';
import {
  AncestorRetention,
  expirySlackMs,
  maxBatchTurns,
  renewalMs,
} from './ancestor_retention.js';
import {
  type DamageReport,
  DamagedTurnRestorer,
} from './damaged_turn_restorer.js';
import type {ObjectImporter} from '../objects/object_importer.js';
import {ArchiveSuccession} from './archive_succession.js';
import {LapseConfirmer} from './lapse_confirmer.js';
import {LedgerRecovery, type LedgerRecoveryOptions} from './ledger_recovery.js';

/** Pause between two repair rounds. */
const roundIntervalMs = 250;
/** Younger turns are skipped: their entry VM may still be storing them. */
const minRepairAgeMs = 300;
/** Pause between two checks whether a retirement is complete. */
const retirementPollMs = 200;
/** A peer that has not replied for this long is probed. */
const silenceMs = 500;
/** Pause between two searches for such replicas, which look at every turn. */
const renewalIntervalMs = 2000;

/** Limit of the bytes of turns in one message, unless it is one turn. */
const maxPartBytes = 512 * 1024;

/** Archive, peers and replica count of a repairer. */
export interface ArchiveRepairerOptions extends LedgerRecoveryOptions {
  readonly daemon: DaemonId;
  /** Disks that must store each turn, including the own one. */
  readonly replicaCount: number;
  /** Imports what entry VMs have written to the object API. */
  readonly importer: ObjectImporter;
  /** Writes the ledgers of the archive to the object API, where peers import them. */
  readonly writeLedgers: () => Promise<void>;
  /** Names superseded disks in the registration of the archive. */
  readonly registerSupersededDisks: (disks: readonly DiskId[]) => Promise<void>;
  readonly onFailed: (task: string, error: Error) => void;
  /** Called when the replicas of a peer stop to count or count again. */
  readonly onReplicasCounted?: (
    member: ArchiveMember,
    areCounted: boolean,
  ) => void;
  /** Called when damaged entries of the own log were found or restored. */
  readonly onDamaged?: (report: DamageReport) => void;
}

/** Repairs replicas and ledger of one archive in periodic rounds. */
export class ArchiveRepairer {
  /**
   * Peer disks on which each turn was verified, and which are still registered.
   * Those of peers that are presumed lost do not count while they are. Each has
   * the time until which the peer retains the replica at least.
   */
  private readonly verifiedDisks = new Map<TurnId, Map<DiskId, number>>();
  /** Reachable peers that stored no turns when last asked, as if retired. */
  private readonly refusingPeers = new WeakSet<ArchiveClient>();
  /** Peers whose replicas do not count, as of the last round. */
  private lostPeers = new Set<ArchiveClient>();
  private nextRenewalMs = 0;
  /** Disks whose replicas count, as of the last round. */
  private countedDisks = new Set<DiskId>();

  private incompleteCount = 0;
  private isRetiring = false;
  /** Replicas that must exist on peer disks. */
  private requiredPeerReplicas: number;

  private readonly restorer: DamagedTurnRestorer;
  private readonly ancestorRetention: AncestorRetention;
  private readonly ledgerRecovery: LedgerRecovery;
  private readonly succession: ArchiveSuccession;
  private readonly lapseConfirmer: LapseConfirmer;

  private constructor(private readonly options: ArchiveRepairerOptions) {
    const {archive, pool, clock, onDamaged} = options;
    this.restorer = DamagedTurnRestorer.create({
      archive,
      pool,
      clock,
      onDamaged,
    });
    this.ancestorRetention = AncestorRetention.create(archive, clock);
    this.ledgerRecovery = LedgerRecovery.create(options);
    this.succession = ArchiveSuccession.create({
      ...options,
      isComplete: () => this.isComplete,
    });
    this.lapseConfirmer = LapseConfirmer.create(options);
    this.requiredPeerReplicas = options.replicaCount - 1;
  }

  /**
   * Creates a repairer; `run` starts it.
   * @param options - Archive, pool of peers and replica count.
   */
  static create(options: ArchiveRepairerOptions): ArchiveRepairer {
    return new ArchiveRepairer(options);
  }

  /**
   * Whether the ledger includes what peers recorded before this start, and the
   * archive is not about to leave the list: entry VMs that have read of that
   * decide without it.
   */
  get isComplete(): boolean {
    const isLeaving = this.isRetiring || this.options.archive.isSealed;
    return !isLeaving && this.ledgerRecovery.isComplete;
  }

  /**
   * Like `isComplete`, for a requester that leaves out the votes of disks: the
   * ledgers for which such a vote stood must be stored as well.
   * @param supersededDisks - Disks whose votes the requester does not count.
   */
  isCompleteWithout(supersededDisks: readonly DiskId[]): boolean {
    return this.isComplete && !this.succession.isPending(supersededDisks);
  }

  /** Turns that lacked replicas on other disks in the last round. */
  get underReplicatedCount(): number {
    return this.incompleteCount;
  }

  /**
   * Stops counting the own disk as a replica, since its VM is retired. Resolves
   * once peers have replied that they hold every turn on enough disks; the
   * archive stores no further turns from then on.
   * @param signal - Ends the wait when aborted.
   * @param leave - Removes the registration; called once the archive stores no
   *   further turns and every turn is on enough other disks, since a turn that no
   *   registered archive stores is called unknown.
   */
  async retire(signal: AbortSignal, leave: () => Promise<void>): Promise<void> {
    const {clock} = this.options;
    this.requiredPeerReplicas = this.options.replicaCount;
    const startMs = clock.nowMs();
    const retryUntilDone = async (work: () => Promise<boolean>) => {
      while (!(await work())) await clock.sleep(retirementPollMs, signal);
    };
    await retryUntilDone(() =>
      Promise.resolve(
        this.hasEnoughPeers && this.findUnderReplicated(startMs).length === 0,
      ),
    );
    await retryUntilDone(() => this.trySeal());
    await retryUntilDone(() => this.tryWriteLedgers());
    await leave();
    await retryUntilDone(() => this.tryComplete());
  }

  /** Stores no further turns, since the retirement was complete at the start. */
  async seal(): Promise<void> {
    await this.options.archive.seal();
  }

  /**
   * Runs repair rounds, and reads of reservations that lapse, until aborted.
   * @param signal - Stops both when aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.runRounds(signal),
      this.lapseConfirmer.run(signal),
    ]);
  }

  private async runRounds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.probeSilentPeers();
      await this.runTask('ledgers', () => this.ledgerRecovery.merge());
      await this.runTask('votes', () => this.succession.run());
      await this.runTask('objects', () =>
        this.options.importer.run((turn) => this.isReplicated(turn)),
      );
      await this.runTask('copies', () =>
        this.repairTurns(this.options.clock.nowMs() - minRepairAgeMs),
      );
      await this.runTask('damaged turns', () => this.restorer.restore());
      await this.options.clock.sleep(roundIntervalMs, signal);
    }
  }

  /**
   * Whether the site keeps enough archives without this one, which has a complete
   * ledger to leave to them. One with an empty disk has no turns to copy.
   */
  private get hasEnoughPeers(): boolean {
    const {pool, replicaCount} = this.options;
    const reachable = pool.getClients().filter(({isReachable}) => isReachable);
    return this.ledgerRecovery.isComplete && reachable.length >= replicaCount;
  }

  /** Whether every turn has enough verified replicas on peer disks. */
  private get isFullyReplicated(): boolean {
    return this.findUnderReplicated(Number.POSITIVE_INFINITY).length === 0;
  }

  /**
   * Seals the archive and copies what entry VMs have stored until now. From then
   * on no turn is left on this disk and too few others.
   */
  private async trySeal(): Promise<boolean> {
    const {archive} = this.options;
    this.isRetiring = true;
    await archive.seal();
    if (await this.isVerified()) return true;
    archive.unseal();
    // With too few other archives it may never leave, and goes on to count.
    this.isRetiring = false;
    return false;
  }

  /** Writes what the own disk and one other may alone have counted. */
  private async tryWriteLedgers(): Promise<boolean> {
    try {
      await this.options.writeLedgers();
      return true;
    } catch (error) {
      this.options.onFailed('retirement', toMarigoldpostError(error));
      return false;
    }
  }

  /** Records the end of the retirement; a peer may have lost its disk meanwhile. */
  private async tryComplete(): Promise<boolean> {
    if (!(await this.isVerified())) return false;
    try {
      await this.options.archive.recordRetirement();
      return true;
    } catch (error) {
      this.options.onFailed('retirement', toMarigoldpostError(error));
      return false;
    }
  }

  /** Asks the peers for all replicas again, and copies what they lack. */
  private async isVerified(): Promise<boolean> {
    this.verifiedDisks.clear();
    await this.runTask('retirement', () =>
      this.repairTurns(Number.POSITIVE_INFINITY),
    );
    return this.isFullyReplicated;
  }

  private async runTask(
    task: string,
    work: () => Promise<void>,
  ): Promise<void> {
    try {
      await work();
    } catch (error) {
      this.options.onFailed(task, toMarigoldpostError(error));
    }
  }

  /** Detects lost peers while no turns are exchanged with them. */
  private async probeSilentPeers(): Promise<void> {
    const {pool, clock} = this.options;
    const sinceMs = clock.nowMs() - silenceMs;
    const silent = pool
      .getClients()
      .filter((client) => client.isReachable && client.repliedAtMs <= sinceMs);
    // The pool reports those that do not reply.
    await Promise.allSettled(silent.map((client) => client.findTurns([])));
  }

  private async repairTurns(storedBeforeMs: number): Promise<void> {
    this.updateCountedDisks();
    this.removeLostReplicas();
    await this.renewReplicas();
    const underReplicated = this.findUnderReplicated(storedBeforeMs);
    const turnsByClient = new Map<ArchiveClient, IndexedTurn[]>();
    for (const turn of underReplicated) {
      for (const client of this.choosePeers(turn)) {
        const assigned = turnsByClient.get(client);
        if (assigned === undefined) turnsByClient.set(client, [turn]);
        else assigned.push(turn);
      }
    }
    // A failure at one peer must not keep the turns from the others.
    const results = await Promise.allSettled(
      [...turnsByClient].map(([client, turns]) =>
        this.replicateInBatches(client, turns),
      ),
    );
    this.incompleteCount = underReplicated.length;
    const failure = results.find((result) => result.status === 'rejected');
    if (failure !== undefined) throw toMarigoldpostError(failure.reason);
  }

  private async replicateInBatches(
    client: ArchiveClient,
    turns: readonly IndexedTurn[],
  ): Promise<void> {
    try {
      for (let start = 0; start < turns.length; start += maxBatchTurns) {
        const batch = turns.slice(start, start + maxBatchTurns);
        this.updateCountedDisks();
        // An archive may have returned meanwhile, so that its replicas count.
        const missing = batch.filter((turn) => this.isUnderReplicated(turn));
        if (missing.length > 0) await this.replicateTurns(client, missing);
      }
      this.refusingPeers.delete(client);
    } catch (error) {
      if (client.isReachable) this.refusingPeers.add(client);
      throw error;
    }
  }

  /** Gets the turns with the fewest replicas first, the newest of them first. */
  private findUnderReplicated(storedBeforeMs: number): IndexedTurn[] {
    const {archive} = this.options;
    return [...archive.getTurns()]
      .filter(
        (turn) =>
          turn.storedAtMs <= storedBeforeMs &&
          this.isUnderReplicated(turn) &&
          !archive.isDamaged(turn.id),
      )
      .reverse()
      .sort(
        (left, right) =>
          this.countReplicas(left.id) - this.countReplicas(right.id),
      );
  }

  /** Whether the own disk and enough others store a turn. */
  private isReplicated(id: TurnId): boolean {
    return (
      this.options.archive.hasTurn(id) &&
      this.countReplicas(id) >= this.requiredPeerReplicas
    );
  }

  private isUnderReplicated(turn: IndexedTurn): boolean {
    return this.countReplicas(turn.id) < this.requiredPeerReplicas;
  }

  private countReplicas(id: TurnId): number {
    let count = 0;
    for (const disk of this.verifiedDisks.get(id)?.keys() ?? []) {
      if (this.countedDisks.has(disk)) count += 1;
    }
    return count;
  }

  /**
   * Stops counting the replicas of peers that are presumed lost, since no one
   * removes the registration of a VM that never returns. They count again once
   * the peer has named the same disk.
   */
  private updateCountedDisks(): void {
    const {pool, onReplicasCounted} = this.options;
    const clients = pool.getClients();
    const lost = clients.filter((client) => pool.isPresumedLost(client));
    const {lostPeers} = this;
    this.lostPeers = new Set(lost);
    this.countedDisks = new Set(
      clients
        .filter((client) => !this.lostPeers.has(client))
        .map(({disk}) => disk),
    );
    for (const client of clients) {
      const isLost = this.lostPeers.has(client);
      if (isLost === lostPeers.has(client)) continue;
      onReplicasCounted?.(client.member, !isLost);
    }
  }

  /** Removes replicas on replaced or unregistered disks, and expired turns. */
  private removeLostReplicas(): void {
    const {archive, pool} = this.options;
    const disks = new Set(pool.getClients().map(({disk}) => disk));
    for (const [turn, held] of this.verifiedDisks) {
      const isStored = archive.hasTurn(turn) || archive.isDamaged(turn);
      if (!isStored) this.verifiedDisks.delete(turn);
      for (const disk of held.keys()) {
        if (!disks.has(disk)) held.delete(disk);
      }
    }
  }

  /**
   * Asks peers to retain replicas as long as the own ones: a turn stored
   * elsewhere that continues the chain extends the expiry of the own ones only.
   */
  private async renewReplicas(): Promise<void> {
    const {clock, pool} = this.options;
    if (clock.nowMs() < this.nextRenewalMs) return;
    this.nextRenewalMs = clock.nowMs() + renewalIntervalMs;
    const clients = pool.getClients();
    for (const client of clients.filter(({isReachable}) => isReachable)) {
      const expiring = this.findExpiringReplicas(client.disk);
      for (let start = 0; start < expiring.length; start += maxBatchTurns) {
        const batch = expiring.slice(start, start + maxBatchTurns);
        await this.findReplicas(client, batch);
      }
      await this.ancestorRetention.renew(client);
    }
  }

  private findExpiringReplicas(disk: DiskId): IndexedTurn[] {
    const {archive, clock} = this.options;
    const renewBeforeMs = clock.nowMs() + renewalMs;
    return [...archive.getTurns()].filter(({id, expiresAtMs}) => {
      const untilMs = this.verifiedDisks.get(id)?.get(disk) ?? Infinity;
      return untilMs < renewBeforeMs && untilMs < expiresAtMs - expirySlackMs;
    });
  }

  private choosePeers(turn: IndexedTurn): ArchiveClient[] {
    const {pool, dataCentre} = this.options;
    const held = this.verifiedDisks.get(turn.id) ?? new Map<DiskId, number>();
    const clients = pool
      .getClients()
      .filter(({isReachable, disk}) => isReachable && !held.has(disk));
    const {program, disks} = turn;
    const candidates = orderCandidates(clients, {
      program,
      ownDataCentre: dataCentre,
      chainDisks: disks,
    });
    // A second replica in the own data centre would be lost with the first.
    const ordered = [
      ...candidates.filter((candidate) => candidate.dataCentre !== dataCentre),
      ...candidates.filter((candidate) => candidate.dataCentre === dataCentre),
    ];
    const {refusingPeers} = this;
    return [
      ...ordered.filter((candidate) => !refusingPeers.has(candidate)),
      ...ordered.filter((candidate) => refusingPeers.has(candidate)),
    ].slice(0, this.requiredPeerReplicas - this.countReplicas(turn.id));
  }

  private async replicateTurns(
    client: ArchiveClient,
    turns: readonly IndexedTurn[],
  ): Promise<void> {
    const {clock} = this.options;
    const {disk, missing} = await this.findReplicas(client, turns);
    if (missing.length === 0) return;
    for (const part of splitBySize(missing)) {
      const records = await this.readTurns(part);
      if (records.length === 0) continue;
      const nowMs = clock.nowMs();
      await client.storeTurns(records);
      for (const {id, retentionMs} of records) {
        this.setVerified(id, disk, nowMs + retentionMs);
      }
    }
  }

  /** Gets the turns whose entries can be read. */
  private async readTurns(
    turns: readonly IndexedTurn[],
  ): Promise<TurnRecord[]> {
    const {archive} = this.options;
    const records = await Promise.all(
      turns.map((turn) => archive.tryReadTurn(turn)),
    );
    return records.filter((record) => record !== undefined);
  }

  /**
   * Asks a peer for its replicas of turns, and to retain them as long as the own
   * ones; gets those that it lacks.
   */
  private async findReplicas(
    client: ArchiveClient,
    turns: readonly IndexedTurn[],
  ): Promise<{disk: DiskId; missing: IndexedTurn[]}> {
    const nowMs = this.options.clock.nowMs();
    const expiriesMs = turns.map(({expiresAtMs}) => expiresAtMs);
    const {disk, isHeld, isDamaged} = await client.findTurns(
      turns.map(({id}) => id),
      expiriesMs.map((expiryMs) => Math.max(0, Math.ceil(expiryMs - nowMs))),
    );
    const isIntact = isHeld.map(
      (held, index) => held && isDamaged[index] !== true,
    );
    for (const [index, {id}] of turns.entries()) {
      if (isIntact[index] === true) {
        this.setVerified(id, disk, expiriesMs[index] ?? nowMs);
      } else {
        this.verifiedDisks.get(id)?.delete(disk);
      }
    }
    return {disk, missing: turns.filter((_turn, index) => !isIntact[index])};
  }

  private setVerified(turn: TurnId, disk: DiskId, untilMs: number): void {
    const held = this.verifiedDisks.get(turn);
    if (held === undefined) {
      this.verifiedDisks.set(turn, new Map([[disk, untilMs]]));
    } else held.set(disk, untilMs);
  }
}

/** Splits turns into parts that may be sent in one message each. */
function splitBySize(turns: readonly IndexedTurn[]): IndexedTurn[][] {
  const parts: IndexedTurn[][] = [];
  let partBytes = Infinity;
  for (const turn of turns) {
    const {length} = turn.position;
    partBytes += length;
    if (partBytes > maxPartBytes) {
      parts.push([]);
      partBytes = length;
    }
    parts.at(-1)?.push(turn);
  }
  return parts;
}
