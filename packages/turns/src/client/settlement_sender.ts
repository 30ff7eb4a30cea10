/** Sends every archive the tokens that attempts used. */
import {
  type Clock,
  Deferred,
  type ProgramId,
  type Timer,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {getMajority} from '../ledger/reservation_quorum.js';
import type {ReservationObjects} from '../objects/reservation_objects.js';
import type {ProgramEntries} from '../records/turn_codec.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';

/**
 * Settlements of this interval share one message. It is half of the 1 s within
 * which a budget must include the tokens of a finished turn.
 */
const batchIntervalMs = 500;
/** Interval whose settlements share a message while calls wait for them. */
const promptIntervalMs = 2;
/**
 * Longest wait for a settlement; within the 150 ms in which calls end when their
 * entry VM stops.
 */
const recordTimeoutMs = 100;
/** Wait for a majority of the archives, before the object API takes its place. */
const archiveWaitMs = 50;
/** Limit of the settlements in one message; bounds its size. */
const maxBatchSettlements = 2000;
/** Pause before a batch is resent to an archive that did not acknowledge it. */
const retryDelayMs = 250;
/** Queue limit for one unreachable archive; the oldest are dropped first. */
const maxPendingPerArchive = 20_000;

/** Recipients and clock of a sender. */
export interface SettlementSenderOptions {
  /** Archives that receive the settlements. */
  readonly pool: ArchivePool;
  /** Reservations that this entry VM has recorded in the object API. */
  readonly objects: Pick<
    ReservationObjects,
    'has' | 'settle' | 'recordSettlements'
  >;
  readonly clock: Clock;
}

/** A settlement that some archives have not acknowledged yet. */
interface Settlement extends ProgramEntries {
  /** Archives that have acknowledged it. */
  readonly holders: Set<ArchiveClient>;
  /** Resolves once a majority has acknowledged it. */
  readonly recorded: Deferred<void>;
}

/** Queues settlements and resends them until each archive acknowledges. */
export class SettlementSender {
  private readonly waiting = new Map<string, Settlement[]>();
  /** Settlements that are not known to outlast this process, queued or sent. */
  private readonly unrecorded = new Set<Settlement>();
  /** Those of them that the object API has not acknowledged either. */
  private readonly unwritten = new Set<Settlement>();
  private isRewriting = false;
  private timer: Timer | undefined;
  private prompt: Promise<void> | undefined;
  private isStopped = false;

  private constructor(private readonly options: SettlementSenderOptions) {}

  /**
   * Creates a sender with empty queues.
   * @param options - Recipients and clock.
   */
  static create(options: SettlementSenderOptions): SettlementSender {
    return new SettlementSender(options);
  }

  /**
   * Queues the settlement of an attempt that something else records as well, such
   * as a stored turn.
   * @param program - Program of the attempt.
   * @param attempt - Attempt whose reservation ends.
   * @param tokens - Tokens that the attempt used.
   */
  add(program: ProgramId, attempt: TurnId, tokens: number): void {
    this.options.objects.settle(program, attempt, tokens);
    this.enqueue(program, attempt, tokens);
    this.schedule(batchIntervalMs);
  }

  /**
   * Sends the settlement of an attempt at once. Resolves when a majority of the
   * archives has recorded it, or the object API if too few archives reply, so that
   * it outlasts this process; after 100 ms in any case.
   * @param program - Program of the attempt.
   * @param attempt - Attempt whose reservation ends.
   * @param tokens - Tokens that the attempt used.
   */
  async record(
    program: ProgramId,
    attempt: TurnId,
    tokens: number,
  ): Promise<void> {
    const timeout = Deferred.create<void>();
    const timer = this.options.clock.setTimer(recordTimeoutMs, () =>
      timeout.resolve(),
    );
    const settlement = this.enqueue(program, attempt, tokens);
    await Promise.race([this.deliver(settlement, attempt), timeout.promise]);
    timer.cancel();
  }

  /**
   * Sends all queued settlements; what too few archives acknowledge in time, sent
   * before or now, is written to the object API. Call it before the process ends.
   */
  async flush(): Promise<void> {
    const settlements = [...this.unrecorded];
    void this.sendQueued();
    const all = settlements.map(({recorded}) => recorded.promise);
    await this.waitForArchives(Promise.all(all));
    const missing = settlements.filter((one) => !this.isRecorded(one));
    if (missing.length === 0) return;
    await this.options.objects.recordSettlements(missing, true);
  }

  /** Stops sending; queued settlements are dropped. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private enqueue(
    program: ProgramId,
    attempt: TurnId,
    tokens: number,
  ): Settlement {
    const settlement = {
      program,
      entries: [{attempt, tokens, isSettled: true}],
      holders: new Set<ArchiveClient>(),
      recorded: Deferred.create<void>(),
    };
    this.unrecorded.add(settlement);
    const [oldest] = this.unrecorded;
    if (this.unrecorded.size > maxPendingPerArchive && oldest !== undefined) {
      this.unrecorded.delete(oldest);
    }
    for (const client of this.options.pool.getClients()) {
      this.prepend(client.member.daemon, [settlement]);
    }
    return settlement;
  }

  /**
   * Sends a settlement. If the object API has the reservation, it gets the
   * settlement as well: readers may find it there alone.
   */
  private async deliver(
    settlement: Settlement,
    attempt: TurnId,
  ): Promise<void> {
    const {objects} = this.options;
    const isInObject = objects.has(attempt);
    const written = isInObject ? this.write(settlement) : Promise.resolve();
    const recorded = settlement.recorded.promise;
    await this.waitForArchives(Promise.race([recorded, this.sendPromptly()]));
    if (this.isRecorded(settlement) || isInObject) await written;
    else await Promise.race([recorded, this.write(settlement)]);
  }

  /** Waits for replies of archives; those that are cut off send none. */
  private async waitForArchives(replies: Promise<unknown>): Promise<void> {
    const timeout = Deferred.create<void>();
    const timer = this.options.clock.setTimer(archiveWaitMs, () =>
      timeout.resolve(),
    );
    await Promise.race([replies, timeout.promise]);
    timer.cancel();
  }

  private async write(settlement: Settlement): Promise<void> {
    try {
      await this.options.objects.recordSettlements([settlement]);
      this.unrecorded.delete(settlement);
    } catch {
      // It stays queued for the archives, and is written again.
      this.unwritten.add(settlement);
      this.schedule(retryDelayMs);
    }
  }

  /** Writes what the object API has not acknowledged and too few archives have. */
  private async rewrite(): Promise<void> {
    if (this.isRewriting) return;
    for (const settlement of this.unwritten) {
      if (!this.unrecorded.has(settlement)) this.unwritten.delete(settlement);
    }
    if (this.unwritten.size === 0) return;
    this.isRewriting = true;
    const settlements = [...this.unwritten];
    try {
      await this.options.objects.recordSettlements(settlements);
      for (const settlement of settlements) {
        this.unwritten.delete(settlement);
        this.unrecorded.delete(settlement);
      }
    } catch {
      // The next batch tries it again.
    } finally {
      this.isRewriting = false;
    }
  }

  private isRecorded({holders}: Settlement): boolean {
    const voters = this.options.pool.getVoters();
    const count = voters.filter((client) => holders.has(client)).length;
    return voters.length > 0 && count >= getMajority(voters.length);
  }

  private sendPromptly(): Promise<void> {
    this.prompt ??= this.options.clock.sleep(promptIntervalMs).then(() => {
      this.prompt = undefined;
      return this.sendQueued();
    });
    return this.prompt;
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    if (this.timer !== undefined || this.waiting.size === 0) return;
    this.timer = this.options.clock.setTimer(delayMs, () => {
      this.timer = undefined;
      void this.sendQueued();
    });
  }

  private async sendQueued(): Promise<void> {
    if (this.isStopped) return;
    const clients = this.options.pool.getClients();
    const daemons = new Set<string>(clients.map(({member}) => member.daemon));
    for (const daemon of this.waiting.keys()) {
      if (!daemons.has(daemon)) this.waiting.delete(daemon);
    }
    void this.rewrite();
    await Promise.all(clients.map((client) => this.sendTo(client)));
    this.schedule(this.waiting.size > 0 ? retryDelayMs : batchIntervalMs);
  }

  private async sendTo(client: ArchiveClient): Promise<void> {
    const {daemon} = client.member;
    const queued = this.waiting.get(daemon);
    if (queued === undefined || !client.isReachable) return;
    this.waiting.delete(daemon);
    for (let start = 0; start < queued.length; start += maxBatchSettlements) {
      const batch = queued.slice(start, start + maxBatchSettlements);
      try {
        await client.settle(batch);
      } catch {
        // The pool reports the unreachable archive; the rest is resent.
        this.prepend(daemon, queued.slice(start));
        return;
      }
      for (const settlement of batch) {
        settlement.holders.add(client);
        if (!this.isRecorded(settlement)) continue;
        settlement.recorded.resolve();
        this.unrecorded.delete(settlement);
      }
    }
  }

  private prepend(daemon: string, settlements: readonly Settlement[]): void {
    const pending = this.waiting.get(daemon) ?? [];
    const all = [...settlements, ...pending];
    this.waiting.set(daemon, all.slice(0, maxPendingPerArchive));
  }
}
