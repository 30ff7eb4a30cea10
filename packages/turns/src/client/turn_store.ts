/** Interface of an entry VM to the archives: chains, budgets and turns. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  MarigoldpostError,
  type ProgramId,
  waitUnlessAborted,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';
import {ReservationObjects} from '../objects/reservation_objects.js';
import {StoreProbe} from '../objects/store_probe.js';
import {TurnObjectReader} from '../objects/turn_object_reader.js';
import {
  TurnObjectWriter,
  type WrittenBatch,
} from '../objects/turn_object_writer.js';
import type {TurnChain} from '../records/turn_record.js';
import type {ArchivePool} from './archive_pool.js';
import type {ArchiveWait} from './archive_retries.js';
import {
  BudgetClient,
  type ConfirmReservation,
  type TokenRequest,
} from './budget_client.js';
import {ChainReader, type ChainWait} from './chain_reader.js';
import {IsolationDetector} from './isolation_detector.js';
import {SettlementSender} from './settlement_sender.js';
import {TurnCache} from './turn_cache.js';
import {type DurableTurn, type NewTurn, TurnRecorder} from './turn_recorder.js';

/** Archives, replica count and cache size of a store. */
export interface TurnStoreOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly ownDataCentre: DataCentreId;
  /** Disks that store each turn. */
  readonly replicaCount: number;
  /** Limit of the bytes of turns in the cache. */
  readonly cacheBytes: number;
  /** Object API that holds what too few disks store. */
  readonly store: ObjectStore;
  /** Daemon and process that write the objects. */
  readonly daemon: DaemonId;
  readonly incarnation: string;
  /** Gets the least pause between two writes of one kind to the object API. */
  readonly getWriteIntervalMs: () => number;
  /** Time after which the balancer sends clients of a VM that is not ready elsewhere. */
  readonly balancerNoticeMs: number;
  /** Called when turns are durable in the object API. */
  readonly onTurnsWritten?: (batch: WrittenBatch) => void;
  /** Called when reservations are durable in the object API. */
  readonly onReservationsWritten?: (
    reservations: number,
    elapsedMs: number,
  ) => void;
}

/** Pause between two calls that test the object API while archives are away. */
const probeIntervalMs = 500;

/** Reads and records turns, and reserves and settles tokens. */
export class TurnStore {
  private readonly cache: TurnCache;
  private readonly reservations: ReservationObjects;
  private readonly probe: StoreProbe;
  private readonly isolation: IsolationDetector;
  private readonly settlements: SettlementSender;
  private readonly budgets: BudgetClient;
  private readonly chains: ChainReader;
  private readonly recorder: TurnRecorder;

  private constructor(private readonly options: TurnStoreOptions) {
    const {pool, clock, ownDataCentre, replicaCount, cacheBytes, store} =
      options;
    const {daemon, incarnation, getWriteIntervalMs: getIntervalMs} = options;
    this.cache = TurnCache.create(cacheBytes);
    const writing = {store, clock, daemon, incarnation, getIntervalMs};
    this.reservations = ReservationObjects.create({
      ...writing,
      areArchivesReachable: () =>
        pool.getClients().every(({isReachable}) => isReachable),
      isListCurrent: (members) => pool.isListCurrent(members),
      onWritten: options.onReservationsWritten,
    });
    this.probe = createProbe(options);
    const {cache, reservations, probe} = this;
    this.isolation = IsolationDetector.create({
      pool,
      probe,
      clock,
      ownDataCentre,
      replicaCount,
      balancerNoticeMs: options.balancerNoticeMs,
    });
    const getRetryAfterMs = () => this.isolation.getRetryAfterMs();
    this.settlements = SettlementSender.create({
      pool,
      objects: reservations,
      clock,
    });
    const reading = {
      pool,
      clock,
      ownDataCentre,
      owedArchives: replicaCount,
      probe,
      getRetryAfterMs,
    };
    this.budgets = BudgetClient.create({
      ...reading,
      settlements: this.settlements,
      objects: reservations,
    });
    this.chains = ChainReader.create({
      ...reading,
      cache,
      objects: TurnObjectReader.create({store, clock}),
    });
    this.recorder = TurnRecorder.create({
      pool,
      clock,
      ownDataCentre,
      replicaCount,
      objects: TurnObjectWriter.create({
        ...writing,
        onWritten: options.onTurnsWritten,
        onFailed: () => probe.recordFailedWrite(),
      }),
    });
  }

  /**
   * Creates a store with an empty cache.
   * @param options - Archive pool, clock, replica count and cache size.
   */
  static create(options: TurnStoreOptions): TurnStore {
    return new TurnStore(options);
  }

  /** Whether at least one archive is reachable. */
  get isReachable(): boolean {
    return this.options.pool.hasReachableArchive;
  }

  /**
   * Whether this VM can make no turn durable since its data centre seems to be
   * isolated; see `IsolationDetector`.
   */
  get isIsolated(): boolean {
    return this.isolation.checkIsolation();
  }

