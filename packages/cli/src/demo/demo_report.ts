/** Renders the result table of the demo. */
import type {DemoVerdict} from './demo_verdict.js';

const labelWidth = 36;
const columnWidth = 14;

type Row = readonly [string, (verdict: DemoVerdict) => string];

const rows: readonly Row[] = [
  ['programs finished', ({finished, started}) => `${finished}/${started}`],
  ['program latency p50', ({p50Ms}) => formatSeconds(p50Ms)],
  ['program latency p95', ({p95Ms}) => formatSeconds(p95Ms)],
  ['program latency p99', ({p99Ms}) => formatSeconds(p99Ms)],
  ['wasted cache', ({wastedShare}) => `${(wastedShare * 100).toFixed(1)} %`],
  ['bookings confirmed', (verdict) => `${verdict.confirmedBookings}`],
  ['bookings of unknown outcome', (verdict) => `${verdict.unknownBookings}`],
  ['doubled bookings', (verdict) => `${verdict.doubledBookings}`],
  ['confirmed bookings that never ran', (verdict) => `${verdict.lostBookings}`],
  ['lost or mixed histories', (verdict) => `${verdict.wrongHistories}`],
  ['budgets exceeded', (verdict) => `${verdict.exceededBudgets}`],
  ['refused "not run" that ran', (verdict) => `${verdict.falseRefusals}`],
];

/**
 * Renders one column for each deployment.
 * @param verdicts - Verdict of each deployment, by its title.
 */
export function renderDemoTable(
  verdicts: ReadonlyMap<string, DemoVerdict>,
): string {
  const header = renderLine('', [...verdicts.keys()]);
  const body = rows.map(([label, render]) =>
    renderLine(label, [...verdicts.values()].map(render)),
  );
  return [header, ...body].join('\n');
}

function renderLine(label: string, cells: readonly string[]): string {
  const padded = cells.map((cell) => cell.padStart(columnWidth));
  return label.padEnd(labelWidth) + padded.join('');
}

function formatSeconds(valueMs: number): string {
  return `${(valueMs / 1000).toFixed(2)} s`;
}
