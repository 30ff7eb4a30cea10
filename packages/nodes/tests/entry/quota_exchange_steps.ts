/** Steps for quotas that a fleet of entry VMs counts on a virtual clock. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {SeededRandom, VirtualClock} from '@marigoldpost/common';
import type {QuotaDecision} from '@marigoldpost/gateway';
import type {Tenant} from '@marigoldpost/sites';
import {QuotaFleet} from '../fixtures/quota_fleet.js';

interface SentRequest {
  readonly sentAtMs: number;
  readonly result: QuotaDecision['result'];
  /** Whether it was granted and a target ran it. */
  readonly hasRun: boolean;
  readonly decidedAtMs: number;
}

interface QuotaWorld extends World {
  clock: VirtualClock;
  random: SeededRandom;
  quotaFleet: QuotaFleet;
  tenant: Tenant;
  configVersion: number;
  changes: Map<number, () => void>;
  runShare: number;
  requests: SentRequest[];
}

/** Bounds of the sites that have quotas. */
const tolerance = {windowMs: 5000, excess: 0.1, slack: 20};
const tickMs = 2;
const loadTimeoutMs = 60_000;
/** Time after the load in which the last requests are decided. */
const settleMs = 2000;

Given(
  '{int} entry VMs in {int} data centres that count quotas',
  function (this: QuotaWorld, count: number, dataCentres: number) {
    this.clock = VirtualClock.create();
    this.random = SeededRandom.create(count);
    const {clock, random} = this;
    const options = {clock, random, count, dataCentres, tolerance};
    this.quotaFleet = QuotaFleet.create(options);
    this.changes = new Map();
    this.configVersion = 1;
    this.runShare = 1;
    this.requests = [];
  },
);

Given(
  'a tenant with a quota of {float} requests a second and a burst of {float}',
  function (this: QuotaWorld, ratePerS: number, burst: number) {
    this.tenant = QuotaFleet.createTenant(ratePerS, burst);
  },
);

Given(
  'each of the entry VMs counts the quotas by itself',
  function (this: QuotaWorld) {
    this.quotaFleet.forgetLists();
    for (const {directory} of this.quotaFleet.vms) directory.replaceObjects([]);
  },
);

Given(
  'no entry VM has read the list of the others',
  function (this: QuotaWorld) {
    this.quotaFleet.forgetLists();
  },
);

Given(
  'the entry VMs that count quotas take all data centres for reached',
  function (this: QuotaWorld) {
    this.quotaFleet.ignoresReach = true;
  },
);

Given(
  'the quota is lowered to {float} requests a second after {int} s',
  function (this: QuotaWorld, ratePerS: number, afterS: number) {
    this.changes.set(afterS * 1000, () => {
      this.tenant = QuotaFleet.createTenant(ratePerS, ratePerS);
      this.configVersion += 1;
    });
  },
);

Given(
  /^the quota is of a configuration of version (\S+)$/,
  function (this: QuotaWorld, version: string) {
    this.configVersion = Number(version);
  },
);

Given('three of four granted requests do not run', function (this: QuotaWorld) {
  this.runShare = 0.25;
});

Given(
  'the entry VMs that count quotas meet this fault from {int} to {int} s: {}',
  function (this: QuotaWorld, fromS: number, toS: number, fault: string) {
    const start = faults[fault];
    assert.ok(start !== undefined, fault);
    this.changes.set(fromS * 1000, () => start(this, (toS - fromS) * 1000));
    this.changes.set(toS * 1000, () => {
      this.quotaFleet.getState = () => 'runs';
      this.quotaFleet.isCut = () => false;
      this.quotaFleet.isLost = () => false;
    });
  },
);

When(
  'the tenant sends {float} requests a second for {int} s',
  {timeout: loadTimeoutMs},
  async function (this: QuotaWorld, ratePerS: number, durationS: number) {
    const startMs = this.clock.nowMs();
    const endMs = startMs + durationS * 1000;
    let nextMs = startMs;
    while (this.clock.nowMs() < endMs) {
      const elapsedMs = this.clock.nowMs() - startMs;
      for (const [atMs, change] of this.changes) {
        if (atMs > elapsedMs) continue;
        this.changes.delete(atMs);
        change();
      }
      for (; nextMs <= this.clock.nowMs(); nextMs += 1000 / ratePerS) {
        void send(this);
      }
      await this.clock.advance(tickMs);
    }
    await this.clock.advance(settleMs);
  },
);

Then('no window of the tenant exceeds its quota', function (this: QuotaWorld) {
  const {most, allowed} = findFullestWindow(this, 0);
  assert.ok(most <= allowed, `${most} requests in a window of ${allowed}`);
});

Then('a window of the tenant exceeds its quota', function (this: QuotaWorld) {
  const {most, allowed} = findFullestWindow(this, 0);
  assert.ok(most > allowed, `${most} requests in a window of ${allowed}`);
});

Then(
  'no window of the tenant from {int} s on exceeds a quota of {float} requests a second',
  function (this: QuotaWorld, fromS: number, ratePerS: number) {
    assert.equal(this.tenant.quota?.ratePerS, ratePerS);
    const {most, allowed} = findFullestWindow(this, fromS * 1000);
    assert.ok(most <= allowed, `${most} requests in a window of ${allowed}`);
  },
);

