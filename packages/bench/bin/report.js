/**
 * Writes BENCHMARKS.md, its data and its plots: `report.js <docs directory>`.
 */
import {writeBenchmarks} from '../dist/index.js';

const [, , directory = 'docs'] = process.argv;
await writeBenchmarks(directory, ({workload, policy, load, seed}) => {
  console.log(`${workload} ${policy} load ${load} seed ${seed}`);
});
