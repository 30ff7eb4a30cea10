/** Queue orders of the baseline policies and of the oracle policy. */
import {OrderPolicy, type WaitingCall} from '@marigoldpost/scheduler';
import type {OracleView} from '../simulation/simulation_options.js';

/** Ranks calls with fewer prompt tokens first. */
export class ShortestPromptOrder extends OrderPolicy {
  private constructor() {
    super();
  }

  /** Creates an order without state. */
  static create(): ShortestPromptOrder {
    return new ShortestPromptOrder();
  }

  override getRank(call: WaitingCall): number {
    return call.promptTokens;
  }
}

/**
 * Ranks calls by the remaining work of their program, which the oracle knows.
 */
export class OracleOrder extends OrderPolicy {
  private constructor(private readonly oracle: OracleView) {
    super();
  }

  /**
   * Creates an order.
   * @param oracle - Provides the remaining tokens of each program.
   */
  static create(oracle: OracleView): OracleOrder {
    return new OracleOrder(oracle);
  }

  override getRank(call: WaitingCall): number {
    return this.oracle.getRemainingTokens(call);
  }
}
