/** Frames that wait to be written to a stream. */
import {Deferred} from '@marigoldpost/common';
import type {PeerFrame} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/** One frame that waits. */
export interface QueuedFrame {
  readonly frame: PeerFrame;
  /** Whether the stream has taken it, so that the peer may get it. */
  readonly isTaken: boolean;
  /** Fulfilled when the frame is taken, or when the queue ends. */
  readonly settled: Promise<void>;
}

class Entry implements QueuedFrame {
  isTaken = false;
  readonly done = Deferred.create<void>();

  constructor(readonly frame: PeerFrame) {}

  get settled(): Promise<void> {
    return this.done.promise;
  }
}

/** Queue read by one stream, which takes a frame when it can write it. */
export class FrameQueue implements AsyncIterable<PeerFrame> {
  private entries: Entry[] = [];
  private waiting: Deferred<void> | undefined;
  private isEnded = false;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): FrameQueue {
    return new FrameQueue();
  }

  /** Number of frames that wait. */
  get size(): number {
    return this.entries.length;
  }

  /**
   * Adds a frame; after the end it is dropped.
   * @param frame - The frame.
   */
  add(frame: PeerFrame): QueuedFrame {
    const entry = new Entry(frame);
    if (this.isEnded) {
      entry.done.resolve();
      return entry;
    }
    this.entries.push(entry);
    this.wake();
    return entry;
  }

  /**
   * Removes a frame that has not been taken.
   * @param queued - The frame; a taken one is left alone.
   */
  remove(queued: QueuedFrame): void {
    this.entries = this.entries.filter((entry) => entry !== queued);
  }

  /** Drops what waits and ends the reader. */
  end(): void {
    this.isEnded = true;
    for (const entry of this.entries) entry.done.resolve();
    this.entries = [];
    this.wake();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<PeerFrame> {
    while (!this.isEnded) {
      const entry = this.entries.shift();
      if (entry !== undefined) {
        entry.isTaken = true;
        entry.done.resolve();
        yield entry.frame;
        continue;
      }
      this.waiting = Deferred.create<void>();
      await this.waiting.promise;
    }
  }

  private wake(): void {
    this.waiting?.resolve();
    this.waiting = undefined;
  }
}
