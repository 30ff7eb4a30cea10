/**
 * Bounds the memory that the bodies of requests occupy together; the limit of each
 * does not.
 *
 * Load pattern: many callers that send large bodies at once, or begin them and do
 * not go on.
 */
import {type Clock, MarigoldpostError} from '@marigoldpost/common';
import {BodyRoom} from './body_room.js';

/** Retry-After for a request that finds no room; bodies are held for seconds. */
const fullRetryAfterMs = 250;

/** Memory of the bodies of all requests. */
export class BodyMemory {
  private totalBytes = 0;
  /** Rooms of bodies that arrive, in the order in which they began. */
  private readonly arriving = new Set<BodyRoom>();

  private constructor(
    private readonly clock: Clock,
    private readonly maxBytes: number,
  ) {}

  /**
   * Creates a memory that holds nothing.
   * @param clock - Clock of the arrivals.
   * @param maxBytes - Most bytes of all bodies together.
   */
  static create(clock: Clock, maxBytes: number): BodyMemory {
    return new BodyMemory(clock, maxBytes);
  }

  /**
   * Opens the room of a body that begins to arrive.
   * @param onEnded - Fails the body's read if others need its room.
   */
  open(onEnded: (error: MarigoldpostError) => void): BodyRoom {
    const room = BodyRoom.create({memory: this, clock: this.clock, onEnded});
    this.arriving.add(room);
    return room;
  }

  /**
   * Changes what a room holds. Without room for more, ends the body that has been
   * arriving for longest, or throws `overloaded` if that is not slow.
   * @param room - Room of the body.
   * @param bytes - Change of its size.
   */
  reserve(room: BodyRoom, bytes: number): void {
    while (bytes > 0 && this.totalBytes + bytes > this.maxBytes) {
      const [oldest] = this.arriving;
      if (oldest === undefined || oldest === room || !oldest.isSlow) {
        const message = 'the memory for request bodies is full';
        const options = {retryAfterMs: fullRetryAfterMs};
        throw MarigoldpostError.create('overloaded', message, options);
      }
      const message = 'the request body did not arrive in time';
      oldest.end(MarigoldpostError.create('body_timeout', message));
    }
    this.totalBytes += bytes;
  }

  /**
   * Notes that a body no longer arrives.
   * @param room - Room of the body.
   */
  settle(room: BodyRoom): void {
    this.arriving.delete(room);
  }
}
