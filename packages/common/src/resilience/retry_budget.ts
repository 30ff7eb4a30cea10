/** Limits retries to a share of the requests, to avoid retry storms. */

/** Rate and capacity of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget, for example 0.1. */
  readonly retriesPerRequest: number;
  /** Most retries that the budget holds. */
  readonly maxRetries: number;
}

/** Token bucket of retries that is refilled by requests. */
export class RetryBudget {
  private availableRetries: number;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.availableRetries = options.maxRetries;
  }

  /**
   * Creates a full budget.
   * @param options - Rate and capacity.
   */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Adds the retries that one first attempt earns. */
  addRequest(): void {
    const {retriesPerRequest, maxRetries} = this.options;
    this.availableRetries = Math.min(
      maxRetries,
      this.availableRetries + retriesPerRequest,
    );
  }

  /** Consumes one retry; false when the budget is exhausted. */
  takeRetry(): boolean {
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}
