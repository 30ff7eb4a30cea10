/** Steps for metrics and their exposition. */
import assert from 'node:assert/strict';
import {type DataTable, Given, Then, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {Metrics} from '@marigoldpost/telemetry';

interface MetricsWorld extends World {
  metrics: Metrics;
}

const seed = 20261203;
const samplePattern =
  /^marigoldpost_[a-z_]+(\{([a-z]+="([^"\\\n]|\\["\\n])*",?)+\})? \S+$/;

Given(
  'metrics with 2 finished calls of 10 and 20 ms and 7 calls in flight',
  function (this: MetricsWorld) {
    this.metrics = Metrics.create();
    const service = 'quay-ops';
    for (const durationMs of [10, 20]) {
      this.metrics.addToCounter('calls_total', {service, result: 'ok'});
      this.metrics.recordValue('call_duration_ms', {service}, durationMs);
    }
    this.metrics.setGauge('calls_in_flight', {}, 7);
  },
);

Then(
  'the exposition of the metrics contains these lines',
  function (this: MetricsWorld, table: DataTable) {
    const lines = this.metrics.renderExposition().split('\n');
    for (const [line] of table.rows()) assert.ok(lines.includes(line ?? ''));
  },
);

Given('metrics with any label text', function (this: MetricsWorld) {
  this.metrics = Metrics.create();
  fc.assert(
    fc.property(fc.string({unit: 'binary'}), (service) => {
      this.metrics.addToCounter('calls_total', {service, result: 'ok'});
      this.metrics.recordValue('call_duration_ms', {service}, 1);
    }),
    {seed},
  );
});

Then(
  'each line of the exposition of the metrics is well formed',
  function (this: MetricsWorld) {
    const lines = this.metrics.renderExposition().split('\n').slice(0, -1);
    const samples = lines.filter((line) => !line.startsWith('# '));
    assert.ok(samples.length > 100);
    for (const sample of samples) assert.match(sample, samplePattern);
  },
);
