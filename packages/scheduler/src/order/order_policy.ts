/** Order of the calls that wait. */
import type {CallUsage, WaitingCall} from '../call_scheduler.js';

/** Gives each call its rank once, when it is added. */
export abstract class OrderPolicy {
  /**
   * Gets a call's rank; the least goes first.
   * @param call - The call.
   * @param nowMs - Present time.
   */
  abstract getRank(call: WaitingCall, nowMs: number): number;

  /**
   * Learns from a finished call.
   * @param call - The call.
   * @param usage - What it used.
   */
  noteFinished(call: WaitingCall, usage: CallUsage): void {
    void call;
    void usage;
  }

  /**
   * Forgets a program that has ended.
   * @param program - The program.
   */
  noteProgramEnded(program: WaitingCall['program']): void {
    void program;
  }
}

/** First come, first served. */
export class ArrivalOrder extends OrderPolicy {
  private constructor() {
    super();
  }

  /** Creates the order. */
  static create(): ArrivalOrder {
    return new ArrivalOrder();
  }

  override getRank(_call: WaitingCall, nowMs: number): number {
    return nowMs;
  }
}
