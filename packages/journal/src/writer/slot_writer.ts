/** Writes a journal's slots, through outages and lost answers. */
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

/** What a slot writer needs. */
export interface SlotWriterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly partition: PartitionId;
  /** Version of each slot that was ever written, by key. */
  readonly versions: ReadonlyMap<string, number>;
}

/** Writes until it succeeds, is fenced or is stopped. */
export class SlotWriter {
  private readonly resolver: WriteResolver;
  private readonly versions: Map<string, number>;
  private readonly stopping = new AbortController();

  private constructor(private readonly options: SlotWriterOptions) {
    this.resolver = WriteResolver.create(options.store);
    this.versions = new Map(options.versions);
  }

  /**
   * Creates a writer.
   * @param options - Partition and versions of its slots.
   */
  static create(options: SlotWriterOptions): SlotWriter {
    return new SlotWriter(options);
  }

  /**
   * Writes a segment; throws `fenced` when its slot was taken by another holder.
   * @param ordinal - The segment's ordinal.
   * @param value - Its value, with a nonce.
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
      throw this.createFenced();
    }
    this.versions.set(key, result.object.version);
  }

  /**
   * Runs a call to the store until it succeeds. Throws `fenced` once stopped.
   * @param call - The call.
   */
  async attempt<Result>(call: () => Promise<Result>): Promise<Result> {
    const {clock, random} = this.options;
    const backoff = Backoff.create(backoffBounds, random);
    for (;;) {
      if (this.stopping.signal.aborted) throw this.createFenced();
      try {
        return await call();
      } catch (error) {
        const isAway = isErrorOfKind(
          error,
          'store_unavailable',
          'store_ambiguous',
        );
        if (!isAway) throw error;
      }
      await clock
        .sleep(backoff.nextDelayMs(), this.stopping.signal)
        .catch(() => undefined);
    }
  }

  /** Ends every series of tries. */
  stop(): void {
    this.stopping.abort();
  }

  private createFenced(): MarigoldpostError {
    return MarigoldpostError.create(
      'fenced',
      `partition "${this.options.partition}" is no longer held here`,
    );
  }
}
