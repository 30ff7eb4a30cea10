/** Renders docs/BENCHMARKS.md. */
import {
  compareExperiments,
  type ComparisonRow,
  type FigureName,
  findBestBaseline,
  getChange,
} from '../experiments/compare_experiments.js';
import type {ExperimentResult} from '../experiments/run_experiment.js';
import type {Estimate} from '../utils/statistics.js';
import {getWorkloads} from '../workloads/workload_catalogue.js';
import type {BenchmarkResults} from './benchmark_report.js';

interface Column {
  readonly title: string;
  readonly figure: FigureName;
  readonly scale: number;
  readonly digits: number;
}

const seconds = 1 / 1_000;
const percent = 100;
const columns: readonly Column[] = [
  column('mean s', 'meanLatencyMs', seconds, 1),
  column('p95 s', 'p95LatencyMs', seconds, 1),
  column('mean s without pauses', 'meanActiveMs', seconds, 1),
  column('p95 s without pauses', 'p95ActiveMs', seconds, 1),
  column('immediate p95 s', 'p95ImmediateMs', seconds, 1),
  column('wasted cache %', 'wastedShare', percent, 1),
  column('prefix hits %', 'hitShare', percent, 1),
  column('done %', 'doneShare', percent, 1),
  column('refused %', 'refusedShare', percent, 1),
  column('done a second', 'goodputPerSecond', 1, 2),
];

const introduction = `# Benchmarks

Written by \`node packages/bench/bin/report.js docs\`; the seeds are fixed, so that the
same build writes the same numbers. The runs drive the real scheduler against the stand-in engine's
timing model on a virtual clock: 4 schedulers that each see a quarter of the programs, load reports
1 s old, cache events 1 s late with 2% lost, unless a table says otherwise. No network, no daemons and no platform
are modelled. The data stand in \`benchmarks/*.csv\` (each run) and \`*.json\` (means and intervals).

- **Load** is offered engine time over what the engines have, when each program's own prefixes are always
  cached and batches are full.
- **Program latency** runs from a program's first call to its last answer, its own pauses (tools, readers)
  included. No scheduler shortens these pauses, so the latency without them stands beside it. Latencies are
  those of programs that were done; the share done stands in the table.
- **Wasted cache** is the share of block-seconds in which a block was idle (no running request needed it) and
  was not used again before its removal, over all block-seconds that blocks were in memory.
- Intervals are 95% (Student's t over seeds). The best baseline is the one with the least mean among those that
  got at least 95% of the programs done. The oracle knows each program's remaining work, each cache and uses our
  placement; it is a reference, and no proven optimum.
`;

/**
 * Renders the page as Markdown.
 * @param results - All experiments of the report.
 */
export function renderBenchmarks(results: BenchmarkResults): string {
  const {main, sweep, variants, gaps, frontier} = results;
  return [
    introduction,
    '## Policies at load 0.8\n',
    renderTables(main, () => ''),
    '## Change against the best baseline at load 0.8\n',
    renderChanges(main),
    '## Loads\n\n![Latency over load](benchmarks/load.svg)\n',
    renderTables(sweep, ({load}) => ` at ${load}`),
    '## Parts switched off, at load 0.9\n',
    renderTables(variants, () => ''),
    '## Lost cache events, at load 0.9\n',
    renderTables(gaps, ({eventGapRate}) => `, ${eventGapRate * 100}% lost`),
    '## Weight between latency and wasted cache, at load 0.8\n',
    '![Frontier](benchmarks/frontier.svg)\n',
    renderTables(frontier, ({cacheWeight}) => `, weight ${cacheWeight}`),
  ].join('\n');
}

function renderTables(
  result: ExperimentResult,
  getSuffix: (row: ComparisonRow) => string,
): string {
  const rows = compareExperiments(result);
  const tables = getWorkloads().map(({name}) => {
    const own = rows.filter(({workload}) => workload === name);
    if (own.length === 0) return '';
    const titles = ['policy', ...columns.map(({title}) => title)];
    const lines = own.map((row) => [
      `${row.policy}${getSuffix(row)}`,
      ...columns.map((shown) => formatColumn(row, shown)),
    ]);
    const seeds = `${own[0]?.seeds} seeds`;
    return `### ${name} (${seeds})\n\n${renderTable(titles, lines)}\n`;
  });
  return tables.filter((table) => table !== '').join('\n');
}

function renderChanges(result: ExperimentResult): string {
  const rows = compareExperiments(result);
  const figures: FigureName[] = [
    'meanLatencyMs',
    'p95LatencyMs',
    'meanActiveMs',
    'p95ActiveMs',
    'wastedShare',
  ];
  const lines: string[][] = [];
  for (const {name} of getWorkloads()) {
    for (const figure of figures) {
      const best = findBestBaseline(rows, name, figure);
      if (best === undefined) continue;
      const getRelative = (policy: string) =>
        getChange(result, name, figure, {policy, against: best.policy})
          .relative;
      const own = getRelative('marigoldpost');
      const bound = getRelative('oracle');
      const share = own.mean / bound.mean;
      lines.push([
        name,
        figure,
        best.policy,
        formatEstimate(own, percent, 1),
        formatEstimate(bound, percent, 1),
        `${(share * percent).toFixed(0)}`,
      ]);
    }
  }
  const titles = [
    'workload',
    'figure',
    'best baseline',
    'ours %',
    'oracle %',
    'share of the way %',
  ];
  return `${renderTable(titles, lines)}\n`;
}

function renderTable(
  titles: readonly string[],
  lines: ReadonlyArray<readonly string[]>,
): string {
  const toLine = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  const rule = titles.map(() => '---');
  return [titles, rule, ...lines].map(toLine).join('\n');
}

function formatColumn(
  {figures}: ComparisonRow,
  {figure, scale, digits}: Column,
): string {
  return formatEstimate(figures[figure], scale, digits);
}

function formatEstimate(
  {mean, halfWidth}: Estimate,
  scale: number,
  digits: number,
): string {
  const middle = (mean * scale).toFixed(digits);
  return `${middle} ± ${(halfWidth * scale).toFixed(digits)}`;
}

function column(
  title: string,
  figure: FigureName,
  scale: number,
  digits: number,
): Column {
  return {title, figure, scale, digits};
}
