/**
 * Least attained service first, with ageing and call classes. The rank of a
 * call is its arrival time, plus a delay for its class, plus a delay that grows
 * with the attained service of its root program, up to a limit. A call is
 * therefore overtaken only by calls that arrive within `getMaxOvertakingMs`
 * after it, which bounds starvation.
 */
import type {ProgramId} from '@marigoldpost/common';
import type {CallClass} from '@marigoldpost/settings';
import type {CallUsage, WaitingCall} from '../call_scheduler.js';
import {OrderPolicy} from './order_policy.js';

/** Delays that make up the rank of a call. */
export interface AttainedServiceOptions {
  /** Delay for each token of attained service, in milliseconds. */
  readonly delayMsPerToken: number;
  /** Maximum delay for attained service, in milliseconds. */
  readonly maxServiceDelayMs: number;
  /** Delay of each class, in milliseconds. */
  readonly classDelayMs: Readonly<Record<CallClass, number>>;
  /** Service of one uncached prompt token, in generated tokens. */
  readonly prefillTokenWeight: number;
}

/** Options that suit typical engines. */
export const defaultAttainedServiceOptions: AttainedServiceOptions = {
  delayMsPerToken: 10,
  maxServiceDelayMs: 60_000,
  classDelayMs: {immediate: 0, normal: 60_000, batch: 240_000},
  prefillTokenWeight: 0.1,
};

/** Orders calls by arrival, class and attained service of root programs. */
export class AttainedServiceOrder extends OrderPolicy {
  /** Attained service in tokens, by root program. */
  private readonly attained = new Map<ProgramId, number>();

  private constructor(private readonly options: AttainedServiceOptions) {
    super();
  }

  /**
   * Creates an order without recorded service.
   * @param options - Overrides of `defaultAttainedServiceOptions`.
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

  override recordUsage(call: WaitingCall, usage: CallUsage): void {
    const uncached = usage.promptTokens - usage.cachedTokens;
    const service =
      usage.completionTokens + uncached * this.options.prefillTokenWeight;
    const before = this.attained.get(call.rootProgram) ?? 0;
    this.attained.set(call.rootProgram, before + service);
  }

  override removeProgram(program: ProgramId): void {
    this.attained.delete(program);
  }

  /**
   * Gets the maximum time after a call's arrival at which a later call can
   * still overtake it, in milliseconds.
   * @param callClass - Class of the overtaken call.
   */
  getMaxOvertakingMs(callClass: CallClass): number {
    const {classDelayMs, maxServiceDelayMs} = this.options;
    const leastMs = Math.min(...Object.values(classDelayMs));
    return classDelayMs[callClass] + maxServiceDelayMs - leastMs;
  }
}
