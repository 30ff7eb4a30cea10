/** Histogram of a metric for one combination of labels. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Values are recorded in thousandths, because the buckets hold integers. */
const unitsPerValue = 1000;
const significantDigits = 2;

/** Recorded values of one series, to two significant digits. */
export class HistogramSeries {
  private sum = 0;

  private constructor(private readonly histogram: Histogram) {}

  /** Creates an empty series. */
  static create(): HistogramSeries {
    const histogram = build({
      autoResize: true,
      numberOfSignificantValueDigits: significantDigits,
    });
    return new HistogramSeries(histogram);
  }

  /** Number of recorded values. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Sum of the recorded values. */
  get total(): number {
    return this.sum;
  }

  /**
   * Records a value; negative values are recorded as 0.
   * @param value - Value in the unit of the metric.
   */
  add(value: number): void {
    const kept = Math.max(0, value);
    this.sum += kept;
    this.histogram.recordValue(Math.round(kept * unitsPerValue));
  }

  /**
   * Gets the value at a quantile.
   * @param quantile - Quantile from 0 to 1.
   */
  getQuantile(quantile: number): number {
    const percentile = quantile * 100;
    return this.histogram.getValueAtPercentile(percentile) / unitsPerValue;
  }
}
