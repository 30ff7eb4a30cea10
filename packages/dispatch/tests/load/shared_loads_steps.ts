/** Steps for the loads by other daemons. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ServiceId,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {SharedLoads, type TargetLoad} from '@marigoldpost/dispatch';

interface LoadsWorld extends World {
  sharedLoads: SharedLoads;
}

const entry = {
  id: toId<TargetId>('t'),
  service: toId<ServiceId>('service'),
  address: {host: '127.0.0.1', port: 1},
  dataCentre: toId<DataCentreId>('north'),
  slots: 4,
  isDraining: false,
  startedAtMs: 1,
};

When(
  'shared loads record {string}',
  function (this: LoadsWorld, reports: string) {
    this.sharedLoads = SharedLoads.create();
    for (const report of reports.split(', ')) {
      if (report === 'none') continue;
      const [dataCentre = '', atMs, ...loads] = report.split(' ');
      this.sharedLoads.record(
        toId<DataCentreId>(dataCentre),
        loads.map(parseLoad),
        Number(atMs),
      );
    }
  },
);

Then(
  'the shared load of target t in north at {int} ms is {string}',
  function (this: LoadsWorld, nowMs: number, expected: string) {
    const load = this.sharedLoads.get(entry, nowMs);
    if (load === undefined) {
      assert.equal('unknown', expected);
      return;
    }
    const {requests, workMs, latencyRatio = 'unknown', ageMs} = load;
    const text = `${requests} requests, ${workMs} ms, ratio ${latencyRatio}, age ${ageMs} ms`;
    assert.equal(text, expected);
  },
);

function parseLoad(text: string): TargetLoad {
  const [target = '', ...numbers] = text.split(':');
  const [requests = 0, workMs = 0, latencySum = 0, latencyCount = 0] =
    numbers.map(Number);
  const id = toId<TargetId>(target);
  return {target: id, requests, workMs, latencySum, latencyCount};
}
