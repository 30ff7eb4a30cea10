/** Steps for the path measurement and its summary. */
import assert from 'node:assert/strict';
import {
  measurePath,
  type PathRound,
  type PathSummary,
  summarizePath,
} from '@marigoldpost/bench';
import {type DataTable, Given, Then, When} from '@cucumber/cucumber';

interface PathWorld {
  rounds: readonly PathRound[];
  summary: PathSummary;
}

function createFigures(value: number): PathRound['path'] {
  return {
    plainP50Ms: value,
    plainPerSecond: value,
    plainCpuMs: value,
    firstTokenP50Ms: value,
    tokenCpuUs: value,
  };
}

Given(
  'a path measurement whose rounds took, in milliseconds',
  function (this: PathWorld, table: DataTable) {
    this.rounds = table.hashes().map((row) => ({
      direct: createFigures(Number(row['direct'])),
      relay: createFigures(Number(row['relay'])),
      path: createFigures(Number(row['path'])),
      commitP50Ms: 1,
      writesPerRequest: 2,
    }));
  },
);

When('the path measurement is summarized', function (this: PathWorld) {
  this.summary = summarizePath(this.rounds);
});

When(
  'the path is measured in one small round',
  {timeout: 30_000},
  async function (this: PathWorld) {
    this.rounds = await measurePath({
      rounds: 1,
      requests: 3,
      concurrentRequests: 8,
      concurrency: 4,
      streams: 2,
      tokensPerStream: 5,
    });
  },
);

Then(
  /^its path to (relay|direct) ratio is (\d+) at the median, (\d+) at least and (\d+) at most$/,
  function (
    this: PathWorld,
    route: string,
    median: string,
    min: string,
    max: string,
  ) {
    const expected = {
      median: Number(median),
      min: Number(min),
      max: Number(max),
    };
    assert.equal(this.summary.rows.length, 5);
    for (const row of this.summary.rows) {
      const ratio = route === 'relay' ? row.pathToRelay : row.pathToDirect;
      assert.deepEqual(ratio, expected);
    }
  },
);

Then(
  'each route of the path measurement has figures above 0',
  function (this: PathWorld) {
    assert.equal(this.rounds.length, 1);
    for (const {direct, relay, path} of this.rounds) {
      for (const route of [direct, relay, path]) {
        for (const value of Object.values(route)) assert.ok(value > 0);
      }
    }
  },
);

Then(
  'a plain request of the path measurement took at least 1 platform write',
  function (this: PathWorld) {
    for (const round of this.rounds) assert.ok(round.writesPerRequest >= 1);
  },
);
