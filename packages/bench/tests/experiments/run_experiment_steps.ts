/** Steps for experiments. */
import assert from 'node:assert/strict';
import {Given, Then, type World} from '@cucumber/cucumber';
import {
  compareExperiments,
  type ExperimentOptions,
  type ExperimentResult,
  type ExperimentRow,
  findBestBaseline,
  getChange,
  plotExperiment,
  runExperiment,
  toCsv,
} from '@marigoldpost/bench';
import {type ErrorKind, isErrorOfKind} from '@marigoldpost/common';

interface ExperimentWorld extends World {
  options: ExperimentOptions;
  result: ExperimentResult;
}

Given(
  'a short experiment on workload {string} with policy {string}',
  function (this: ExperimentWorld, workload: string, policy: string) {
    this.options = {
      workloads: [workload],
      policies: [policy],
      loads: [0.5],
      seeds: 2,
      durationMs: 40_000,
      warmUpMs: 10_000,
    };
  },
);

Then(
  'the experiment gives identical rows twice and different rows for different seeds',
  function (this: ExperimentWorld) {
    const first = runExperiment(this.options);
    assert.deepEqual(runExperiment(this.options), first);
    const [left, right] = first.rows;
    assert.notEqual(left?.meanActiveMs, right?.meanActiveMs);
    assert.ok((left?.programs ?? 0) > 10);
    assert.equal(toCsv(first).split('\n').length, 4);
  },
);

Then(
  "the experiment's shares lie between 0 and 1 and sum to one at most",
  function (this: ExperimentWorld) {
    for (const row of runExperiment(this.options).rows) {
      const shares = [row.doneShare, row.wastedShare, row.hitShare];
      for (const share of shares) assert.ok(share >= 0 && share <= 1);
      assert.ok(row.doneShare + row.refusedShare <= 1);
      assert.ok(row.doneShare > 0.5);
      assert.ok(row.meanActiveMs <= row.meanLatencyMs);
    }
  },
);

function assertRejected(options: ExperimentOptions, kind: ErrorKind): void {
  assert.throws(
    () => runExperiment(options),
    (error: unknown) => isErrorOfKind(error, kind),
  );
}

Then(
  'an experiment on workload {string} is rejected as {string}',
  function (workload: string, kind: ErrorKind) {
    assertRejected({workloads: [workload]}, kind);
  },
);

Then(
  'an experiment with policy {string} is rejected as {string}',
  function (policy: string, kind: ErrorKind) {
    assertRejected({policies: [policy]}, kind);
  },
);

function createRow(
  policy: string,
  seed: number,
  latencyMs: number,
): ExperimentRow {
  return {
    workload: 'w',
    policy,
    role: policy === 'a' ? 'baseline' : 'own',
    load: 0.8,
    seed,
    cacheWeight: 0.5,
    eventGapRate: 0,
    programs: 100,
    doneShare: 1,
    refusedShare: 0,
    goodputPerSecond: 1,
    meanLatencyMs: latencyMs,
    p95LatencyMs: latencyMs,
    meanActiveMs: latencyMs,
    p95ActiveMs: latencyMs,
    p95ImmediateMs: 0,
    wastedShare: 0.5,
    wastedBlockSeconds: 10,
    hitShare: 0.5,
  };
}

Given(
  'experiment rows in which policy "b" has half the latency of policy "a"',
  function (this: ExperimentWorld) {
    const rows = [1, 2, 3].flatMap((seed) => [
      createRow('a', seed, 1_000 * seed),
      createRow('b', seed, 500 * seed),
    ]);
    this.result = {rows};
  },
);

Then(
  'the comparison finds "a" as the best baseline and a change of -50%',
  function (this: ExperimentWorld) {
    const rows = compareExperiments(this.result);
    assert.equal(rows.length, 2);
    assert.equal(rows[0]?.seeds, 3);
    const best = findBestBaseline(rows, 'w', 'meanLatencyMs');
    assert.equal(best?.policy, 'a');
    const names = {policy: 'b', against: 'a'};
    const change = getChange(this.result, 'w', 'meanLatencyMs', names);
    assert.equal(change.relative.mean, -0.5);
    assert.equal(change.relative.halfWidth, 0);
  },
);

Then(
  "the experiment's plots are SVG with the name of the policy",
  async function (this: ExperimentWorld) {
    const result = runExperiment(this.options);
    for (const kind of ['load', 'frontier'] as const) {
      const svg = await plotExperiment(result, kind);
      assert.ok(svg.startsWith('<svg'));
      assert.ok(svg.includes('marigoldpost'));
    }
  },
);
