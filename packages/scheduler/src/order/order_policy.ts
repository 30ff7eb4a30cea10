/** Order of the queued calls of a service. */
import type {CallUsage, WaitingCall} from '../call_scheduler.js';

/** Ranks each call once, when it is queued. */
export abstract class OrderPolicy {
  /**
   * Gets the rank of a call; the lowest rank is dispatched first.
   * @param call - Call to rank.
   * @param nowMs - Current time, as the arrival time of the call.
   */
  abstract getRank(call: WaitingCall, nowMs: number): number;

  /**
   * Records the usage of a finished call; ignored by default.
   * @param call - Call that has finished.
   * @param usage - Tokens that it used.
   */
  recordUsage(call: WaitingCall, usage: CallUsage): void {
    void call;
    void usage;
  }

  /**
   * Removes the state of a program; does nothing by default.
   * @param program - Program that has ended.
   */
  removeProgram(program: WaitingCall['program']): void {
    void program;
  }
}

/** Ranks calls by arrival time (FIFO). */
export class ArrivalOrder extends OrderPolicy {
  private constructor() {
    super();
  }

  /** Creates the policy; it keeps no state. */
  static create(): ArrivalOrder {
    return new ArrivalOrder();
  }

  override getRank(_call: WaitingCall, nowMs: number): number {
    return nowMs;
  }
}
