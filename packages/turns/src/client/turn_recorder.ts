/** Makes a finished turn durable on enough disks. */
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
import {orderHolders} from './copy_plan.js';

/** A holder that takes longer than this gets help from the next one. */
const hedgeMs = 80;

/** Options of a recorder. */
export interface TurnRecorderOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly ownDataCentre: DataCentreId;
  /** Disks that must hold a turn when enough archives answer. */
  readonly copies: number;
}

/** A finished turn whose holders are not chosen yet. */
export type NewTurn = Omit<TurnRecord, 'disks'>;

/** Recorder of finished turns. */
export class TurnRecorder {
  private constructor(private readonly options: TurnRecorderOptions) {}

  /**
   * Creates a recorder.
   * @param options - The archives and the number of copies.
   */
  static create(options: TurnRecorderOptions): TurnRecorder {
    return new TurnRecorder(options);
  }

  /**
   * Stores a turn. With fewer archives in reach than copies are due, one copy
   * is enough: that archive makes the others later. Throws
   * `archive_unavailable` when no archive took it.
   * @param turn - The turn.
   * @param chainDisks - Disks of the turn before.
   */
  async record(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
  ): Promise<TurnRecord> {
    const {pool, ownDataCentre, copies} = this.options;
    const {program} = turn;
    const clients = pool.getClients().filter((client) => client.isReachable);
    const holders = orderHolders(clients, {program, ownDataCentre, chainDisks});
    const disks = holders.slice(0, copies).map(({member}) => member.disk);
    const record = {...turn, disks};
    await CopyRound.create(record, holders, this.options).run();
    return record;
  }
}

/** Writes of one turn to its holders. */
class CopyRound {
  private readonly done = Deferred.create<void>();
  private nextIndex = 0;
  private underWay = 0;
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
  ): CopyRound {
    return new CopyRound(record, clients, options);
  }

  async run(): Promise<void> {
    const {clock, copies} = this.options;
    for (let copy = 0; copy < copies; copy++) this.startNext();
    const timer = clock.setTimer(hedgeMs, () => this.hedge());
    this.check();
    try {
      await this.done.promise;
    } finally {
      timer.cancel();
    }
  }

  private hedge(): void {
    const missing = this.options.copies - this.stored;
    for (let copy = 0; copy < missing; copy++) this.startNext();
  }

  private startNext(): void {
    const client = this.clients[this.nextIndex];
    if (client === undefined) return;
    this.nextIndex += 1;
    this.underWay += 1;
    void this.store(client);
  }

  private async store(client: ArchiveClient): Promise<void> {
    try {
      await client.storeTurns([this.record]);
      this.stored += 1;
    } catch {
      // The pool reports the silence; the next holder takes its place.
      this.startNext();
    }
    this.underWay -= 1;
    this.check();
  }

  private check(): void {
    if (this.stored >= this.options.copies) this.done.resolve();
    if (this.underWay > 0) return;
    if (this.stored > 0) {
      this.done.resolve();
      return;
    }
    const message = `turn "${this.record.id}" could not be stored anywhere`;
    this.done.reject(MarigoldpostError.create('archive_unavailable', message));
  }
}
