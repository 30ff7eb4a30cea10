/** Renders the measured overhead of the request path. */
import type {PathSummary, PathSummaryRow, Spread} from '@marigoldpost/bench';
import {renderTable} from './text_table.js';

const titles: Record<PathSummaryRow['figure'], string> = {
  plainP50Ms: 'plain request p50, ms',
  plainPerSecond: 'plain requests per second, 32 in flight',
  plainCpuMs: 'CPU time of a plain request, ms',
  firstTokenP50Ms: 'first token p50, ms',
  tokenCpuUs: 'CPU time of a streamed token, µs',
};

/**
 * Renders figures and ratios, each as median, minimum and maximum over rounds.
 * @param summary - Measured figures of direct call, relay and request path.
 */
export function renderPath(summary: PathSummary): string {
  const table = renderTable(summary.rows, [
    {title: 'FIGURE', get: ({figure}) => titles[figure]},
    {title: 'DIRECT', get: ({direct}) => renderSpread(direct)},
    {title: 'RELAY', get: ({relay}) => renderSpread(relay)},
    {title: 'PATH', get: ({path}) => renderSpread(path)},
    {title: 'PATH/DIRECT', get: (row) => renderSpread(row.pathToDirect)},
    {title: 'PATH/RELAY', get: (row) => renderSpread(row.pathToRelay)},
  ]);
  const commit = `single platform write p50, ms: ${renderSpread(summary.commitP50Ms)}`;
  const writes = `platform writes per plain request: ${renderSpread(summary.writesPerRequest)}`;
  return [table, commit, writes].join('\n');
}

function renderSpread({median, min, max}: Spread): string {
  const [middle, least, greatest] = [median, min, max].map(renderNumber);
  return `${middle} (${least} to ${greatest})`;
}

function renderNumber(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(2);
}