  /**
   * Tests the object API while too few archives are reachable.
   * @param signal - Ends the tests when aborted.
   */
  async watchStore(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isolation.hasEnoughArchives) await this.probe.check();
      this.isolation.checkIsolation();
      await this.options.clock.sleep(probeIntervalMs, signal);
    }
  }

  /**
   * Waits until a turn that finished now could be made durable. Throws
   * `archive_unavailable` at once if the data centre is isolated, and otherwise
   * when too few archives return in time.
   * @param wait - How long to wait while too few archives are reachable.
   */
  async requireDurability(wait: ArchiveWait): Promise<void> {
    const {pool, replicaCount} = this.options;
    const {isolation} = this;
    if (isolation.hasEnoughArchives) return;
    const retries = pool.createRetries(wait);
    while (!isolation.hasEnoughArchives && !(await this.probe.checkWrites())) {
      const hasReturned =
        !this.isIsolated && (await retries.waitForReturn(replicaCount, true));
      if (hasReturned) continue;
      throw this.createAbortError(
        'a turn could be stored neither on enough disks nor in the object API',
      );
    }
  }

  /** Stops sending settlements and removing reservations in the background. */
  stop(): void {
    this.settlements.stop();
    this.reservations.stop();
    this.probe.stop();
  }

  /**
   * Gets a turn and all its ancestors; see `ChainReader.readChain`. Throws
   * `archive_unavailable` if the wait for the archives is aborted.
   * @param turn - Newest turn of the chain.
   * @param wait - How long to wait while archives are unreachable, and how long
   *   the chain is needed.
   */
  readChain(turn: TurnId, wait: ChainWait): Promise<TurnChain> {
    const work = this.chains.readChain(turn, wait);
    return waitUnlessAborted(work, wait.signal, () =>
      this.createAbortError(`turn "${turn}" was not read in time`),
    );
  }

  /**
   * Reserves tokens; see `BudgetClient.reserve`. Throws `archive_unavailable`
   * if the wait for the archives is aborted; the attempt has then been settled
   * with 0 tokens.
   * @param request - Attempt, tokens and budget.
   */
  async reserve(request: TokenRequest): Promise<ConfirmReservation> {
    const {program, attempt, signal} = request;
    const work = this.budgets.reserve(request);
    const aborted = this.createAbortError(
      `the tokens of attempt "${attempt}" were not reserved in time`,
    );
    try {
      return await waitUnlessAborted(work, signal, () => aborted);
    } catch (error) {
      if (error === aborted) await this.settle(program, attempt, 0);
      throw error;
    }
  }

  /**
   * Settles an attempt that stores no turn: replaces its reservation by the tokens
   * that it used. Its caller is to be told that it ended once this resolves, since
   * the settlement then outlasts this process; see `SettlementSender.record`.
   * @param program - Program of the attempt.
   * @param attempt - Attempt whose reservation ends.
   * @param tokens - Tokens that the caller may have received.
   */
  settle(program: ProgramId, attempt: TurnId, tokens: number): Promise<void> {
    return this.settlements.record(program, attempt, tokens);
  }

  /** Sends what the archives have not acknowledged; see `SettlementSender.flush`. */
  flush(): Promise<void> {
    return this.settlements.flush();
  }

  /**
   * Stores a finished turn and settles its tokens; resolves once the turn is
   * durable, see `TurnRecorder.record`. Throws `archive_unavailable` if the wait for the archives is
   * aborted; the turn may be stored nevertheless.
   * @param turn - Finished turn.
   * @param chainDisks - Disks of the previous turn.
   * @param wait - How long to wait while no archive is reachable.
   */
  record(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
    wait: ArchiveWait,
  ): Promise<DurableTurn> {
    const stored = this.store(turn, chainDisks, wait);
    return waitUnlessAborted(stored, wait.signal, () =>
      this.createAbortError(`turn "${turn.id}" was not stored in time`),
    );
  }

  private async store(
    turn: NewTurn,
    chainDisks: readonly DiskId[],
    wait: ArchiveWait,
  ): Promise<DurableTurn> {
    const startMs = this.options.clock.nowMs();
    const retainedUntilMs = startMs + turn.retentionMs;
    const stored = await this.recorder.record(turn, chainDisks, wait);
    this.cache.put(stored.record, startMs, retainedUntilMs);
    this.settlements.add(turn.program, turn.id, turn.tokens);
    return stored;
  }

  private createAbortError(message: string): MarigoldpostError {
    const retryAfterMs = this.isolation.getRetryAfterMs();
    return MarigoldpostError.create('archive_unavailable', message, {
      retryAfterMs,
    });
  }
}

function createProbe({store, clock, pool}: TurnStoreOptions): StoreProbe {
  return StoreProbe.create({
    store: store.getStaleReader(),
    clock,
    onReturned: () => pool.recordStoreReturn(),
  });
}
