/** Requests that the instances of one plain service have run. */
import type {TargetId} from '@marigoldpost/common';
import type {PlainResponse} from '@marigoldpost/targets';

/** One request that an instance has run. */
export interface PlainExecution {
  readonly target: TargetId;
  /** Value of the `Idempotency-Key` header; empty if there was none. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
}

/** Executions of one service, shared by its instances. */
export class PlainLedger {
  private readonly executions: PlainExecution[] = [];
  private readonly responsesByKey = new Map<string, PlainResponse>();

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): PlainLedger {
    return new PlainLedger();
  }

  /**
   * Records an execution and the response for its idempotency key.
   * @param execution - Request that has run.
   * @param response - Response to the request.
   */
  addExecution(execution: PlainExecution, response: PlainResponse): void {
    this.executions.push(execution);
    if (execution.key !== '') this.responsesByKey.set(execution.key, response);
  }

  /**
   * Gets the response of the latest execution with a key.
   * @param key - Value of the `Idempotency-Key` header.
   */
  getResponse(key: string): PlainResponse | undefined {
    return this.responsesByKey.get(key);
  }

  /** Gets all executions in order. */
  getExecutions(): readonly PlainExecution[] {
    return this.executions;
  }

  /** Gets the idempotency keys that ran more than once. */
  getRepeatedKeys(): readonly string[] {
    const counts = new Map<string, number>();
    for (const {key} of this.executions) {
      if (key !== '') counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
  }
}
