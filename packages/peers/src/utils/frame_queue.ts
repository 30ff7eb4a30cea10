/** Queue of frames to be written to a stream. */
import {Deferred} from '@marigoldpost/common';
import type {PeerFrame} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/** Handle of an enqueued frame. */
export interface QueuedFrame {
  readonly frame: PeerFrame;
  /** Whether the stream has dequeued it, so that the peer may receive it. */
  readonly isDequeued: boolean;
  /** Fulfilled when the frame is dequeued, or when the queue ends. */
  readonly settled: Promise<void>;
}

class QueueEntry implements QueuedFrame {
  isDequeued = false;
  readonly done = Deferred.create<void>();

  constructor(readonly frame: PeerFrame) {}

  get settled(): Promise<void> {
    return this.done.promise;
  }
}

/** Queue with one reader, a stream that dequeues a frame when it can write. */
export class FrameQueue implements AsyncIterable<PeerFrame> {
  private entries: QueueEntry[] = [];
  private waiting: Deferred<void> | undefined;
  private drained: Deferred<void> | undefined;
  private isEnded = false;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): FrameQueue {
    return new FrameQueue();
  }

  /** Number of queued frames. */
  get size(): number {
    return this.entries.length;
  }

  /**
   * Enqueues a frame; a queue that has ended discards it.
   * @param frame - Frame to write.
   */
  add(frame: PeerFrame): QueuedFrame {
    const entry = new QueueEntry(frame);
    if (this.isEnded) {
      entry.done.resolve();
      return entry;
    }
    this.entries.push(entry);
    this.wakeReader();
    return entry;
  }

  /**
   * Removes a queued frame; has no effect on a dequeued one.
   * @param queued - Handle that `add` returned.
   */
  remove(queued: QueuedFrame): void {
    this.entries = this.entries.filter((entry) => entry !== queued);
  }

  /**
   * Waits until fewer frames are queued, or the queue ends.
   * @param size - Number of frames.
   */
  async waitUntilBelow(size: number): Promise<void> {
    while (this.entries.length >= size && !this.isEnded) {
      this.drained ??= Deferred.create<void>();
      await this.drained.promise;
    }
  }

  /** Discards all queued frames and ends the reader. */
  end(): void {
    this.isEnded = true;
    for (const entry of this.entries) entry.done.resolve();
    this.entries = [];
    this.wakeReader();
    this.wakeWriter();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<PeerFrame> {
    while (!this.isEnded) {
      const entry = this.entries.shift();
      if (entry !== undefined) {
        entry.isDequeued = true;
        entry.done.resolve();
        this.wakeWriter();
        yield entry.frame;
        continue;
      }
      this.waiting = Deferred.create<void>();
      await this.waiting.promise;
    }
  }

  private wakeWriter(): void {
    this.drained?.resolve();
    this.drained = undefined;
  }

  private wakeReader(): void {
    this.waiting?.resolve();
    this.waiting = undefined;
  }
}
