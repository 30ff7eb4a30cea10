/** Priority queue of the calls of one service, by rank. */
import {BinaryHeap, type CallId} from '@marigoldpost/common';
import type {WaitingCall} from '../call_scheduler.js';

/** A queued call with its rank. */
export interface QueuedCall {
  readonly call: WaitingCall;
  readonly rank: number;
  /** Arrival number, which orders calls of equal rank. */
  readonly sequence: number;
  readonly addedAtMs: number;
}

/** Priority queue with lazy removal of calls from the heap. */
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

  /** Number of queued calls. */
  get size(): number {
    return this.calls.size;
  }

  /**
   * Adds a call.
   * @param queued - Call with its rank.
   */
  addCall(queued: QueuedCall): void {
    this.calls.set(queued.call.callId, queued);
    this.heap.add(queued);
  }

  /**
   * Removes a call; false if it is not queued here.
   * @param callId - Id of the call.
   */
  removeCall(callId: CallId): boolean {
    return this.calls.delete(callId);
  }

  /** Removes and returns the call with the lowest rank, if any. */
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
