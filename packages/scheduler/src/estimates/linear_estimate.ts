/** Linear regression with exponentially decaying observations. */

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
   * Creates an estimate without observations.
   * @param base - Initial value of `base`.
   * @param slope - Initial value of `slope`.
   */
  static create(base: number, slope: number): LinearEstimate {
    return new LinearEstimate(base, slope);
  }

  /**
   * Adds an observation.
   * @param x - Independent variable.
   * @param y - Observed value.
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

  /** Increase of y per unit of x; initial until the observed x vary. */
  get slope(): number {
    if (this.varianceX < minSpread) return this.initialSlope;
    return Math.max(0, this.covariance / this.varianceX);
  }

  /** Value of y at x = 0; initial without observations. */
  get base(): number {
    if (this.weight === 0) return this.initialBase;
    return Math.max(0, this.meanY - this.slope * this.meanX);
  }
}
