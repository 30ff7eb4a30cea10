/** Memory that one response of a target may occupy. */
import type {BlockPool} from './block_pool.js';
import type {ResponseMemory} from './response_memory.js';

/**
 * Whether a response occupies what it asked for, waits until there is room, or
 * never gets it because it is too large.
 */
export type HoldResult = 'held' | 'waiting' | 'too_large';

/** Memory of one response. */
export class ResponseAllowance {
  /** Bytes that the response occupies; only `ResponseMemory` changes it. */
  heldBytes = 0;
  /** Whether the response was given room for all of it before it was read. */
  isLengthKnown = false;
  private waited = false;

  private constructor(
    private readonly memory: ResponseMemory,
    readonly maxBytes: number,
  ) {}

  /**
   * Creates an allowance; `ResponseMemory` does so.
   * @param memory - Memory of all responses.
   * @param maxBytes - Most bytes of the response.
   */
  static create(memory: ResponseMemory, maxBytes: number): ResponseAllowance {
    return new ResponseAllowance(memory, maxBytes);
  }

  /** Pool of the blocks that the response is kept in. */
  get pool(): BlockPool {
    return this.memory.pool;
  }

  /** Whether the response waits for room. */
  get isWaiting(): boolean {
    return this.memory.isWaiting(this);
  }

  /** Whether the response has ever waited for room. */
  get hasWaited(): boolean {
    return this.waited;
  }

  /**
   * Reserves memory for a response of known length, before anything is read.
   * @param bytes - Length of the response.
   * @param onHeld - Called once the memory is reserved, if the result is
   *   `waiting`.
   */
  reserve(bytes: number, onHeld: () => void): HoldResult {
    this.isLengthKnown = true;
    return this.hold(bytes, onHeld);
  }

  /**
   * Sets the bytes that the response occupies.
   * @param bytes - Bytes that are kept in memory.
   * @param onHeld - Called once there is room, if the result is `waiting`; the
   *   response must not be read before.
   */
  hold(bytes: number, onHeld: () => void): HoldResult {
    if (bytes > this.maxBytes) return 'too_large';
    if (bytes <= this.heldBytes) {
      this.memory.shrink(this, bytes);
      return 'held';
    }
    if (this.memory.grow(this, bytes, onHeld)) return 'held';
    this.waited = true;
    return 'waiting';
  }

  /** Notes that the response has been read, and will not grow any more. */
  finish(): void {
    this.memory.finish(this);
  }

  /** Gives back the bytes of the response. */
  release(): void {
    this.memory.release(this);
  }
}
