/**
 * Counts the requests of one tenant at the entry VM that holds its quota.
 *
 * Load pattern: bursts of a tenant at many entry VMs at the same moment, each of
 * which sees too few requests to know the sum.
 */

const msPerSecond = 1000;

/** Limit of a tenant, and the requests beyond it that a holder may grant. */
export interface QuotaTerms {
  readonly ratePerS: number;
  /** Requests that may come at once. */
  readonly capacity: number;
  /** Requests that a new holder starts with. */
  readonly initial: number;
}

/** Token bucket of one tenant, whose rate follows the reach of its holder. */
export class QuotaBucket {
  private level: number;
  private readonly grantTimesMs: number[] = [];

  private constructor(
    private refilledAtMs: number,
    private terms: QuotaTerms,
  ) {
    this.level = terms.initial;
  }

  /**
   * Creates a bucket that is not full: an earlier holder may have granted the
   * burst.
   * @param nowMs - Time on the daemon's clock.
   * @param terms - Limit of the tenant.
   */
  static create(nowMs: number, terms: QuotaTerms): QuotaBucket {
    return new QuotaBucket(nowMs, terms);
  }

  /**
   * Changes the limit; what is saved is cut to the new capacity.
   * @param nowMs - Time on the daemon's clock.
   * @param terms - Limit in force.
   * @param share - Part of the rate that accrued since the last call.
   */
  setTerms(nowMs: number, terms: QuotaTerms, share: number): void {
    this.refill(nowMs, share);
    this.terms = terms;
    this.level = Math.min(this.level, this.terms.capacity);
  }

  /**
   * Empties the bucket but for one request, since another entry VM has granted
   * requests of the tenant meanwhile.
   * @param nowMs - Time on the daemon's clock.
   */
  drain(nowMs: number): void {
    this.refilledAtMs = nowMs;
    this.level = Math.min(this.level, 1);
  }

  /**
   * Grants as many requests as the bucket holds.
   * @param nowMs - Time on the daemon's clock.
   * @param count - Requests that are asked for.
   * @param share - Part of the rate that this holder may grant.
   */
  take(nowMs: number, count: number, share: number): number {
    this.refill(nowMs, share);
    const granted = Math.max(0, Math.min(count, Math.floor(this.level)));
    this.level -= granted;
    for (let index = 0; index < granted; index++) this.grantTimesMs.push(nowMs);
    return granted;
  }

  /**
   * Takes back requests that were granted and surely have not run.
   * @param count - Number of requests.
   */
  giveBack(count: number): void {
    const returned = Math.min(count, this.grantTimesMs.length);
    this.grantTimesMs.splice(this.grantTimesMs.length - returned, returned);
    this.level = Math.min(this.level + returned, this.terms.capacity);
  }

  /**
   * Counts the requests granted since a time, less those given back.
   * @param sinceMs - Start of the window; earlier ones are forgotten.
   */
  countSince(sinceMs: number): number {
    const first = this.grantTimesMs.findIndex((atMs) => atMs >= sinceMs);
    const expired = first === -1 ? this.grantTimesMs.length : first;
    this.grantTimesMs.splice(0, expired);
    return this.grantTimesMs.length;
  }

  /**
   * Gets the time until one more request can be granted, in milliseconds.
   * @param share - Part of the rate that this holder may grant.
   */
  getDelayMs(share: number): number {
    const missing = 1 - this.level;
    if (missing <= 0) return 0;
    const ratePerS = this.terms.ratePerS * share;
    return ratePerS === 0
      ? Number.POSITIVE_INFINITY
      : (missing * msPerSecond) / ratePerS;
  }

  private refill(nowMs: number, share: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    const accrued = (this.terms.ratePerS * share * elapsedMs) / msPerSecond;
    const {capacity, initial} = this.terms;
    // Holders in other parts of a split network save requests as well; together
    // they may hold no more than one burst.
    const saved = Math.max(Math.min(initial, capacity), capacity * share);
    this.level = Math.min(this.level + accrued, saved);
  }
}
