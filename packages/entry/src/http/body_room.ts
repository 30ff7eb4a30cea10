/** Room of one request body in the memory for bodies. */
import type {Clock, MarigoldpostError} from '@marigoldpost/common';
import type {BodyMemory} from './body_memory.js';

/** Time from which a body that still arrives is ended if there is no room. */
const slowArrivalMs = 10_000;

/** Memory of bodies, and the body. */
export interface BodyRoomOptions {
  readonly memory: BodyMemory;
  readonly clock: Clock;
  /** Fails the read of a body that is ended for others. */
  readonly onEnded: (error: MarigoldpostError) => void;
}

/** Counts the bytes of one body until its request ends. */
export class BodyRoom {
  private held = 0;
  private readonly sinceMs: number;

  private constructor(private readonly options: BodyRoomOptions) {
    this.sinceMs = options.clock.nowMs();
  }

  /**
   * Creates an empty room.
   * @param options - Memory of bodies, and the body.
   */
  static create(options: BodyRoomOptions): BodyRoom {
    return new BodyRoom(options);
  }

  /** Whether it has been arriving for long enough to make room for others. */
  get isSlow(): boolean {
    return this.options.clock.nowMs() - this.sinceMs >= slowArrivalMs;
  }

  /**
   * Holds room for a size; throws `overloaded` if there is none.
   * @param bytes - Bytes that the body occupies from now on.
   */
  grow(bytes: number): void {
    this.options.memory.reserve(this, bytes - this.held);
    this.held = bytes;
  }

  /** Notes that the body has arrived; it keeps its room until it is released. */
  settle(): void {
    this.options.memory.settle(this);
  }

  /** Gives back all that it holds. */
  release(): void {
    this.settle();
    this.grow(0);
  }

  /**
   * Ends a body that still arrives.
   * @param error - Error of its request.
   */
  end(error: MarigoldpostError): void {
    this.release();
    this.options.onEnded(error);
  }
}
