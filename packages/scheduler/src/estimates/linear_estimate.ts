/** A straight line learnt from noisy observations, old ones fading. */

const decay = 0.995;
const minSpread = 1e-6;

/** Running least-squares fit of `y = base + slope * x`, never below zero. */
export class LinearEstimate {
  private weight = 0;
  private meanX = 0;
  private meanY = 0;
  private varianceX = 0;
  private covariance = 0;

  private constructor(
    private readonly initialBase: number,
    private readonly initialSlope: number,
  ) {}

  /**
   * Creates an estimate.
   * @param base - Value at 0 until observations say otherwise.
   * @param slope - Growth until observations say otherwise.
   */
  static create(base: number, slope: number): LinearEstimate {
    return new LinearEstimate(base, slope);
  }

  /**
   * Takes in an observation.
   * @param x - The known quantity.
   * @param y - What was seen.
   */
  addObservation(x: number, y: number): void {
    this.weight = this.weight * decay + 1;
    const share = 1 / this.weight;
    const deltaX = x - this.meanX;
    this.meanX += share * deltaX;
    this.meanY += share * (y - this.meanY);
    const keep = 1 - share;
    this.varianceX = keep * (this.varianceX + share * deltaX * deltaX);
    this.covariance += share * (deltaX * (y - this.meanY) - this.covariance);
  }

  /** Gets the growth for each unit. */
  get slope(): number {
    if (this.varianceX < minSpread) return this.initialSlope;
    return Math.max(0, this.covariance / this.varianceX);
  }

  /** Gets the value at 0. */
  get base(): number {
    if (this.weight === 0) return this.initialBase;
    return Math.max(0, this.meanY - this.slope * this.meanX);
  }
}
