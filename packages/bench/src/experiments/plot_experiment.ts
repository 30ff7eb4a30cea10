/** Plots experiments as SVG. */
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import {type ComparisonRow, compareExperiments} from './compare_experiments.js';
import type {ExperimentResult} from './run_experiment.js';

/** `load`: latency by load; `frontier`: latency by wasted cache and weight. */
export type PlotKind = 'load' | 'frontier';

const width = 320;
const height = 220;
const msPerSecond = 1_000;

/**
 * Renders a plot as SVG text.
 * @param result - Runs to plot.
 * @param kind - Kind of plot.
 */
export async function plotExperiment(
  result: ExperimentResult,
  kind: PlotKind,
): Promise<string> {
  const rows = compareExperiments(result).map(toDatum);
  const spec = kind === 'load' ? createLoadPlot(rows) : createFrontier(rows);
  const view = new View(parse(compile(spec).spec), {renderer: 'none'});
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

interface Datum {
  readonly workload: string;
  readonly policy: string;
  readonly load: number;
  readonly cacheWeight: number;
  readonly activeS: number;
  readonly goodput: number;
  readonly wasted: number;
}

function toDatum(row: ComparisonRow): Datum {
  const {figures} = row;
  return {
    workload: row.workload,
    policy: row.policy,
    load: row.load,
    cacheWeight: row.cacheWeight,
    activeS: figures.meanActiveMs.mean / msPerSecond,
    goodput: figures.goodputPerSecond.mean,
    wasted: figures.wastedShare.mean,
  };
}

function createLoadPlot(values: readonly Datum[]): TopLevelSpec {
  return {
    data: {values: [...values]},
    facet: {column: {field: 'workload', type: 'nominal'}},
    spec: {
      width,
      height,
      mark: {type: 'line', point: true},
      encoding: {
        x: {field: 'load', type: 'quantitative', title: 'load'},
        y: {
          field: 'activeS',
          type: 'quantitative',
          scale: {type: 'log'},
          title: 'mean latency without pauses (s)',
        },
        color: {field: 'policy', type: 'nominal'},
      },
    },
  };
}

function createFrontier(values: readonly Datum[]): TopLevelSpec {
  return {
    data: {values: [...values]},
    facet: {column: {field: 'workload', type: 'nominal'}},
    resolve: {scale: {y: 'independent'}},
    spec: {
      width,
      height,
      mark: {type: 'line', point: true},
      encoding: {
        x: {field: 'wasted', type: 'quantitative', title: 'wasted cache'},
        y: {
          field: 'activeS',
          type: 'quantitative',
          scale: {zero: false},
          title: 'mean latency without pauses (s)',
        },
        order: {field: 'cacheWeight', type: 'quantitative'},
        tooltip: {field: 'cacheWeight', type: 'quantitative'},
        color: {field: 'policy', type: 'nominal'},
      },
    },
  };
}
