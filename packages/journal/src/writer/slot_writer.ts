/** Writes to a journal's slots, with retries after outages and lost answers. */
import {
  Backoff,
  isErrorOfKind,
  MarigoldpostError,
  type Clock,
  type PartitionId,
  type Random,
} from '@marigoldpost/common';
import {WriteResolver, type ObjectStore} from '@marigoldpost/platform';
import {getSegmentKey} from '../segments/segment.js';

const backoffBounds = {baseMs: 20, maxMs: 2_000};

/** Partition, slot versions and dependencies of a slot writer. */
export interface SlotWriterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly partition: PartitionId;
  /** Version of each slot that was ever written, by object key. */
  readonly versions: ReadonlyMap<string, number>;
}

/** Retries each write until it succeeds, is fenced or the writer is stopped. */
export class SlotWriter {
  private readonly resolver: WriteResolver;
  private readonly versions: Map<string, number>;
  private readonly stopController = new AbortController();

  private constructor(private readonly options: SlotWriterOptions) {
    this.resolver = WriteResolver.create(options.store);
    this.versions = new Map(options.versions);
  }

  /**
   * Creates a writer.
   * @param options - Partition, slot versions and dependencies.
   */
  static create(options: SlotWriterOptions): SlotWriter {
    return new SlotWriter(options);
  }

  /**
   * Writes a segment; throws `fenced` when another holder has written its slot.
   * @param ordinal - Ordinal of the segment.
   * @param value - Encoded segment; its nonce makes it unique.
   */
  async writeSegment(ordinal: number, value: string): Promise<void> {
    const key = getSegmentKey(this.options.partition, ordinal);
    const version = this.versions.get(key);
    const result = await this.attempt(() =>
      version === undefined
        ? this.resolver.createObject(key, value)
        : this.resolver.updateObject(key, value, version),
    );
    if (!result.isApplied || result.object === undefined) {
      throw this.createFencedError();
    }
    this.versions.set(key, result.object.version);
  }

  /**
   * Retries a call to the store, with backoff, until it succeeds. Throws
   * `fenced` once the writer is stopped.
   * @param call - Call to the store; it may run several times.
   */
  async attempt<Result>(call: () => Promise<Result>): Promise<Result> {
    const {clock, random} = this.options;
    const backoff = Backoff.create(backoffBounds, random);
    for (;;) {
      if (this.stopController.signal.aborted) throw this.createFencedError();
      try {
        return await call();
      } catch (error) {
        const isTransient = isErrorOfKind(
          error,
          'store_unavailable',
          'store_ambiguous',
        );
        if (!isTransient) throw error;
      }
      await clock
        .sleep(backoff.nextDelayMs(), this.stopController.signal)
        .catch(() => undefined);
    }
  }

  /** Stops all retries; they throw `fenced`. */
  stop(): void {
    this.stopController.abort();
  }

  private createFencedError(): MarigoldpostError {
    return MarigoldpostError.create(
      'fenced',
      `partition "${this.options.partition}" is no longer held here`,
    );
  }
}
