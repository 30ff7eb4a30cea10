/**
 * Writes finished turns to the object API while too few disks store them.
 *
 * Load pattern: while archives are away, all turns of an entry VM need such a
 * write, and the object API accepts a limited number of calls. Turns that finish
 * while a write is running share the next one.
 */
import {
  type Clock,
  type DaemonId,
  Deferred,
  isErrorOfKind,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {TurnRecord} from '../records/turn_record.js';
import {encodeTurnBatch, turnObjectPrefix} from './turn_object.js';

/** Limit of the bytes of turns in one batch, unless it is one turn. */
const maxBatchBytes = 384 * 1024;
/**
 * Time without success after which a write is sent again, beside the first one:
 * above the latency of an object API that is slow.
 */
const retryDelayMs = 300;
/** Time in which a write is sent again; as long as a turn waits for disks. */
const maxWriteMs = 1500;

/** Object API, pacing and callbacks of a writer. */
export interface TurnObjectWriterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  /** Distinguishes the objects of this process from those of earlier ones. */
  readonly incarnation: string;
  /** Gets the least pause between the starts of two writes. */
  readonly getIntervalMs: () => number;
  readonly onWritten?: (batch: WrittenBatch) => void;
  /** Called when a batch could not be written. */
  readonly onFailed: () => void;
}

/** A batch of turns that is durable in the object API. */
export interface WrittenBatch {
  readonly batch: string;
  readonly turns: number;
  readonly objects: number;
  readonly elapsedMs: number;
}

interface WaitingTurn {
  readonly record: TurnRecord;
  readonly written: Deferred<void>;
  readonly signal: AbortSignal;
}

/** Writes batches of turns, one at a time. */
export class TurnObjectWriter {
  private waiting: WaitingTurn[] = [];
  private isRunning = false;
  private batchCount = 0;
  private nextStartMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: TurnObjectWriterOptions) {}

  /**
   * Creates a writer.
   * @param options - Object API and pacing.
   */
  static create(options: TurnObjectWriterOptions): TurnObjectWriter {
    return new TurnObjectWriter(options);
  }

  /**
   * Writes a turn; resolves once the object API has acknowledged it. Throws the
   * error of the last attempt.
   * @param record - Finished turn.
   * @param signal - Drops the turn, if its write has not started, when aborted.
   */
  write(record: TurnRecord, signal: AbortSignal): Promise<void> {
    const written = Deferred.create<void>();
    this.waiting.push({record, written, signal});
    if (!this.isRunning) void this.run();
    return written.promise;
  }

  private async run(): Promise<void> {
    const {clock, getIntervalMs} = this.options;
    this.isRunning = true;
    while (this.waiting.length > 0) {
      const pauseMs = this.nextStartMs - clock.nowMs();
      if (pauseMs > 0) await clock.sleep(pauseMs);
      this.nextStartMs = clock.nowMs() + getIntervalMs();
      this.dropAborted();
      const turns = this.takeBatch();
      if (turns.length === 0) continue;
      try {
        await this.writeBatch(turns.map(({record}) => record));
        for (const {written} of turns) written.resolve();
      } catch (error) {
        this.options.onFailed();
        const failure = toMarigoldpostError(error);
        for (const {written} of turns) written.reject(failure);
      }
    }
    this.isRunning = false;
  }

  /** Drops turns whose calls have ended, so that they delay no others. */
  private dropAborted(): void {
    for (const {signal, written, record} of this.waiting) {
      if (!signal.aborted) continue;
      const message = `the write of turn "${record.id}" was not started in time`;
      written.reject(MarigoldpostError.create('store_unavailable', message));
    }
    this.waiting = this.waiting.filter(({signal}) => !signal.aborted);
  }

  private takeBatch(): WaitingTurn[] {
    let bytes = 0;
    const count = this.waiting.findIndex(({record}, index) => {
      bytes += record.input.byteLength + record.output.byteLength;
      return index > 0 && bytes > maxBatchBytes;
    });
    const turns = count < 0 ? this.waiting : this.waiting.slice(0, count);
    this.waiting = this.waiting.slice(turns.length);
    return turns;
  }

  private async writeBatch(records: readonly TurnRecord[]): Promise<void> {
    const {clock, daemon, incarnation, onWritten} = this.options;
    const startMs = clock.nowMs();
    this.batchCount += 1;
    const batch = `${daemon}.${incarnation}.${this.batchCount}`;
    const values = encodeTurnBatch(batch, records);
    for (const [part, value] of values.entries()) {
      const key = `${turnObjectPrefix}${batch}.${part}`;
      await this.createObject(key, value, startMs + maxWriteMs);
    }
    const elapsedMs = clock.nowMs() - startMs;
    const objects = values.length;
    onWritten?.({batch, turns: records.length, objects, elapsedMs});
  }

  /** Creates an object; an attempt whose answer is lost does not delay others. */
  private async createObject(
    key: string,
    value: string,
    endMs: number,
  ): Promise<void> {
    const {clock} = this.options;
    const created = Deferred.create<boolean>();
    let failure = MarigoldpostError.create(
      'store_unavailable',
      `the object API did not acknowledge object "${key}" in time`,
    );
    while (clock.nowMs() + retryDelayMs <= endMs) {
      this.tryCreateObject(key, value).then(
        () => created.resolve(true),
        (error: unknown) => (failure = toMarigoldpostError(error)),
      );
      const isOverdue = clock.sleep(retryDelayMs).then(() => false);
      if (await Promise.race([created.promise, isOverdue])) return;
    }
    throw failure;
  }

  /** Creates an object, unless an earlier attempt has taken effect. */
  private async tryCreateObject(key: string, value: string): Promise<void> {
    const {store} = this.options;
    try {
      await store.createObject(key, value);
    } catch (error) {
      if (!isErrorOfKind(error, 'object_exists')) throw error;
      // A process before a clock that was set back may have used the same name.
      const stored = await store.getObject(key);
      if (stored?.value !== value) throw error;
    }
  }
}
