/** Steps that measure the cost of commits per call. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  measureCommits,
  type CommitCost,
} from '../fixtures/commit_measurement.js';

const callsMeasured = 300;

interface CommitCostWorld extends World {
  cost: CommitCost;
}

Given(
  'a holder on a platform that takes 5 ms for a call',
  function (this: CommitCostWorld) {
    // Empty: `measureCommits` creates the holder together with its load.
  },
);

When(
  'its programs make {int} calls a second of {int} ms each',
  {timeout: 60_000},
  async function (
    this: CommitCostWorld,
    callsPerSecond: number,
    engineMs: number,
  ) {
    this.cost = await measureCommits({
      callsPerSecond,
      engineMs,
      calls: callsMeasured,
    });
  },
);

Then(
  'its commits take at most {float} writes a call',
  function (this: CommitCostWorld, writes: number) {
    assert.ok(
      this.cost.writesPerCall <= writes,
      String(this.cost.writesPerCall),
    );
  },
);

Then(
  'half of its calls wait at most {int} ms for commits',
  function (this: CommitCostWorld, waitMs: number) {
    assert.ok(this.cost.p50WaitMs <= waitMs, String(this.cost.p50WaitMs));
  },
);
