/** Waiting calls of one service, in the order of their ranks. */
import {BinaryHeap, type CallId} from '@marigoldpost/common';
import type {WaitingCall} from '../call_scheduler.js';

/** A waiting call with its rank. */
export interface QueuedCall {
  readonly call: WaitingCall;
  readonly rank: number;
  /** Parts calls of equal rank by arrival. */
  readonly sequence: number;
  readonly addedAtMs: number;
}

/** Priority queue that calls can leave from the middle. */
export class CallQueue {
  private readonly calls = new Map<CallId, QueuedCall>();
  private readonly heap = BinaryHeap.create<QueuedCall>(
    (left, right) => left.rank - right.rank || left.sequence - right.sequence,
  );

  private constructor() {}

  /** Creates an empty queue. */
  static create(): CallQueue {
    return new CallQueue();
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.calls.size;
  }

  /**
   * Adds a call.
   * @param queued - The call with its rank.
   */
  addCall(queued: QueuedCall): void {
    this.calls.set(queued.call.callId, queued);
    this.heap.add(queued);
  }

  /**
   * Removes a call; false when it doesn't wait here.
   * @param callId - The call.
   */
  removeCall(callId: CallId): boolean {
    return this.calls.delete(callId);
  }

  /** Removes and returns the first call. */
  takeFirst(): QueuedCall | undefined {
    for (;;) {
      const first = this.heap.remove();
      if (first === undefined) return undefined;
      if (this.calls.get(first.call.callId) !== first) continue;
      this.calls.delete(first.call.callId);
      return first;
    }
  }
}
