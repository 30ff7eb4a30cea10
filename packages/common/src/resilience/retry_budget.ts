/** Bounds retries to a share of the requests, so that they cannot add up. */

/** Size of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each request, for example 0.1. */
  readonly retriesPerRequest: number;
  /** Most retries that can be saved up. */
  readonly maxRetries: number;
}

/** Account of the retries that may still be made. */
export class RetryBudget {
  private balance: number;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.balance = options.maxRetries;
  }

  /**
   * Creates a full budget.
   * @param options - Its size.
   */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Earns the share of one first try. */
  addRequest(): void {
    const {retriesPerRequest, maxRetries} = this.options;
    this.balance = Math.min(maxRetries, this.balance + retriesPerRequest);
  }

  /** Takes one retry; false when none is left. */
  takeRetry(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
