/** Makes a finished turn durable: on enough disks, or in the object API. */
import {
  type Clock,
  type DataCentreId,
  Deferred,
  MarigoldpostError,
} from '@marigoldpost/common';
import type {DiskId} from '../log/disk_identity.js';
import type {TurnObjectWriter} from '../objects/turn_object_writer.js';
import type {TurnRecord} from '../records/turn_record.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';
import {type ArchiveWait, longestOptionalMs} from './archive_retries.js';
import {HedgeTimer} from './hedge_timer.js';
import {orderCandidates} from './replica_placement.js';

/**
 * Delays after which further archives are written to as well: after the first
 * copy, and if there is none.
 */
const hedgeDelays = {afterReplyMs: 80, silentMs: 300};
/**
 * Time after which a turn is written to the object API although archives have
 * not failed: longer than the reply time-out of one.
 */
const objectDelayMs = 500;

/** Archives and replica count of a recorder. */
export interface TurnRecorderOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly ownDataCentre: DataCentreId;
  /** Disks that must store a turn when enough archives are reachable. */
  readonly replicaCount: number;
  /** Writes turns that too few disks store to the object API. */
  readonly objects: Pick<TurnObjectWriter, 'write'>;
}

/** Where a turn is durable. */
export interface DurableTurn {
  readonly record: TurnRecord;
  /** Disks that are known to store it. */
  readonly disks: number;
  /** Whether the object API holds it until enough disks store it. */
  readonly isInObject: boolean;
}

/** A finished turn whose disks are not chosen yet. */
export type NewTurn = Omit<TurnRecord, 'disks'>;

/** Archives that store a turn, each with the disk on which it did. */
type TurnHolders = Map<ArchiveClient, DiskId>;

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
   * Stores a turn; resolves once `replicaCount` disks store it, or the object API
   * does, from which archives import it. It is written there as soon as an
   * attempt has reached too few disks, or after 500 ms; meanwhile, further
   * archives are waited for up to 1.5 s. Throws `archive_unavailable` if neither
   * succeeds.
   * @param turn - Finished turn.
   * @param chainDisks - Disks of the previous turn.
   * @param wait - How long to wait while too few archives are reachable.
   */
  async record(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
    wait: ArchiveWait,
  ): Promise<DurableTurn> {
    const {clock, objects} = this.options;
    const holders: TurnHolders = new Map();
    const isShort = Deferred.create<void>();
    const hasEnded = Deferred.create<never>();
    const controller = new AbortController();
    const timers = [
      clock.setTimer(objectDelayMs, () => isShort.resolve()),
      clock.setTimer(longestOptionalMs, () =>
        hasEnded.reject(createUnavailableError(turn, holders.size)),
      ),
    ];
    const onDisks = this.storeOnDisks(
      turn,
      chainDisks,
      holders,
      limitWait(wait, controller.signal),
      () => isShort.resolve(),
    );
    const inObject = isShort.promise.then(async () => {
      const record = {...turn, disks: [...holders.values()]};
      await objects.write(record, controller.signal);
      return {record, disks: holders.size, isInObject: true};
    });
    const stored = Promise.any([onDisks, inObject]).catch(() => {
      throw createUnavailableError(turn, holders.size);
    });
    try {
      return await Promise.race([stored, hasEnded.promise]);
    } finally {
      controller.abort();
      for (const timer of timers) timer.cancel();
    }
  }

  /** Writes a turn to archives until enough disks store it, or none is expected. */
  private async storeOnDisks(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
    holders: TurnHolders,
    wait: ArchiveWait,
    onShort: () => void,
  ): Promise<DurableTurn> {
    const {pool, replicaCount} = this.options;
    const retries = pool.createRetries(wait);
    for (;;) {
      const endMs = retries.optionalAttemptEndMs;
      const record = await this.storeMissing(turn, chainDisks, holders, endMs);
      const disks = holders.size;
      if (disks >= replicaCount) return {record, disks, isInObject: false};
      onShort();
      if (await retries.waitForReturn(replicaCount, disks > 0)) continue;
      throw createUnavailableError(turn, disks);
    }
  }

  /**
   * Writes a turn to further archives until enough of them hold it, or one does
   * at the end of its time.
   */
  private async storeMissing(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
    holders: TurnHolders,
    endMs = Infinity,
  ): Promise<TurnRecord> {
    const {pool, ownDataCentre, replicaCount} = this.options;
    const clients = pool.getClients();
    for (const [holder, disk] of holders) {
      // Its disk has been replaced or its VM removed.
      const isGone = !clients.includes(holder) || holder.disk !== disk;
      if (isGone) holders.delete(holder);
    }
    const candidates = orderCandidates(
      clients.filter((client) => client.isReachable || holders.has(client)),
      {program: turn.program, ownDataCentre, chainDisks},
    );
    const others = candidates.filter((client) => !holders.has(client));
    const disks = [...holders.keys(), ...others]
      .slice(0, replicaCount)
      .map(({member}) => member.disk);
    const record = {...turn, disks};
    await TurnReplication.create(record, others, holders, this.options).run(
      endMs,
    );
    return record;
  }
}

