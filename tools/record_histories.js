/**
 * Records histories of whole daemons under arbitrary faults and prints each one
 * that breaks a line: `node tools/record_histories.js FIRST_SEED COUNT`.
 */
import fc from 'fast-check';

const fixtures = '../dist-tests/packages/daemon/tests/fixtures';
const {arbitraryFaults, HistoryRun} = await import(
  `${fixtures}/history_run.js`
);
const {findBrokenLines} = await import(`${fixtures}/history_checker.js`);

const [firstSeed, count] = process.argv.slice(2).map(Number);
if (!Number.isInteger(firstSeed) || !Number.isInteger(count)) {
  throw new Error('expected two whole numbers: FIRST_SEED COUNT');
}

async function findLinesOrError(seed, faults) {
  try {
    return findBrokenLines(await HistoryRun.run(seed, faults));
  } catch (error) {
    return [`does not end: ${error.message}`];
  }
}

let broken = 0;
for (let seed = firstSeed; seed < firstSeed + count; seed++) {
  const [faults] = fc.sample(arbitraryFaults, {seed, numRuns: 1});
  const lines = await findLinesOrError(seed, faults);
  if (lines.length === 0) continue;
  broken += 1;
  console.log(`seed ${seed}: ${lines.join(', ')} ${JSON.stringify(faults)}`);
}
console.log(`${count} histories from seed ${firstSeed}, ${broken} broken`);
process.exitCode = broken === 0 ? 0 : 1;
