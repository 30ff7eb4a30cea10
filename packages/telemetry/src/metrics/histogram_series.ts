/** One histogram of a metric, for one set of labels. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Recorded values are kept in thousandths, because buckets hold integers. */
const unitsPerValue = 1000;
const significantDigits = 2;

/** Values of one series. */
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

  /** Number of values. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Sum of the values. */
  get total(): number {
    return this.sum;
  }

  /**
   * Adds a value; a negative one counts as 0.
   * @param value - The value, in the metric's unit.
   */
  add(value: number): void {
    const kept = Math.max(0, value);
    this.sum += kept;
    this.histogram.recordValue(Math.round(kept * unitsPerValue));
  }

  /**
   * Gets the value that a share of the values do not exceed.
   * @param quantile - Share, from 0 to 1.
   */
  getQuantile(quantile: number): number {
    const percentile = quantile * 100;
    return this.histogram.getValueAtPercentile(percentile) / unitsPerValue;
  }
}
