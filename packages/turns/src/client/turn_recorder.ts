/** Replicates a finished turn to archives until enough disks store it. */
import {
  type Clock,
  type DataCentreId,
  Deferred,
  MarigoldpostError,
} from '@marigoldpost/common';
import type {DiskId} from '../log/disk_identity.js';
import type {TurnRecord} from '../records/turn_record.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';
import type {ArchiveWait} from './archive_retries.js';
import {orderCandidates} from './replica_placement.js';

/** Delay after which further archives are written to as well (hedging). */
const hedgeDelayMs = 80;

/** Archives and replica count of a recorder. */
export interface TurnRecorderOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly ownDataCentre: DataCentreId;
  /** Disks that must store a turn when enough archives are reachable. */
  readonly replicaCount: number;
}

/** A finished turn whose disks are not chosen yet. */
export type NewTurn = Omit<TurnRecord, 'disks'>;

/** Chooses the archives of a finished turn and writes it to them. */
export class TurnRecorder {
  private constructor(private readonly options: TurnRecorderOptions) {}

  /**
   * Creates a recorder.
   * @param options - Archive pool, clock and replica count.
   */
  static create(options: TurnRecorderOptions): TurnRecorder {
    return new TurnRecorder(options);
  }

  /**
   * Stores a turn; resolves once `replicaCount` archives have it. With fewer
   * archives reachable, one replica is enough: that archive repairs the others
   * later. Throws `archive_unavailable` when no archive stored it, after a
   * wait of up to 1.5 s for one that has just become unreachable.
   * @param turn - Finished turn.
   * @param chainDisks - Disks of the previous turn.
   * @param wait - How long to wait while no archive is reachable.
   */
  async record(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
    wait: ArchiveWait,
  ): Promise<TurnRecord> {
    const retries = this.options.pool.createRetries(wait);
    for (;;) {
      try {
        return await this.tryRecord(turn, chainDisks);
      } catch (error) {
        if (!(await retries.waitForReturn())) throw error;
      }
    }
  }

  private async tryRecord(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
  ): Promise<TurnRecord> {
    const {pool, ownDataCentre, replicaCount} = this.options;
    const {program} = turn;
    const clients = pool.getClients().filter((client) => client.isReachable);
    const candidates = orderCandidates(clients, {
      program,
      ownDataCentre,
      chainDisks,
    });
    const disks = candidates
      .slice(0, replicaCount)
      .map(({member}) => member.disk);
    const record = {...turn, disks};
    await TurnReplication.create(record, candidates, this.options).run();
    return record;
  }
}

/** Writes one turn to its candidate archives, with hedging and failover. */
class TurnReplication {
  private readonly done = Deferred.create<void>();
  private nextClientIndex = 0;
  private inFlightCount = 0;
  private stored = 0;

  private constructor(
    private readonly record: TurnRecord,
    private readonly clients: readonly ArchiveClient[],
    private readonly options: TurnRecorderOptions,
  ) {}

  static create(
    record: TurnRecord,
    clients: readonly ArchiveClient[],
    options: TurnRecorderOptions,
  ): TurnReplication {
    return new TurnReplication(record, clients, options);
  }

  async run(): Promise<void> {
    const {clock, replicaCount} = this.options;
    for (let copy = 0; copy < replicaCount; copy++) this.startNextWrite();
    const timer = clock.setTimer(hedgeDelayMs, () => this.startHedgedWrites());
    this.check();
    try {
      await this.done.promise;
    } finally {
      timer.cancel();
    }
  }

  private startHedgedWrites(): void {
    const missing = this.options.replicaCount - this.stored;
    for (let copy = 0; copy < missing; copy++) this.startNextWrite();
  }

  private startNextWrite(): void {
    const client = this.clients[this.nextClientIndex];
    if (client === undefined) return;
    this.nextClientIndex += 1;
    this.inFlightCount += 1;
    void this.store(client);
  }

  private async store(client: ArchiveClient): Promise<void> {
    try {
      await client.storeTurns([this.record]);
      this.stored += 1;
    } catch {
      // The pool reports the unreachable archive; the next candidate is tried.
      this.startNextWrite();
    }
    this.inFlightCount -= 1;
    this.check();
  }

  private check(): void {
    if (this.stored >= this.options.replicaCount) this.done.resolve();
    if (this.inFlightCount > 0) return;
    if (this.stored > 0) {
      this.done.resolve();
      return;
    }
    const message = `turn "${this.record.id}" could not be stored on any of ${this.clients.length} reachable archives`;
    this.done.reject(MarigoldpostError.create('archive_unavailable', message));
  }
}
