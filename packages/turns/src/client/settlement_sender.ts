/** Sends every archive the tokens that attempts used. */
import type {Clock, ProgramId, Timer} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ReservationObjects} from '../objects/reservation_objects.js';
import type {ProgramEntries} from '../records/turn_codec.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';

/**
 * Settlements of this interval share one message. It is half of the 1 s within
 * which a budget must include the tokens of a finished turn.
 */
const batchIntervalMs = 500;
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
  readonly objects: Pick<ReservationObjects, 'settle'>;
  readonly clock: Clock;
}

/** Queues settlements and resends them until each archive acknowledges. */
export class SettlementSender {
  private readonly waiting = new Map<string, ProgramEntries[]>();
  private timer: Timer | undefined;
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
   * Queues the settlement of an attempt for every archive.
   * @param program - Program of the attempt.
   * @param attempt - Attempt whose reservation ends.
   * @param tokens - Tokens that the attempt used.
   */
  add(program: ProgramId, attempt: TurnId, tokens: number): void {
    const {pool, objects} = this.options;
    const entries = [{attempt, tokens, isSettled: true}];
    objects.settle(program, attempt, tokens);
    for (const client of pool.getClients()) {
      this.prepend(client.member.daemon, [{program, entries}]);
    }
    this.schedule(batchIntervalMs);
  }

  /** Stops sending; queued settlements are dropped. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    if (this.timer !== undefined || this.waiting.size === 0) return;
    this.timer = this.options.clock.setTimer(delayMs, () => {
      this.timer = undefined;
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    const clients = this.options.pool.getClients();
    const daemons = new Set<string>(clients.map(({member}) => member.daemon));
    for (const daemon of this.waiting.keys()) {
      if (!daemons.has(daemon)) this.waiting.delete(daemon);
    }
    await Promise.all(clients.map((client) => this.flushTo(client)));
    this.schedule(this.waiting.size > 0 ? retryDelayMs : batchIntervalMs);
  }

  private async flushTo(client: ArchiveClient): Promise<void> {
    const {daemon} = client.member;
    const ledgers = this.waiting.get(daemon);
    if (ledgers === undefined || !client.isReachable) return;
    this.waiting.delete(daemon);
    for (let start = 0; start < ledgers.length; start += maxBatchSettlements) {
      try {
        await client.settle(ledgers.slice(start, start + maxBatchSettlements));
      } catch {
        // The pool reports the unreachable archive; the rest is resent.
        this.prepend(daemon, ledgers.slice(start));
        return;
      }
    }
  }

  private prepend(daemon: string, ledgers: readonly ProgramEntries[]): void {
    const pending = this.waiting.get(daemon) ?? [];
    const all = [...ledgers, ...pending];
    this.waiting.set(daemon, all.slice(0, maxPendingPerArchive));
  }
}