/** Ends a wait when a further signal is aborted. */
function limitWait(wait: ArchiveWait, limit: AbortSignal): ArchiveWait {
  const {signal, copySignal = signal} = wait;
  return {
    ...wait,
    signal: AbortSignal.any([signal, limit]),
    copySignal: AbortSignal.any([copySignal, limit]),
  };
}

function createUnavailableError(
  {id}: NewTurn,
  disks: number,
): MarigoldpostError {
  return MarigoldpostError.create(
    'archive_unavailable',
    `turn "${id}" is on too few disks (${disks}) and not in the object API`,
  );
}

/** Writes one turn to its candidate archives, with hedging and failover. */
class TurnReplication {
  private readonly done = Deferred.create<void>();
  private nextClientIndex = 0;
  private inFlightCount = 0;
  private isOverdue = false;
  private hedge: HedgeTimer | undefined;

  private constructor(
    private readonly record: TurnRecord,
    private readonly clients: readonly ArchiveClient[],
    private readonly holders: TurnHolders,
    private readonly options: TurnRecorderOptions,
  ) {}

  static create(
    record: TurnRecord,
    clients: readonly ArchiveClient[],
    holders: TurnHolders,
    options: TurnRecorderOptions,
  ): TurnReplication {
    return new TurnReplication(record, clients, holders, options);
  }

  /**
   * Resolves once enough archives hold the turn or no candidate is left; after
   * its end, once one archive holds the turn.
   * @param endMs - Time on the clock; `Infinity` for no end.
   */
  async run(endMs: number): Promise<void> {
    const {clock} = this.options;
    this.startMissingWrites();
    this.hedge = HedgeTimer.start({
      ...hedgeDelays,
      clock,
      onDue: () => this.startMissingWrites(),
    });
    const timers: {cancel(): void}[] = [this.hedge];
    if (endMs !== Infinity) {
      const leftMs = Math.max(0, endMs - clock.nowMs());
      timers.push(clock.setTimer(leftMs, () => this.handleEnd()));
    }
    this.check();
    try {
      await this.done.promise;
    } finally {
      for (const timer of timers) timer.cancel();
    }
  }

  private handleEnd(): void {
    this.isOverdue = true;
    this.check();
  }

  private startMissingWrites(): void {
    const missing = this.options.replicaCount - this.holders.size;
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
      this.holders.set(client, client.disk);
      this.hedge?.recordReply();
    } catch {
      // The pool reports the unreachable archive; the next candidate is tried.
      this.startNextWrite();
    }
    this.inFlightCount -= 1;
    this.check();
  }

  private check(): void {
    const isStored = this.holders.size >= this.options.replicaCount;
    const isOver = this.isOverdue && this.holders.size > 0;
    if (isStored || isOver || this.inFlightCount === 0) this.done.resolve();
  }
}
