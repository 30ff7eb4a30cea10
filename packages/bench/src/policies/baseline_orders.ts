/** Orders of the baselines and of the bound. */
import {OrderPolicy, type WaitingCall} from '@marigoldpost/scheduler';
import type {OracleView} from '../simulation/simulation_options.js';

/** Shortest prompt first. */
export class ShortestPromptOrder extends OrderPolicy {
  private constructor() {
    super();
  }

  /** Creates the order. */
  static create(): ShortestPromptOrder {
    return new ShortestPromptOrder();
  }

  override getRank(call: WaitingCall): number {
    return call.promptTokens;
  }
}

/** Least remaining work of the whole program, which only the oracle knows. */
export class OracleOrder extends OrderPolicy {
  private constructor(private readonly oracle: OracleView) {
    super();
  }

  /**
   * Creates the order.
   * @param oracle - Knows each program's shape.
   */
  static create(oracle: OracleView): OracleOrder {
    return new OracleOrder(oracle);
  }

  override getRank(call: WaitingCall): number {
    return this.oracle.getRemainingTokens(call);
  }
}
