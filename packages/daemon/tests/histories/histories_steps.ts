/** Steps for histories recorded under faults. */
import assert from 'node:assert/strict';
import {Given, Then, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {faultyParts} from '../fixtures/faulty_parts.js';
import {findBrokenLines} from '../fixtures/history_checker.js';
import {
  arbitraryFaults,
  type HistoryFault,
  HistoryRun,
} from '../fixtures/history_run.js';

interface HistoriesWorld extends World {
  /** Report of a failed run: seed, faults and violated invariants. */
  failure: string | undefined;
  violations: Set<string>;
}

const stepTimeoutMs = 300_000;

/** Faults that each of the mechanisms has to handle. */
const mechanismFaults: readonly HistoryFault[] = [
  {kind: 'kill', atMs: 2500, lastsMs: 6000, index: 0},
  {kind: 'new text', atMs: 1000, lastsMs: 200, index: 0},
  {kind: 'target leaves', atMs: 1500, lastsMs: 200, index: 0},
];

Given(
  '{int} histories recorded under arbitrary faults from seed {int}',
  {timeout: stepTimeoutMs},
  async function (this: HistoriesWorld, count: number, seed: number) {
    const property = fc.asyncProperty(
      fc.nat(),
      arbitraryFaults,
      async (runSeed, faults) => {
        const run = await HistoryRun.run(runSeed, faults);
        assert.deepEqual(findBrokenLines(run), []);
      },
    );
    const result = await fc.check(property, {seed, numRuns: count});
    this.failure = result.failed
      ? await fc.asyncDefaultReportMessage(result)
      : undefined;
  },
);

Given(
  'a history recorded with seed {int} and its own faults',
  {timeout: stepTimeoutMs},
  async function (this: HistoriesWorld, seed: number) {
    const [faults] = fc.sample(arbitraryFaults, {seed, numRuns: 1});
    const lines = findBrokenLines(await HistoryRun.run(seed, faults ?? []));
    this.failure = lines.length > 0 ? lines.join(', ') : undefined;
  },
);

Then(
  'no recorded history violates an invariant',
  function (this: HistoriesWorld) {
    assert.equal(this.failure, undefined);
  },
);

Given(
  /^(\d+) histories recorded with the (.+) switched off from seed (\d+)$/,
  {timeout: stepTimeoutMs},
  async function (
    this: HistoriesWorld,
    count: string,
    mechanism: string,
    seed: string,
  ) {
    const createParts = faultyParts[mechanism];
    assert.ok(createParts, `no mechanism "${mechanism}"`);
    this.violations = new Set();
    for (let index = 0; index < Number(count); index++) {
      const run = await HistoryRun.run(
        Number(seed) + index,
        mechanismFaults,
        createParts(),
      );
      for (const line of findBrokenLines(run)) this.violations.add(line);
    }
  },
);

Then(
  'some recorded history violates {string}',
  function (this: HistoriesWorld, line: string) {
    assert.ok(this.violations.has(line), [...this.violations].join(', '));
  },
);
