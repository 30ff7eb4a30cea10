/** Prints the cost of scheduling decisions at 12, 150 and 1,500 targets. */
import {measureDecisionCost} from '../dist/index.js';

const sizes = [
  {targets: 12, programs: 1_000},
  {targets: 150, programs: 10_000},
  {targets: 1_500, programs: 48_000},
];
for (const size of sizes)
  console.log(JSON.stringify(measureDecisionCost(size)));
