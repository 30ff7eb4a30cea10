/**
 * Bounds the memory that responses of targets occupy. Load pattern: faulty
 * targets send bytes without end, in many responses at a time, while others
 * send large responses that are sound.
 *
 * A response that finds no room waits, and its target with it. A response of
 * known length gets room for all of it before it is read, so that it holds
 * nothing while it waits. Others grow by parts; they cannot block each other
 * for good, because there is always room for what the largest of them, the
 * leader, may still need.
 */
import {MarigoldpostError, type Outcome} from '@marigoldpost/common';
import {BlockPool} from './block_pool.js';
import {ResponseAllowance} from './response_allowance.js';

/**
 * Share of the memory that one response may use. The limit of request bodies
 * does not bound responses: a change of it must not truncate them.
 */
const maxResponseShare = 1 / 8;
/** Share of the memory that is reserved for small responses. */
const smallResponsesShare = 1 / 8;
/** Size up to which a response counts as small. */
const maxSmallBytes = 16 * 1024;
/** What the connection of a response that waits may buffer. */
const waitingBytes = 64 * 1024;
/** Retry-After for a call that is rejected while the memory is full. */
const fullRetryAfterMs = 150;

interface Growth {
  readonly bytes: number;
  readonly onHeld: () => void;
}

/** Memory of all responses of a process. */
export class ResponseMemory {
  private readonly waiting = new Map<ResponseAllowance, Growth>();
  /** Responses of unknown length that are being read and are not small. */
  private readonly growing = new Set<ResponseAllowance>();
  private leader: ResponseAllowance | undefined;
  private readonly small = new Set<ResponseAllowance>();
  private readonly maxBytesEach: number;
  private readonly maxSmallTotal: number;
  private readonly maxLargeTotal: number;
  /** Pool of the blocks that responses are kept in. */
  readonly pool: BlockPool;
  private smallTotal = 0;
  private largeTotal = 0;

  private constructor(maxBytes: number) {
    this.pool = BlockPool.create(maxBytes);
    this.maxBytesEach = maxBytes * maxResponseShare;
    this.maxSmallTotal = maxBytes * smallResponsesShare;
    this.maxLargeTotal = maxBytes - this.maxSmallTotal;
  }

  /**
   * Creates a memory that holds nothing.
   * @param maxBytes - Most bytes of all responses together.
   */
  static create(maxBytes: number): ResponseMemory {
    return new ResponseMemory(maxBytes);
  }

  /** Bytes that responses occupy. */
  get heldBytes(): number {
    return this.smallTotal + this.largeTotal;
  }

  /** Number of responses that wait for room. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Whether there is no room for a further response, even a small one. */
  get isFull(): boolean {
    const {size} = this.waiting;
    const isSmallFull = this.smallTotal + maxSmallBytes > this.maxSmallTotal;
    return (
      size > 0 && (isSmallFull || size * waitingBytes > this.maxSmallTotal)
    );
  }

  /**
   * Throws `overloaded` if there is no room for the response to a request.
   * @param outcome - Whether an earlier attempt of the request may have run.
   */
  check(outcome: Outcome): void {
    if (!this.isFull) return;
    const message = 'the memory for responses is full';
    const retryAfterMs = fullRetryAfterMs;
    throw MarigoldpostError.create('overloaded', message, {
      retryAfterMs,
      outcome,
    });
  }

  /** Creates the allowance of one response. */
  createAllowance(): ResponseAllowance {
    return ResponseAllowance.create(this, this.maxBytesEach);
  }

  /**
   * Lets a response grow to a number of bytes; `ResponseAllowance` does so.
   * False if it must wait for room; `onHeld` is then called once it has grown.
   * @param response - Allowance of the response.
   * @param bytes - Bytes of the response, at most its maximum.
   * @param onHeld - Called at most once, never before this returns.
   */
  grow(
    response: ResponseAllowance,
    bytes: number,
    onHeld: () => void,
  ): boolean {
    const isFirst = this.waiting.size === 0 || response === this.leader;
    if (this.tryGrow(response, bytes, isFirst)) return true;
    this.waiting.set(response, {bytes, onHeld});
    return false;
  }

