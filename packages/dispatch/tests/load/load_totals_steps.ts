/** Steps for the sums of the loads that daemons report. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {LoadTotals, type TargetLoad} from '@marigoldpost/dispatch';
import fc from 'fast-check';

interface TotalsWorld extends World {
  clock: VirtualClock;
  totals: LoadTotals;
}

const propertySeed = 11;
const expiryMs = 1500;

When(
  'load totals receive {string}',
  async function (this: TotalsWorld, reports: string) {
    this.clock = VirtualClock.create();
    this.totals = LoadTotals.create(this.clock);
    for (const text of reports.split(', ')) {
      const [daemon = '', ...loads] = text.split(' ');
      if (daemon === 'wait') await this.clock.advance(Number(loads[0]));
      else if (daemon !== 'none') report(this.totals, daemon, loads);
    }
  },
);

When(
  '{int} daemons report to load totals and leave',
  async function (this: TotalsWorld, count: number) {
    this.clock = VirtualClock.create();
    this.totals = LoadTotals.create(this.clock);
    for (let index = 0; index < count; index++) {
      this.totals.exchange(toId<DaemonId>(`entry-${index}`), [
        parseLoad(`target-${index}:1:10:2:1`),
      ]);
    }
    await this.clock.advance(60_000);
  },
);

When(
  'a daemon reports {int} targets to load totals',
  function (this: TotalsWorld, count: number) {
    this.totals = LoadTotals.create(VirtualClock.create());
    const loads = Array.from({length: count}, (_none, index) =>
      parseLoad(`target-${index}:1:10:2:1`),
    );
    this.totals.exchange(toId<DaemonId>('entry'), loads);
  },
);

Then(
  'the load totals of {string} are {string}',
  function (this: TotalsWorld, reader: string, sums: string) {
    const totals = this.totals.exchange(toId<DaemonId>(reader), []);
    assert.equal(totals.map(format).toSorted().join(' ') || 'none', sums);
  },
);

Then(
  'the load totals of {string} have at most {int} targets',
  function (this: TotalsWorld, reader: string, most: number) {
    const totals = this.totals.exchange(toId<DaemonId>(reader), []);
    assert.ok(totals.length <= most, `${totals.length} targets`);
  },
);

Then(
  'load totals equal the sums of the last reports, whatever daemons report and when',
  async function () {
    const load = fc.tuple(fc.nat(4), fc.integer({min: 1, max: 9}));
    const reports = fc.array(
      fc.record({
        daemon: fc.nat(5),
        loads: fc.uniqueArray(load, {selector: ([target]) => target}),
        waitMs: fc.constantFrom(0, 100, 700, 1400),
      }),
    );
    const property = fc.asyncProperty(reports, checkSums);
    await fc.assert(property, {seed: propertySeed});
  },
);

interface RandomReport {
  readonly daemon: number;
  readonly loads: Array<[number, number]>;
  readonly waitMs: number;
}

/** Compares totals with sums over the last reports that have not expired. */
async function checkSums(reports: RandomReport[]): Promise<void> {
  const clock = VirtualClock.create();
  const totals = LoadTotals.create(clock);
  const last = new Map<number, {atMs: number; loads: RandomReport['loads']}>();
  for (const {daemon, loads, waitMs} of reports) {
    const nowMs = clock.nowMs();
    last.set(daemon, {atMs: nowMs, loads});
    const reply = totals.exchange(
      toId<DaemonId>(`entry-${daemon}`),
      loads.map(([target, count]) => parseLoad(`t${target}:${count}:${count}`)),
    );
    const expected = new Map<string, number>();
    for (const [other, {atMs, loads: counts}] of last) {
      if (other === daemon || nowMs - atMs > expiryMs) continue;
      for (const [target, count] of counts) {
        const id = `t${target}`;
        expected.set(id, (expected.get(id) ?? 0) + count);
      }
    }
    const actual = reply.map(({target, requests, workMs}) => {
      assert.equal(workMs, requests);
      return [target, requests] as const;
    });
    assert.deepEqual(new Map(actual), expected);
    await clock.advance(waitMs);
  }
}

function parseLoad(text: string): TargetLoad {
  const [target = '', ...numbers] = text.split(':');
  const [requests = 0, workMs = 0, latencySum = 0, latencyCount = 0] =
    numbers.map(Number);
  const id = toId<TargetId>(target);
  return {target: id, requests, workMs, latencySum, latencyCount};
}

function format({
  target,
  requests,
  workMs,
  latencySum,
  latencyCount,
}: TargetLoad): string {
  const load = `${target}:${requests}:${workMs}`;
  return latencyCount === 0 ? load : `${load}:${latencySum}:${latencyCount}`;
}

function report(totals: LoadTotals, daemon: string, loads: string[]): void {
  const listed = loads.filter((load) => load !== '-').map(parseLoad);
  totals.exchange(toId<DaemonId>(daemon), listed);
}
