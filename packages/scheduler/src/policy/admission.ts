/**
 * Early refusal. A refused first call costs its caller little; a refused late
 * call wastes all that its program has used. So calls that start a program are
 * refused at a much shorter expected wait than calls that go on with one.
 */
import type {CallClass} from '@marigoldpost/settings';
import type {WaitingCall} from '../call_scheduler.js';

/** Expected waits at which calls are refused. */
export interface AdmissionOptions {
  /** For a program's first call, in milliseconds. */
  readonly maxFirstWaitMs: number;
  /** For a program's later calls, in milliseconds. */
  readonly maxLaterWaitMs: number;
}

/** Settings for interactive work. */
export const defaultAdmissionOptions: AdmissionOptions = {
  maxFirstWaitMs: 4_000,
  maxLaterWaitMs: 120_000,
};

const classFactor: Readonly<Record<CallClass, number>> = {
  immediate: 2,
  normal: 1,
  batch: 0.5,
};

/**
 * Checks whether a call has a chance.
 * @param call - The call.
 * @param waitMs - Its expected wait.
 * @param nowMs - Present time.
 * @param options - Waits at which calls are refused.
 */
export function hasChance(
  call: WaitingCall,
  waitMs: number,
  nowMs: number,
  options: AdmissionOptions,
): boolean {
  if (nowMs + waitMs >= call.deadlineMs) return false;
  const isFirst = call.turnIndex === 0 && call.program === call.rootProgram;
  const limitMs = isFirst ? options.maxFirstWaitMs : options.maxLaterWaitMs;
  return waitMs <= limitMs * classFactor[call.callClass];
}
