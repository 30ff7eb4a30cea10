/** Counters, gauges and histograms of one process. */
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
/** Most label combinations of one metric; further ones are not recorded. */
const maxSeriesPerMetric = 2000;

type ScalarSeries = Map<string, number>;

/** Current values by metric and labels. */
export class Metrics {
  private readonly scalars = new Map<MetricName, ScalarSeries>();
  private readonly histograms = new Map<
    MetricName,
    Map<string, HistogramSeries>
  >();

  private constructor() {}

  /** Creates metrics without series. */
  static create(): Metrics {
    return new Metrics();
  }

  /**
   * Increments a counter.
   * @param name - Key of a counter in the catalogue.
   * @param labels - Values of its labels.
   * @param amount - Increment, at least 0.
   */
  addToCounter<Name extends MetricNameOf<'counter'>>(
    name: Name,
    labels: MetricLabels<Name>,
    amount = 1,
  ): void {
    const key = renderLabels(labels);
    const value = this.getScalars(name).get(key) ?? 0;
    this.setScalar(name, key, value + amount);
  }

  /**
   * Sets a gauge.
   * @param name - Key of a gauge in the catalogue.
   * @param labels - Values of its labels.
   * @param value - Current value, replaces the previous one.
   */
  setGauge<Name extends MetricNameOf<'gauge'>>(
    name: Name,
    labels: MetricLabels<Name>,
    value: number,
  ): void {
    this.setScalar(name, renderLabels(labels), value);
  }

  /**
   * Records a value in a histogram.
   * @param name - Key of a histogram in the catalogue.
   * @param labels - Values of its labels.
   * @param value - Value in the unit that ends the histogram's name.
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

  /**
   * Renders all series in the Prometheus text format; histograms become
   * summaries.
   */
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
        : this.renderScalars(name);
    if (samples.length === 0) return [];
    const shownType = type === 'histogram' ? 'summary' : type;
    return [
      `# HELP ${prefix}${name} ${help}`,
      `# TYPE ${prefix}${name} ${shownType}`,
      ...samples,
    ];
  }

  private renderScalars(name: MetricName): string[] {
    const series = this.scalars.get(name) ?? new Map<string, number>();
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

  private setScalar(name: MetricName, key: string, value: number): void {
    const series = this.getScalars(name);
    if (!series.has(key) && series.size >= maxSeriesPerMetric) return;
    series.set(key, value);
  }

  private getScalars(name: MetricName): ScalarSeries {
    const known = this.scalars.get(name);
    if (known !== undefined) return known;
    const added: ScalarSeries = new Map();
    this.scalars.set(name, added);
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
