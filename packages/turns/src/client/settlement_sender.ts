/** Tells every archive what attempts really used. */
import type {Clock, ProgramId, Timer} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ProgramEntries} from '../records/turn_codec.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';

/**
 * Settlements of this long go in one message; half of the second within which
 * a budget must know what a finished turn used.
 */
const batchMs = 500;
/** Pause before a batch is sent again to an archive that did not take it. */
const retryMs = 250;
/** Settlements kept for one silent archive; the oldest go first. */
const maxWaiting = 20_000;

/** Sends settlements until each archive has acknowledged them. */
export class SettlementSender {
  private readonly waiting = new Map<string, ProgramEntries[]>();
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(
    private readonly pool: ArchivePool,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a sender.
   * @param pool - The archives.
   * @param clock - Source of time.
   */
  static create(pool: ArchivePool, clock: Clock): SettlementSender {
    return new SettlementSender(pool, clock);
  }

  /**
   * Settles an attempt.
   * @param program - Its program.
   * @param attempt - The attempt.
   * @param tokens - Tokens that it used.
   */
  add(program: ProgramId, attempt: TurnId, tokens: number): void {
    const entries = [{attempt, tokens, isSettled: true}];
    for (const client of this.pool.getClients()) {
      this.putBack(client.member.daemon, [{program, entries}]);
    }
    this.schedule(batchMs);
  }

  /** Sends nothing more. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    if (this.timer !== undefined || this.waiting.size === 0) return;
    this.timer = this.clock.setTimer(delayMs, () => {
      this.timer = undefined;
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    const clients = this.pool.getClients();
    const daemons = new Set<string>(clients.map(({member}) => member.daemon));
    for (const daemon of this.waiting.keys()) {
      if (!daemons.has(daemon)) this.waiting.delete(daemon);
    }
    await Promise.all(clients.map((client) => this.flushTo(client)));
    this.schedule(this.waiting.size > 0 ? retryMs : batchMs);
  }

  private async flushTo(client: ArchiveClient): Promise<void> {
    const {daemon} = client.member;
    const ledgers = this.waiting.get(daemon);
    if (ledgers === undefined || !client.isReachable) return;
    this.waiting.delete(daemon);
    try {
      await client.settle(ledgers);
    } catch {
      // The pool reports the silence; the batch is sent again.
      this.putBack(daemon, ledgers);
    }
  }

  private putBack(daemon: string, ledgers: readonly ProgramEntries[]): void {
    const known = this.waiting.get(daemon) ?? [];
    const all = [...ledgers, ...known];
    this.waiting.set(daemon, all.slice(0, maxWaiting));
  }
}
