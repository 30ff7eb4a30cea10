/** Counters, gauges and histograms of one daemon. */
import {HistogramSeries} from './histogram_series.js';
import {
  metricCatalogue,
  type MetricLabels,
  type MetricName,
  type MetricNameOf,
} from './metric_catalogue.js';
import {renderLabels, renderValue} from '../utils/exposition.js';

const prefix = 'marigoldpost_';
const quantiles = [0.5, 0.9, 0.95, 0.99];
/** Sets of labels kept for one metric; further ones are not measured. */
const maxSeriesPerMetric = 2000;

type Series = Map<string, number>;

/** Measurements by metric and labels. */
export class Metrics {
  private readonly numbers = new Map<MetricName, Series>();
  private readonly histograms = new Map<
    MetricName,
    Map<string, HistogramSeries>
  >();

  private constructor() {}

  /** Creates an empty set of measurements. */
  static create(): Metrics {
    return new Metrics();
  }

  /**
   * Adds to a counter.
   * @param name - The counter.
   * @param labels - Its labels.
   * @param amount - At least 0.
   */
  addToCounter<Name extends MetricNameOf<'counter'>>(
    name: Name,
    labels: MetricLabels<Name>,
    amount = 1,
  ): void {
    const key = renderLabels(labels);
    const value = this.getNumbers(name).get(key) ?? 0;
    this.setNumber(name, key, value + amount);
  }

  /**
   * Sets a gauge.
   * @param name - The gauge.
   * @param labels - Its labels.
   * @param value - Its value now.
   */
  setGauge<Name extends MetricNameOf<'gauge'>>(
    name: Name,
    labels: MetricLabels<Name>,
    value: number,
  ): void {
    this.setNumber(name, renderLabels(labels), value);
  }

  /**
   * Records a value in a histogram.
   * @param name - The histogram.
   * @param labels - Its labels.
   * @param value - The value, in the unit of the histogram's name.
   */
  recordValue<Name extends MetricNameOf<'histogram'>>(
    name: Name,
    labels: MetricLabels<Name>,
    value: number,
  ): void {
    const key = renderLabels(labels);
    const all = this.getHistograms(name);
    let series = all.get(key);
    if (series === undefined) {
      if (all.size >= maxSeriesPerMetric) return;
      series = HistogramSeries.create();
      all.set(key, series);
    }
    series.add(value);
  }

  /** Renders the measurements in the Prometheus text format. */
  renderExposition(): string {
    const names = Object.keys(metricCatalogue) as MetricName[];
    const lines = names.flatMap((name) => this.renderMetric(name));
    return lines.map((line) => `${line}\n`).join('');
  }

  private renderMetric(name: MetricName): string[] {
    const {type, help} = metricCatalogue[name];
    const samples =
      type === 'histogram'
        ? this.renderHistograms(name)
        : this.renderNumbers(name);
    if (samples.length === 0) return [];
    const shownType = type === 'histogram' ? 'summary' : type;
    return [
      `# HELP ${prefix}${name} ${help}`,
      `# TYPE ${prefix}${name} ${shownType}`,
      ...samples,
    ];
  }

  private renderNumbers(name: MetricName): string[] {
    const series = this.numbers.get(name) ?? new Map<string, number>();
    return [...series].map(
      ([labels, value]) => `${prefix}${name}${labels} ${renderValue(value)}`,
    );
  }

  private renderHistograms(name: MetricName): string[] {
    const all = this.histograms.get(name) ?? new Map<string, HistogramSeries>();
    return [...all].flatMap(([labels, series]) => {
      const shares = quantiles.map((quantile) => {
        const shown = renderLabels({quantile: String(quantile)}, labels);
        const value = renderValue(series.getQuantile(quantile));
        return `${prefix}${name}${shown} ${value}`;
      });
      return [
        ...shares,
        `${prefix}${name}_sum${labels} ${renderValue(series.total)}`,
        `${prefix}${name}_count${labels} ${series.count}`,
      ];
    });
  }

  private setNumber(name: MetricName, key: string, value: number): void {
    const series = this.getNumbers(name);
    if (!series.has(key) && series.size >= maxSeriesPerMetric) return;
    series.set(key, value);
  }

  private getNumbers(name: MetricName): Series {
    const known = this.numbers.get(name);
    if (known !== undefined) return known;
    const added: Series = new Map();
    this.numbers.set(name, added);
    return added;
  }

  private getHistograms(name: MetricName): Map<string, HistogramSeries> {
    const known = this.histograms.get(name);
    if (known !== undefined) return known;
    const added = new Map<string, HistogramSeries>();
    this.histograms.set(name, added);
    return added;
  }
}
