/** What an entry VM needs of the archives: chains, budgets, finished turns. */
import type {Clock, DataCentreId, ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {DiskId} from '../log/disk_identity.js';
import type {TurnChain} from '../records/turn_record.js';
import type {ArchivePool} from './archive_pool.js';
import {BudgetClient, type TokenRequest} from './budget_client.js';
import {ChainReader} from './chain_reader.js';
import {SettlementSender} from './settlement_sender.js';
import {TurnCache} from './turn_cache.js';
import {type NewTurn, TurnRecorder} from './turn_recorder.js';

/** Options of a store. */
export interface TurnStoreOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly ownDataCentre: DataCentreId;
  /** Disks that hold each turn. */
  readonly copies: number;
  /** Most bytes of turns kept in memory. */
  readonly cacheBytes: number;
}

/** Store of turns and budgets as seen from an entry VM. */
export class TurnStore {
  private readonly cache: TurnCache;
  private readonly settlements: SettlementSender;
  private readonly budgets: BudgetClient;
  private readonly chains: ChainReader;
  private readonly recorder: TurnRecorder;

  private constructor(private readonly options: TurnStoreOptions) {
    const {pool, clock, ownDataCentre, copies, cacheBytes} = options;
    this.cache = TurnCache.create(cacheBytes);
    this.settlements = SettlementSender.create(pool, clock);
    const {settlements, cache} = this;
    this.budgets = BudgetClient.create({
      pool,
      clock,
      settlements,
      ownDataCentre,
    });
    this.chains = ChainReader.create({pool, cache, ownDataCentre});
    this.recorder = TurnRecorder.create({pool, clock, ownDataCentre, copies});
  }

  /**
   * Creates a store.
   * @param options - The archives.
   */
  static create(options: TurnStoreOptions): TurnStore {
    return new TurnStore(options);
  }

  /** Whether any archive answers. */
  get isReachable(): boolean {
    return this.options.pool.isAnyReachable;
  }

  /** Ends the work in the background. */
  stop(): void {
    this.settlements.stop();
  }

  /**
   * Gets a turn and all turns before it; see `ChainReader.readChain`.
   * @param turn - The turn.
   */
  readChain(turn: TurnId): Promise<TurnChain> {
    return this.chains.readChain(turn);
  }

  /**
   * Reserves tokens; see `BudgetClient.reserve`.
   * @param request - What to reserve.
   */
  reserve(request: TokenRequest): Promise<void> {
    return this.budgets.reserve(request);
  }

  /**
   * Tells the archives what an attempt used.
   * @param program - Its program.
   * @param attempt - The attempt.
   * @param tokens - Tokens that its caller may have received.
   */
  settle(program: ProgramId, attempt: TurnId, tokens: number): void {
    this.settlements.add(program, attempt, tokens);
  }

  /**
   * Stores a finished turn; resolves once it is durable.
   * @param turn - The turn.
   * @param chainDisks - Disks of the turn before.
   */
  async record(turn: NewTurn, chainDisks: readonly DiskId[]): Promise<void> {
    const record = await this.recorder.record(turn, chainDisks);
    this.cache.put(record);
    this.settle(turn.program, turn.id, turn.tokens);
  }
}