Then(
  '{int} of 100 requests of the tenant are granted at least',
  function (this: QuotaWorld, percent: number) {
    const granted = this.requests.filter(({result}) => result === 'granted');
    const counts = `${granted.length} of ${this.requests.length}`;
    assert.ok(this.requests.length > 0, 'no request was decided');
    assert.ok(granted.length * 100 >= this.requests.length * percent, counts);
  },
);

Then(
  'all requests of the tenant are answered as undecided',
  function (this: QuotaWorld) {
    assert.ok(this.requests.length > 0);
    for (const {result} of this.requests) assert.equal(result, 'unknown');
  },
);

Then(
  'each request of the tenant takes {float} exchanges on average at most',
  function (this: QuotaWorld, most: number) {
    const mean = this.quotaFleet.asked / this.requests.length;
    assert.ok(mean <= most, `${mean} exchanges`);
  },
);

type Fault = (world: QuotaWorld, durationMs: number) => void;

const faults: Readonly<Record<string, Fault>> = {
  'one data centre is cut off': ({quotaFleet: fleet}) => {
    fleet.isCut = (from, to) =>
      (fleet.getDataCentre(from) === 0) !== (fleet.getDataCentre(to) === 0);
  },
  'the data centres are cut in two halves': ({quotaFleet: fleet}) => {
    fleet.isCut = (from, to) =>
      fleet.getDataCentre(from) < 2 !== fleet.getDataCentre(to) < 2;
  },
  'the first holder is killed': ({quotaFleet: fleet}) => {
    const holder = fleet.findHolder();
    fleet.getState = (index) => (index === holder ? 'killed' : 'runs');
    fleet.restart(holder);
  },
  'the first holder loses power': ({quotaFleet: fleet}) => {
    const holder = fleet.findHolder();
    fleet.getState = (index) => (index === holder ? 'silent' : 'runs');
    fleet.restart(holder);
  },
  'the first holder stands still': ({quotaFleet: fleet}) => {
    const holder = fleet.findHolder();
    fleet.getState = (index) => (index === holder ? 'silent' : 'runs');
  },
  'the first holder is cut off': ({quotaFleet: fleet}) => {
    const holder = fleet.findHolder();
    fleet.isCut = (from, to) => (from === holder) !== (to === holder);
  },
  'a sixth of the entry VMs are killed': ({quotaFleet: fleet}) => {
    fleet.getState = (index) => (index % 6 === 0 ? 'killed' : 'runs');
    for (const index of fleet.vms.keys()) {
      if (index % 6 === 0) fleet.restart(index);
    }
  },
  'the entry VMs restart in turn': ({quotaFleet: fleet, clock}, durationMs) => {
    const startMs = clock.nowMs();
    const restarted = new Set<number>();
    const gapMs = durationMs / fleet.vms.length;
    fleet.getState = (index) => {
      const sinceMs = clock.nowMs() - startMs - index * gapMs;
      if (sinceMs < 0 || sinceMs > 4 * gapMs) return 'runs';
      if (!restarted.has(index)) fleet.restart(index);
      restarted.add(index);
      return 'killed';
    };
  },
  'one in ten requests is lost': ({quotaFleet: fleet, random}) => {
    fleet.isLost = () => random.next() < 0.1;
  },
};

/** Sends a request through an entry VM that runs. */
async function send(world: QuotaWorld): Promise<void> {
  const {quotaFleet: fleet, random, clock, tenant, configVersion} = world;
  let index = Math.floor(random.next() * fleet.vms.length);
  while (fleet.getState(index) !== 'runs') {
    index = Math.floor(random.next() * fleet.vms.length);
  }
  const sentAtMs = clock.nowMs();
  const exchange = fleet.vms[index]?.exchange;
  assert.ok(exchange);
  const {result} = await exchange.take(tenant, configVersion);
  const isGranted = result === 'granted';
  const hasRun = isGranted && random.next() < world.runShare;
  if (isGranted && !hasRun) exchange.giveBack(tenant);
  const decidedAtMs = clock.nowMs();
  world.requests.push({sentAtMs, result, hasRun, decidedAtMs});
}

/** Finds the most requests that were sent and ran within one window. */
function findFullestWindow({requests, tenant}: QuotaWorld, fromMs: number) {
  const run = requests.filter(
    ({hasRun, sentAtMs}) => hasRun && sentAtMs >= fromMs,
  );
  let most = 0;
  for (const {sentAtMs: startMs} of run) {
    const endMs = startMs + tolerance.windowMs;
    const within = run.filter(
      ({sentAtMs, decidedAtMs}) => sentAtMs >= startMs && decidedAtMs < endMs,
    );
    most = Math.max(most, within.length);
  }
  const {ratePerS = 0, burst = 0} = tenant.quota ?? {};
  const perWindow = (ratePerS * tolerance.windowMs) / 1000 + burst;
  const allowed = perWindow * (1 + tolerance.excess) + tolerance.slack;
  return {most, allowed};
}
