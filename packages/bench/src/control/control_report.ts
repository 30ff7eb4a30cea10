/** Prints the cost of control traffic and its slope by size of the fleet. */
import {
  type ControlCost,
  measureMemoryCost,
  measureSocketCost,
  measureSpread,
} from './control_cost.js';
import {measureExchangeLatency} from './exchange_latency.js';

const socketSizes = [8, 16, 32, 64];
const memorySizes = [8, 16, 32, 64, 380];
const socketSeconds = 10;
const memorySeconds = 10;
const exchangeCount = 5000;
const concurrencies = [1, 32];

/**
 * Measures heartbeats, version propagation and exchanges, and prints the
 * figures.
 * @param print - Writes one line.
 */
export async function reportControl(
  print: (line: string) => void,
): Promise<void> {
  print('heartbeats over sockets, one process: daemons, bytes/s, % of a core');
  const costs: ControlCost[] = [];
  for (const size of socketSizes) {
    const cost = await measureSocketCost(size, socketSeconds);
    costs.push(cost);
    print(formatCost(cost));
  }
  print(`slopes for each additional daemon: ${formatSlopes(costs)}`);
  print('heartbeats in memory, virtual time: daemons, bytes/s, % of a core');
  for (const size of memorySizes) {
    print(formatCost(await measureMemoryCost(size, memorySeconds)));
  }
  print('newer version propagated by heartbeats alone: daemons, ms');
  for (const size of memorySizes) {
    const {daemonCount, configSpreadMs} = await measureSpread(size);
    print(`${daemonCount} ${configSpreadMs}`);
  }
  print('exchanges on one stream: concurrency, p50 ms, p99 ms, per second');
  for (const concurrency of concurrencies) {
    const {p50Ms, p99Ms, exchangesPerSecond} = await measureExchangeLatency(
      concurrency,
      exchangeCount,
    );
    const parts = [p50Ms.toFixed(3), p99Ms.toFixed(3)];
    print(`${concurrency} ${parts.join(' ')} ${exchangesPerSecond.toFixed(0)}`);
  }
}

function formatCost(cost: ControlCost): string {
  const {daemonCount, sentBytesPerSecond, processorPercent} = cost;
  const bytes = sentBytesPerSecond.toFixed(0);
  return `${daemonCount} ${bytes} ${processorPercent.toFixed(3)}`;
}

function formatSlopes(costs: readonly ControlCost[]): string {
  const bytes = getSlope(costs, ({sentBytesPerSecond}) => sentBytesPerSecond);
  const processor = getSlope(costs, ({processorPercent}) => processorPercent);
  return `${bytes.toFixed(2)} bytes/s, ${processor.toFixed(4)} % of a core`;
}

/** Gets the least-squares slope of a figure by the number of daemons. */
function getSlope(
  costs: readonly ControlCost[],
  getFigure: (cost: ControlCost) => number,
): number {
  const meanSize = mean(costs.map(({daemonCount}) => daemonCount));
  const meanFigure = mean(costs.map(getFigure));
  let product = 0;
  let square = 0;
  for (const cost of costs) {
    const offset = cost.daemonCount - meanSize;
    product += offset * (getFigure(cost) - meanFigure);
    square += offset * offset;
  }
  return product / square;
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}
