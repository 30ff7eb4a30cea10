/** What the instances of one plain service have run. */
import type {TargetId} from '@marigoldpost/common';
import type {PlainResponse} from '@marigoldpost/targets';

/** One request that took effect. */
export interface PlainExecution {
  readonly target: TargetId;
  /** The request's `Idempotency-Key`; empty when it had none. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
}

/** Effects of one service, shared by its instances. */
export class PlainLedger {
  private readonly executions: PlainExecution[] = [];
  private readonly answers = new Map<string, PlainResponse>();

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): PlainLedger {
    return new PlainLedger();
  }

  /**
   * Adds an effect.
   * @param execution - The request that took effect.
   * @param answer - What it got.
   */
  addExecution(execution: PlainExecution, answer: PlainResponse): void {
    this.executions.push(execution);
    if (execution.key !== '') this.answers.set(execution.key, answer);
  }

  /**
   * Gets the answer of an earlier request with the same key.
   * @param key - The key.
   */
  getAnswer(key: string): PlainResponse | undefined {
    return this.answers.get(key);
  }

  /** Gets every effect, in order. */
  getExecutions(): readonly PlainExecution[] {
    return this.executions;
  }

  /** Gets the keys that ran more than once. */
  getDoubledKeys(): readonly string[] {
    const counts = new Map<string, number>();
    for (const {key} of this.executions) {
      if (key !== '') counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
  }
}
