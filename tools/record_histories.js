/**
 * Runs whole daemons under arbitrary faults, records the history of each run
 * and prints every history that violates an invariant:
 * `node tools/record_histories.js FIRST_SEED COUNT`.
 */
import fc from 'fast-check';

const fixtures = '../dist-tests/packages/daemon/tests/fixtures';
const {arbitraryFaults, HistoryRun} = await import(
  `${fixtures}/history_run.js`
);
const {findBrokenLines} = await import(`${fixtures}/history_checker.js`);

const [firstSeed, count] = process.argv.slice(2).map(Number);
if (!Number.isInteger(firstSeed) || !Number.isInteger(count)) {
  throw new Error('expected two integers: FIRST_SEED COUNT');
}

async function findViolations(seed, faults) {
  try {
    return findBrokenLines(await HistoryRun.run(seed, faults));
  } catch (error) {
    return [`run failed: ${error.message}`];
  }
}

let brokenCount = 0;
for (let seed = firstSeed; seed < firstSeed + count; seed++) {
  const [faults] = fc.sample(arbitraryFaults, {seed, numRuns: 1});
  const violations = await findViolations(seed, faults);
  if (violations.length === 0) continue;
  brokenCount += 1;
  console.log(
    `seed ${seed}: ${violations.join(', ')} ${JSON.stringify(faults)}`,
  );
}
console.log(`${count} histories from seed ${firstSeed}, ${brokenCount} broken`);
process.exitCode = brokenCount === 0 ? 0 : 1;
