/** Completes the replicas of turns that were acknowledged on too few disks. */
import type {Clock, Timer} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ArchivePool} from './archive_pool.js';

/** Pause between two checks whether an archive has returned. */
const checkIntervalMs = 200;
/** Limit of the bytes of turns that are waiting; the oldest are dropped first. */
const maxWaitingBytes = 4 * 1024 * 1024;

/** A turn that too few archives store. */
export interface IncompleteTurn {
  readonly id: TurnId;
  readonly bytes: number;
  /** Time for which the turn is retained from now on. */
  readonly retentionMs: number;
  /** Writes it to further archives; `true` once enough of them store it. */
  readonly storeMissing: () => Promise<boolean>;
}

interface WaitingTurn {
  readonly turn: IncompleteTurn;
  readonly expiresAtMs: number;
}

/**
 * Retries the missing replicas whenever an archive returns. The archive that
 * stores such a turn replicates it as well, unless its disk is lost before.
 */
export class ReplicaCompletion {
  /** By turn, the oldest first. */
  private readonly waiting = new Map<TurnId, WaitingTurn>();
  private waitingBytes = 0;
  private returnCount = 0;
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(
    private readonly pool: ArchivePool,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a completion without turns.
   * @param pool - Archives whose returns are observed.
   * @param clock - Clock of the checks.
   */
  static create(pool: ArchivePool, clock: Clock): ReplicaCompletion {
    return new ReplicaCompletion(pool, clock);
  }

  /**
   * Adds a turn that has just been stored on too few disks.
   * @param turn - Turn and how its missing replicas are stored.
   */
  add(turn: IncompleteTurn): void {
    if (this.isStopped) return;
    if (this.waiting.size === 0) this.returnCount = this.pool.returnCount;
    const expiresAtMs = this.clock.nowMs() + turn.retentionMs;
    this.waiting.set(turn.id, {turn, expiresAtMs});
    this.waitingBytes += turn.bytes;
    for (const id of this.waiting.keys()) {
      if (this.waitingBytes <= maxWaitingBytes) break;
      this.remove(id);
    }
    this.schedule();
  }

  /** Drops the turns and ends the checks. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.waiting.clear();
  }

  private schedule(): void {
    if (this.isStopped || this.waiting.size === 0) return;
    this.timer ??= this.clock.setTimer(checkIntervalMs, () => {
      void this.check().finally(() => {
        this.timer = undefined;
        this.schedule();
      });
    });
  }

  private async check(): Promise<void> {
    const {returnCount} = this.pool;
    const hasReturned = returnCount !== this.returnCount;
    this.returnCount = returnCount;
    for (const [id, {turn, expiresAtMs}] of this.waiting) {
      const isDone =
        expiresAtMs < this.clock.nowMs() ||
        (hasReturned && (await turn.storeMissing()));
      if (isDone) this.remove(id);
    }
  }

  private remove(id: TurnId): void {
    this.waitingBytes -= this.waiting.get(id)?.turn.bytes ?? 0;
    this.waiting.delete(id);
  }
}
