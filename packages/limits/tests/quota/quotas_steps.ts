/** Step definitions for quotas of tenants. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  type DaemonId,
  type TenantId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  type AbsentHolder,
  getQuotaShare,
  QuotaBucket,
  QuotaHolder,
  type QuotaRequest,
} from '@marigoldpost/limits';

interface QuotaWorld extends World {
  clock: VirtualClock;
  bucket: QuotaBucket;
  holder: QuotaHolder;
  holders: QuotaHolder[];
  quota: {ratePerS: number; burst: number};
  /** Times at which requests were granted. */
  grantedAtMs: number[];
  granted: number;
  /** Time for which a split lasts before the burst. */
  quietSeconds: number;
}

const seed = 20261207;
const tolerance = {windowMs: 5000, excess: 0.1, slack: 20};
const msPerSecond = 1000;
const stepMs = 20;
const own = toId<DaemonId>('entry-0');
const other = toId<DaemonId>('entry-1');
const absentPattern = /^(ended|silent) for (\d+) ms$/;

Given(
  'a bucket of {float} requests a second, {int} at once and {int} at the start',
  function (
    this: QuotaWorld,
    ratePerS: number,
    capacity: number,
    initial: number,
  ) {
    this.clock = VirtualClock.create();
    this.bucket = QuotaBucket.create(0, {ratePerS, capacity, initial});
  },
);

Given('a holder', function (this: QuotaWorld) {
  this.clock = VirtualClock.create();
  this.holder = createHolder(this.clock);
  this.grantedAtMs = [];
});

Given(
  'a holder that has saved the whole burst of {int}',
  function (this: QuotaWorld, burst: number) {
    this.clock = VirtualClock.create();
    this.holder = createHolder(this.clock);
    this.quota = {ratePerS: 2, burst};
    this.holder.take(createRequest(this.quota, 0), 1);
    this.clock.skip(30_000);
    this.holder.take(createRequest(this.quota, 0), 1);
  },
);

Given(
  'one holder in each of {int} parts, of which the first has saved the burst',
  function (this: QuotaWorld, parts: number) {
    this.clock = VirtualClock.create();
    this.holders = Array.from({length: parts}, () => createHolder(this.clock));
    this.grantedAtMs = [];
  },
);

When(
  '{int} ms pass for the bucket',
  function (this: QuotaWorld, elapsedMs: number) {
    this.clock.skip(elapsedMs);
  },
);

When(
  "the bucket's limit becomes {float} requests a second and {int} at once",
  function (this: QuotaWorld, ratePerS: number, capacity: number) {
    const terms = {ratePerS, capacity, initial: 1};
    this.bucket.setTerms(this.clock.nowMs(), terms, 1);
  },
);

When(
  'the bucket grants {int} requests',
  function (this: QuotaWorld, count: number) {
    assert.equal(this.bucket.take(this.clock.nowMs(), count, 1), count);
  },
);

When(
  'the bucket gets {int} requests back',
  function (this: QuotaWorld, count: number) {
    this.bucket.giveBack(count);
  },
);

When(
  '{int} requests of a tenant of {float} a second and {int} at once come every {int} ms for {int} s',
  function (
    this: QuotaWorld,
    count: number,
    ratePerS: number,
    burst: number,
    everyMs: number,
    seconds: number,
  ) {
    this.quota = {ratePerS, burst};
    const endMs = seconds * msPerSecond;
    for (; this.clock.nowMs() < endMs; this.clock.skip(everyMs)) {
      takeAndRecord(this, this.holder, count, 1);
    }
  },
);

When(
  'each of {int} tenants sends one request',
  function (this: QuotaWorld, count: number) {
    this.quota = {ratePerS: 1, burst: 1};
    for (let index = 0; index < count; index++) {
      const tenant = toId<TenantId>(`tenant-${index}`);
      this.holder.take({...createRequest(this.quota, 1), tenant}, 1);
    }
    assert.equal(this.holder.tenantCount, count);
  },
);

When(
  '{int} ms pass at the holder',
  function (this: QuotaWorld, elapsedMs: number) {
    this.clock.skip(elapsedMs);
  },
);

When('one tenant sends a request', function (this: QuotaWorld) {
  this.holder.take(createRequest(this.quota, 1), 1);
});

When(
  'a request of version {int} states {int} a second',
  function (this: QuotaWorld, configVersion: number, ratePerS: number) {
    this.quota = {ratePerS, burst: 0};
    const request = createRequest(this.quota, 0);
    this.holder.take({...request, configVersion}, 1);
  },
);

When(
  /^a VM that had its last grant (here|nowhere|elsewhere) asks for (\d+) requests$/,
  function (this: QuotaWorld, place: string, count: string) {
    const holders = {here: own, nowhere: undefined, elsewhere: other};
    const previousHolder = holders[place as keyof typeof holders];
    const request = createRequest(this.quota, Number(count));
    const reply = this.holder.take({...request, previousHolder}, 1);
    this.granted = reply.granted;
  },
);

When(
  'the tenant pauses for {int} s, while others send requests',
  function (this: QuotaWorld, seconds: number) {
    const tenant = toId<TenantId>('another');
    for (let second = 0; second < seconds; second++) {
      this.clock.skip(msPerSecond);
      this.holder.take({...createRequest(this.quota, 1), tenant}, 1);
    }
  },
);

When(
  'the network splits, and each part has one request a second for {int} s',
  function (this: QuotaWorld, seconds: number) {
    this.quietSeconds = seconds;
  },
);

