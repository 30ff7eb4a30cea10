/** Stores turns again whose entries in the own log cannot be read. */
import type {Clock} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {Archive} from '../archive/archive.js';
import type {IndexedTurn} from '../archive/turn_index.js';
import type {ArchiveClient} from '../client/archive_client.js';
import type {ArchivePool} from '../client/archive_pool.js';
import type {TurnRecord} from '../records/turn_record.js';

/** Pause before a turn that no peer could send is asked for again. */
const retryMs = 2000;
/** Limit of the turns asked for in one round; each reply has a whole chain. */
const maxTurnsPerRound = 16;
/** Least pause between two reports. */
const reportIntervalMs = 5000;

/** Damaged turns since the last report. */
export interface DamageReport {
  /** Turns whose entries could not be read. */
  readonly found: number;
  /** Turns that can be read again, or were stored again from a peer. */
  readonly restored: number;
  /** One of the turns. */
  readonly turn: TurnId;
}

/** Archive, peers and callback of a restorer. */
export interface DamagedTurnRestorerOptions {
  readonly archive: Archive;
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly onDamaged?: ((report: DamageReport) => void) | undefined;
}

/** Fetches damaged turns of one archive from its peers. */
export class DamagedTurnRestorer {
  /** Damaged turns, each with the time of the next attempt to restore it. */
  private readonly nextAttemptsMs = new Map<TurnId, number>();
  private foundCount = 0;
  private restoredCount = 0;
  private example: TurnId | undefined;
  private nextReportMs = 0;

  private constructor(private readonly options: DamagedTurnRestorerOptions) {}

  /**
   * Creates a restorer.
   * @param options - Archive, peers and callback.
   */
  static create(options: DamagedTurnRestorerOptions): DamagedTurnRestorer {
    return new DamagedTurnRestorer(options);
  }

  /** Tries to restore the damaged turns that are due, and reports them. */
  async restore(): Promise<void> {
    const {archive, clock} = this.options;
    const damaged = archive.getDamagedTurns();
    this.updateCounts(damaged);
    const nowMs = clock.nowMs();
    const due = damaged.filter(
      ({id}) => (this.nextAttemptsMs.get(id) ?? 0) <= nowMs,
    );
    for (const turn of due.slice(0, maxTurnsPerRound)) {
      this.nextAttemptsMs.set(turn.id, nowMs + retryMs);
      await this.restoreTurn(turn);
    }
    this.report();
  }

  private updateCounts(damaged: readonly IndexedTurn[]): void {
    const {archive} = this.options;
    const ids = new Set(damaged.map(({id}) => id));
    for (const id of this.nextAttemptsMs.keys()) {
      if (ids.has(id)) continue;
      this.nextAttemptsMs.delete(id);
      // A peer may have sent it as well.
      if (archive.hasTurn(id)) this.restoredCount += 1;
    }
    for (const id of ids) {
      if (this.nextAttemptsMs.has(id)) continue;
      this.nextAttemptsMs.set(id, 0);
      this.foundCount += 1;
      this.example = id;
    }
  }

  private async restoreTurn(turn: IndexedTurn): Promise<void> {
    const {archive, pool} = this.options;
    // The failure to read it may have been temporary.
    if ((await archive.tryReadTurn(turn)) !== undefined) return;
    for (const client of pool.getClients()) {
      if (!client.isReachable) continue;
      const record = await fetchTurn(client, turn.id);
      if (record === undefined) continue;
      await archive.storeTurns([record]);
      return;
    }
  }

  private report(): void {
    const {clock, onDamaged} = this.options;
    const {example, foundCount, restoredCount} = this;
    if (example === undefined || foundCount + restoredCount === 0) return;
    if (clock.nowMs() < this.nextReportMs) return;
    this.nextReportMs = clock.nowMs() + reportIntervalMs;
    this.foundCount = 0;
    this.restoredCount = 0;
    onDamaged?.({found: foundCount, restored: restoredCount, turn: example});
  }
}

async function fetchTurn(
  client: ArchiveClient,
  id: TurnId,
): Promise<TurnRecord | undefined> {
  try {
    const chain = await client.fetchChain(id);
    return chain.turns.at(-1);
  } catch {
    // The pool reports the unreachable archive; the next one is asked.
    return undefined;
  }
}
