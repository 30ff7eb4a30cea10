/**
 * Admission control. Rejecting the first call of a program costs its caller
 * little; rejecting a later one wastes the work that the program has done. So
 * first calls are rejected at a much shorter expected wait than later ones.
 */
import type {CallClass} from '@marigoldpost/settings';
import type {WaitingCall} from '../call_scheduler.js';

/** Expected waits above which calls are rejected. */
export interface AdmissionOptions {
  /** Maximum for the first call of a program, in milliseconds. */
  readonly maxFirstWaitMs: number;
  /** Maximum for later calls and for sub-agents, in milliseconds. */
  readonly maxLaterWaitMs: number;
}

/** Options that suit interactive programs. */
export const defaultAdmissionOptions: AdmissionOptions = {
  maxFirstWaitMs: 4_000,
  maxLaterWaitMs: 120_000,
};

const waitFactorByClass: Readonly<Record<CallClass, number>> = {
  immediate: 2,
  normal: 1,
  batch: 0.5,
};

/**
 * Checks that the expected wait of a call is within its deadline and its limit.
 * @param call - Call to admit.
 * @param waitMs - Expected wait of the call.
 * @param nowMs - Current time on the scheduler's clock.
 * @param options - Expected waits above which calls are rejected.
 */
export function isAdmissible(
  call: WaitingCall,
  waitMs: number,
  nowMs: number,
  options: AdmissionOptions,
): boolean {
  if (nowMs + waitMs >= call.deadlineMs) return false;
  const isFirst = call.turnIndex === 0 && call.program === call.rootProgram;
  const limitMs = isFirst ? options.maxFirstWaitMs : options.maxLaterWaitMs;
  return waitMs <= limitMs * waitFactorByClass[call.callClass];
}