When(
  'each part has {int} requests every {int} ms for {int} s of a tenant of {float} a second and {int} at once',
  function (
    this: QuotaWorld,
    count: number,
    everyMs: number,
    seconds: number,
    ratePerS: number,
    burst: number,
  ) {
    this.quota = {ratePerS, burst};
    const [first] = this.holders;
    first?.take(createRequest(this.quota, 0), 1);
    this.clock.skip(30_000);
    first?.take(createRequest(this.quota, 0), 1);
    const total = this.holders.length;
    const share = getQuotaShare({reached: 1, total}, []);
    for (let second = 0; second < this.quietSeconds; second++) {
      for (const holder of this.holders) takeAndRecord(this, holder, 1, share);
      this.clock.skip(msPerSecond);
    }
    const endMs = this.clock.nowMs() + seconds * msPerSecond;
    for (; this.clock.nowMs() < endMs; this.clock.skip(everyMs)) {
      for (const holder of this.holders) {
        takeAndRecord(this, holder, count, share);
      }
    }
  },
);

Then(
  '{int} requests at a share of {float} get {int}',
  function (this: QuotaWorld, asked: number, share: number, granted: number) {
    const actual = this.bucket.take(this.clock.nowMs(), asked, share);
    assert.equal(actual, granted);
  },
);

Then(
  'in {int} random buckets a request that waits for its delay is granted',
  function (this: QuotaWorld, numRuns: number) {
    const rate = fc.double({min: 0.01, max: 1000, noNaN: true});
    const shares = fc.constantFrom(1, 1 / 2, 1 / 3, 2 / 3, 1 / 4);
    const steps = fc.array(fc.nat({max: 2000}), {maxLength: 20});
    const property = fc.property(
      rate,
      shares,
      steps,
      (ratePerS, share, waits) => {
        const terms = {ratePerS, capacity: 5, initial: 4};
        const bucket = QuotaBucket.create(0, terms);
        let nowMs = 0;
        for (const waitMs of waits) {
          nowMs += waitMs;
          bucket.take(nowMs, 3, share);
        }
        bucket.take(nowMs, 5, share);
        nowMs += Math.ceil(bucket.getDelayMs(share));
        assert.equal(bucket.take(nowMs, 1, share), 1);
      },
    );
    fc.assert(property, {seed, numRuns});
  },
);

Then(
  '{int} requests count since {int} ms',
  function (this: QuotaWorld, count: number, sinceMs: number) {
    assert.equal(this.bucket.countSince(sinceMs), count);
  },
);

Then(
  /^the share with (\d+) of (\d+) data centres and (.+) absent is ([\d.]+)$/,
  function (
    this: QuotaWorld,
    reached: string,
    total: string,
    absent: string,
    share: string,
  ) {
    const reach = {reached: Number(reached), total: Number(total)};
    const actual = getQuotaShare(reach, parseAbsent(absent));
    assert.equal(actual, Number(share));
  },
);

Then(
  'no window of 5 s has more than the quota and its tolerance',
  function (this: QuotaWorld) {
    const {ratePerS, burst} = this.quota;
    const {windowMs, excess, slack} = tolerance;
    const quota = (ratePerS * windowMs) / msPerSecond + burst;
    const bound = quota * (1 + excess) + slack;
    const most = countMost(this.grantedAtMs, windowMs);
    assert.ok(most <= bound, `${most} requests in a window, bound ${bound}`);
  },
);

Then(
  'at least the rate is granted in {int} s',
  function (this: QuotaWorld, seconds: number) {
    // The last step ends before the last request accrues.
    const least = Math.floor(
      this.quota.ratePerS * (seconds - stepMs / msPerSecond),
    );
    const {length} = this.grantedAtMs;
    assert.ok(length >= least, `${length} requests instead of ${least}`);
  },
);

Then(
  'the holder counts {int} tenant',
  function (this: QuotaWorld, count: number) {
    assert.equal(this.holder.tenantCount, count);
  },
);

Then(
  'the holder grants {int} a second from then on',
  function (this: QuotaWorld, ratePerS: number) {
    const request = {...createRequest(this.quota, 99), configVersion: 1};
    this.holder.take(request, 1);
    this.clock.skip(100);
    const {granted} = this.holder.take(request, 1);
    assert.equal(granted, ratePerS / 10);
  },
);

Then('{int} of them are granted', function (this: QuotaWorld, count: number) {
  assert.equal(this.granted, count);
});

function createHolder(clock: VirtualClock): QuotaHolder {
  return QuotaHolder.create({daemon: own, clock, tolerance});
}

function createRequest(
  quota: QuotaWorld['quota'],
  count: number,
): QuotaRequest {
  return {
    ...quota,
    tenant: toId<TenantId>('first'),
    configVersion: 1,
    count,
    returned: 0,
    previousHolder: undefined,
  };
}

function takeAndRecord(
  {clock, quota, grantedAtMs}: QuotaWorld,
  holder: QuotaHolder,
  count: number,
  share: number,
): void {
  const {granted} = holder.take(createRequest(quota, count), share);
  for (let index = 0; index < granted; index++) {
    grantedAtMs.push(clock.nowMs());
  }
}

/** Counts the requests of the fullest window. */
function countMost(timesMs: readonly number[], windowMs: number): number {
  let most = 0;
  let first = 0;
  for (const [index, atMs] of timesMs.entries()) {
    while (atMs - (timesMs[first] ?? atMs) >= windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

function parseAbsent(text: string): AbsentHolder[] {
  if (text === 'none') return [];
  return text.split(', ').map((part) => {
    const [, state, silentMs] = absentPattern.exec(part) ?? [];
    return {hasEnded: state === 'ended', silentMs: Number(silentMs)};
  });
}
