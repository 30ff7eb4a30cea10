/**
 * Least attained service for whole programs, with ageing and classes. A call's
 * rank is its arrival time, plus a delay for its class, plus a delay that grows
 * with the service its root program has had, up to a limit. So a call is passed
 * only by calls that arrive within `getMaxOvertakingMs` after it: that is the
 * bound on starvation.
 */
import type {ProgramId} from '@marigoldpost/common';
import type {CallClass} from '@marigoldpost/settings';
import type {CallUsage, WaitingCall} from '../call_scheduler.js';
import {OrderPolicy} from './order_policy.js';

/** Settings of the order. */
export interface AttainedServiceOptions {
  /** Delay for each token of attained service, in milliseconds. */
  readonly delayMsPerToken: number;
  /** Most delay for attained service, in milliseconds. */
  readonly maxServiceDelayMs: number;
  /** Delay of each class, in milliseconds. */
  readonly classDelayMs: Readonly<Record<CallClass, number>>;
  /** Service of one uncached prompt token, in generated tokens. */
  readonly prefillShare: number;
}

/** Settings for ordinary engines. */
export const defaultAttainedServiceOptions: AttainedServiceOptions = {
  delayMsPerToken: 10,
  maxServiceDelayMs: 60_000,
  classDelayMs: {immediate: 0, normal: 60_000, batch: 240_000},
  prefillShare: 0.1,
};

/** Order by attained service of root programs. */
export class AttainedServiceOrder extends OrderPolicy {
  /** Attained service in tokens, by root program. */
  private readonly attained = new Map<ProgramId, number>();

  private constructor(private readonly options: AttainedServiceOptions) {
    super();
  }

  /**
   * Creates the order.
   * @param options - What differs from `defaultAttainedServiceOptions`.
   */
  static create(
    options: Partial<AttainedServiceOptions> = {},
  ): AttainedServiceOrder {
    return new AttainedServiceOrder({
      ...defaultAttainedServiceOptions,
      ...options,
    });
  }

  override getRank(call: WaitingCall, nowMs: number): number {
    const {classDelayMs, delayMsPerToken, maxServiceDelayMs} = this.options;
    const attained = this.attained.get(call.rootProgram) ?? 0;
    const serviceDelayMs = Math.min(
      maxServiceDelayMs,
      attained * delayMsPerToken,
    );
    return nowMs + classDelayMs[call.callClass] + serviceDelayMs;
  }

  override noteFinished(call: WaitingCall, usage: CallUsage): void {
    const uncached = usage.promptTokens - usage.cachedTokens;
    const service =
      usage.completionTokens + uncached * this.options.prefillShare;
    const before = this.attained.get(call.rootProgram) ?? 0;
    this.attained.set(call.rootProgram, before + service);
  }

  override noteProgramEnded(program: ProgramId): void {
    this.attained.delete(program);
  }

  /**
   * Gets how much later a call can arrive and still go first, in milliseconds.
   * @param callClass - Class of the call that is passed.
   */
  getMaxOvertakingMs(callClass: CallClass): number {
    const {classDelayMs, maxServiceDelayMs} = this.options;
    const leastMs = Math.min(...Object.values(classDelayMs));
    return classDelayMs[callClass] + maxServiceDelayMs - leastMs;
  }
}