  /**
   * Reduces what a response holds; `ResponseAllowance` does so.
   * @param response - Allowance of the response.
   * @param bytes - Bytes of the response, at most what it holds.
   */
  shrink(response: ResponseAllowance, bytes: number): void {
    if (bytes === response.heldBytes) return;
    this.change(response, bytes, this.small.has(response));
    if (response === this.leader) this.chooseLeader();
    this.serveWaiting();
  }

  /**
   * Notes that a response will not grow any more; `ResponseAllowance` does so.
   * @param response - Allowance of the response.
   */
  finish(response: ResponseAllowance): void {
    this.growing.delete(response);
    if (response !== this.leader) return;
    this.chooseLeader();
    this.serveWaiting();
  }

  /**
   * Gives back all that a response holds; `ResponseAllowance` does so.
   * @param response - Allowance of the response.
   */
  release(response: ResponseAllowance): void {
    this.waiting.delete(response);
    this.growing.delete(response);
    this.change(response, 0, this.small.has(response));
    this.small.delete(response);
    if (response === this.leader) this.chooseLeader();
    this.serveWaiting();
  }

  /** Whether a response waits for room. */
  isWaiting(response: ResponseAllowance): boolean {
    return this.waiting.has(response);
  }

  private serveWaiting(): void {
    let isFirst = true;
    for (const [response, {bytes, onHeld}] of this.waiting) {
      const mayUseAll = isFirst || response === this.leader;
      if (this.tryGrow(response, bytes, mayUseAll)) {
        this.waiting.delete(response);
        onHeld();
      } else isFirst = false;
    }
  }

  private tryGrow(
    response: ResponseAllowance,
    bytes: number,
    mayUseLargeRoom: boolean,
  ): boolean {
    if (this.fitsAsSmall(response, bytes)) {
      this.change(response, bytes, true);
      return true;
    }
    if (!mayUseLargeRoom || !this.fitsAsLarge(response, bytes)) return false;
    this.change(response, bytes, false);
    if (!response.isLengthKnown) {
      this.growing.add(response);
      if (bytes > (this.leader?.heldBytes ?? 0)) this.leader = response;
    }
    return true;
  }

  private fitsAsSmall(response: ResponseAllowance, bytes: number): boolean {
    const held = response.heldBytes;
    if (bytes > maxSmallBytes) return false;
    if (held > 0 && !this.small.has(response)) return false;
    return this.smallTotal - held + bytes <= this.maxSmallTotal;
  }

  private fitsAsLarge(response: ResponseAllowance, bytes: number): boolean {
    const held = this.small.has(response) ? 0 : response.heldBytes;
    const total = this.largeTotal - held + bytes;
    const room = this.maxLargeTotal - total;
    if (response === this.leader) return room >= 0;
    return room >= this.getLeaderNeed(response, bytes);
  }

  /** Gets what the leader may still need once a response has grown. */
  private getLeaderNeed(response: ResponseAllowance, bytes: number): number {
    const {leader, maxBytesEach} = this;
    const isCandidate = !response.isLengthKnown;
    if (leader === undefined && !isCandidate) return 0;
    const largest = Math.max(leader?.heldBytes ?? 0, isCandidate ? bytes : 0);
    return maxBytesEach - largest;
  }

  private change(
    response: ResponseAllowance,
    bytes: number,
    isSmall: boolean,
  ): void {
    const held = response.heldBytes;
    if (this.small.has(response)) this.smallTotal -= held;
    else this.largeTotal -= held;
    if (isSmall) {
      this.small.add(response);
      this.smallTotal += bytes;
    } else {
      this.small.delete(response);
      this.largeTotal += bytes;
    }
    response.heldBytes = bytes;
  }

  private chooseLeader(): void {
    this.leader = undefined;
    for (const response of this.growing) {
      if (response.heldBytes > (this.leader?.heldBytes ?? 0)) {
        this.leader = response;
      }
    }
  }
}
