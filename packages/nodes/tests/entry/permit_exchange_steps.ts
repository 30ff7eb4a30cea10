/** Steps for permits in a fleet of entry VMs on a virtual clock. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  MarigoldpostError,
  SeededRandom,
  type TargetId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  createEntry,
  createTarget,
  type FleetWorld,
  type Outcome,
  stateLimit,
} from '../fixtures/fleet_fixture.js';

const windowMs = 4000;
const serviceMs = 100;
const deadlineMs = 3000;
/** Wait that an exchange with another entry VM explains. */
const maxUndelayedMs = 20;
/** Step of a wall clock. */
const stepMs = 5000;
/** Resolution of the simulated load. */
const tickMs = 2;
/** Real time that the simulated load may take. */
const loadTimeoutMs = 20_000;

Given(
  '{int} entry VMs of a fleet before {int} targets, {int} of them limited to {float} requests a second',
  function (
    this: FleetWorld,
    count: number,
    targets: number,
    limited: number,
    limitPerS: number,
  ) {
    this.clock = VirtualClock.create();
    this.random = SeededRandom.create(count * 1000 + targets);
    this.limitedCount = limited;
    this.limitPerS = limitPerS;
    this.received = new Map();
    this.outcomes = [];
    this.isSilent = () => false;
    this.isSplit = () => false;
    this.restartsMs = new Map();
    this.isFrozen = () => false;
    this.getLimit = () => limitPerS;
    this.targetRestartMs = Number.POSITIVE_INFINITY;
    this.wallStepMs = () => 0;
    this.targets = Array.from({length: targets}, (_none, index) =>
      createTarget(index),
    );
    this.entries = [];
    for (let index = 0; index < count; index++) {
      this.entries.push(createEntry(this, index, count));
    }
  },
);

Given(
  'in the fleet, the first half cannot reach the second from {int} to {int} s',
  function (this: FleetWorld, fromS: number, toS: number) {
    const half = this.entries.length / 2;
    this.isSplit = (from, to, nowMs) =>
      isWithin(nowMs, fromS, toS) && from < half !== to < half;
  },
);

Given(
  'in the fleet, the first three do not reply from {int} to {int} s',
  function (this: FleetWorld, fromS: number, toS: number) {
    this.isSilent = (index, nowMs) => isWithin(nowMs, fromS, toS) && index < 3;
  },
);

Given(
  'in the fleet, the first half restart in turn from {int} to {int} s',
  function (this: FleetWorld, fromS: number, toS: number) {
    const half = this.entries.length / 2;
    const gapMs = ((toS - fromS) * 1000) / half;
    for (let index = 0; index < half; index++) {
      this.restartsMs.set(index, fromS * 1000 + index * gapMs);
    }
  },
);

Given(
  'in the fleet, the first half freeze from {int} to {int} s',
  function (this: FleetWorld, fromS: number, toS: number) {
    const half = this.entries.length / 2;
    this.isFrozen = (index, nowMs) =>
      isWithin(nowMs, fromS, toS) && index < half;
  },
);

Given(
  'in the fleet, the wall clocks of the first half step from {int} to {int} s',
  function (this: FleetWorld, fromS: number, toS: number) {
    const half = this.entries.length / 2;
    this.wallStepMs = (index, nowMs) => {
      const sign = index % 2 === 0 ? 1 : -1;
      return isWithin(nowMs, fromS, toS) && index < half ? sign * stepMs : 0;
    };
  },
);

Given(
  'in the fleet, the limits change to {float} requests a second after {int} s',
  function (this: FleetWorld, limitPerS: number, afterS: number) {
    const before = this.limitPerS;
    this.getLimit = (nowMs) => (nowMs < afterS * 1000 ? before : limitPerS);
  },
);

Given(
  'in the fleet, the limits end after {int} s',
  function (this: FleetWorld, afterS: number) {
    const before = this.limitPerS;
    this.getLimit = (nowMs) => (nowMs < afterS * 1000 ? before : undefined);
  },
);

Given(
  'in the fleet, the targets restart without a limit after {int} s',
  function (this: FleetWorld, afterS: number) {
    const before = this.limitPerS;
    this.targetRestartMs = afterS * 1000;
    this.getLimit = (nowMs) => (nowMs < afterS * 1000 ? before : undefined);
  },
);

When(
  'the fleet receives {int} requests a second for {int} s',
  {timeout: loadTimeoutMs},
  async function (this: FleetWorld, ratePerS: number, durationS: number) {
    const meanGapMs = 1000 / ratePerS;
    const endMs = durationS * 1000;
    let nextMs = 0;
    while (this.clock.nowMs() < endMs) {
      restartDue(this);
      restartTargetsIfDue(this);
      for (
        ;
        nextMs <= this.clock.nowMs();
        nextMs += getGapMs(this, meanGapMs)
      ) {
        void send(this);
      }
      await this.clock.advance(tickMs);
    }
    await this.clock.advance(deadlineMs + serviceMs);
  },
);

Then(
  'no limited target of the fleet received more than its limit allows in any 4 s',
  function (this: FleetWorld) {
    checkWindows(this, this.limitPerS, 0);
  },
);

Then(
  'no limited target of the fleet received more than {float} a second allow in any 4 s from {int} s on',
  function (this: FleetWorld, limitPerS: number, fromS: number) {
    checkWindows(this, limitPerS, fromS * 1000);
  },
);

Then(
  'every request of the fleet after {float} s was sent without delay',
  function (this: FleetWorld, afterS: number) {
    const later = this.outcomes.filter(
      ({arrivedAtMs}) => arrivedAtMs > afterS * 1000,
    );
    assert.ok(later.length > 0);
    for (const {arrivedAtMs, waitedMs, retryAfterMs} of later) {
      assert.equal(retryAfterMs, undefined, `rejected at ${arrivedAtMs} ms`);
      assert.ok(waitedMs <= maxUndelayedMs, `waited ${waitedMs} ms`);
    }
  },
);

Then(
  '{int} of 100 requests of the fleet were sent at least',
  function (this: FleetWorld, percent: number) {
    const sent = this.outcomes.filter(
      ({retryAfterMs}) => retryAfterMs === undefined,
    );
    const counts = `${sent.length} of ${this.outcomes.length}`;
    assert.ok(sent.length * 100 >= this.outcomes.length * percent, counts);
  },
);

Then(
  'the rejected requests of the fleet waited {int} ms on average at most',
  function (this: FleetWorld, maxMs: number) {
    const meanMs = getMean(getRejected(this).map(({waitedMs}) => waitedMs));
    assert.ok(meanMs <= maxMs, `waited ${meanMs} ms`);
  },
);

Then(
  'the retry delay of the rejected requests of the fleet is {int} ms on average at least',
  function (this: FleetWorld, minMs: number) {
    const delays = getRejected(this).map(({retryAfterMs = 0}) => retryAfterMs);
    const meanMs = getMean(delays);
    assert.ok(meanMs >= minMs, `retry after ${meanMs} ms`);
  },
);

function getRejected({outcomes}: FleetWorld): Outcome[] {
  const rejected = outcomes.filter(
    ({retryAfterMs}) => retryAfterMs !== undefined,
  );
  assert.ok(rejected.length > 0, 'nothing was rejected');
  return rejected;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function isWithin(nowMs: number, fromS: number, toS: number): boolean {
  return nowMs >= fromS * 1000 && nowMs < toS * 1000;
}

function getGapMs({random}: FleetWorld, meanMs: number): number {
  return -Math.log(1 - random.next()) * meanMs;
}

function restartDue(world: FleetWorld): void {
  for (const [index, dueMs] of world.restartsMs) {
    if (dueMs > world.clock.nowMs()) continue;
    world.restartsMs.delete(index);
    world.entries[index] = createEntry(world, index, world.entries.length);
  }
}

function checkWindows(
  {targets, limitedCount, received}: FleetWorld,
  limitPerS: number,
  fromMs: number,
): void {
  const allowed = Math.floor((limitPerS * windowMs * 1.5) / 1000 + 5);
  for (const {id} of targets.slice(0, limitedCount)) {
    const times = (received.get(id) ?? []).filter((atMs) => atMs >= fromMs);
    const most = Math.max(
      0,
      ...times.map(
        (startMs) =>
          times.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs)
            .length,
      ),
    );
    assert.ok(most <= allowed, `${id}: ${most} in 4 s, allowed ${allowed}`);
  }
}

function restartTargetsIfDue(world: FleetWorld): void {
  if (world.clock.nowMs() < world.targetRestartMs) return;
  world.targetRestartMs = Number.POSITIVE_INFINITY;
  world.targets = world.targets.map((target) => ({...target, startedAtMs: 2}));
  for (const {dispatcher, limits} of world.entries) {
    limits.retain(world.targets);
    dispatcher.setTargets(world.targets);
  }
}

async function send(world: FleetWorld): Promise<void> {
  const {clock, random, entries} = world;
  const entry = entries[Math.floor(random.next() * entries.length)];
  assert.ok(entry);
  const startMs = clock.nowMs();
  if (world.isFrozen(entry.index, startMs)) return;
  const arrivedAtMs = startMs;
  const request = {
    prompt: [],
    priority: 0,
    finishByMs: Number.POSITIVE_INFINITY,
    deadlineMs: startMs + deadlineMs,
    excluded: new Set<TargetId>(),
    previousPrompt: undefined,
    kind: 'call',
  };
  try {
    const lease = await entry.dispatcher.acquire(
      request,
      new AbortController().signal,
    );
    while (world.isFrozen(entry.index, clock.nowMs())) {
      await clock.sleep(tickMs);
    }
    const sentAtMs = clock.nowMs();
    recordReceived(world, lease.target.id, sentAtMs);
    world.outcomes.push({
      arrivedAtMs,
      waitedMs: sentAtMs - startMs,
      retryAfterMs: undefined,
    });
    await clock.sleep(serviceMs);
    stateLimit(world, entry.limits, lease.target, sentAtMs);
    lease.release({result: 'answered'});
  } catch (error) {
    assert.ok(error instanceof MarigoldpostError);
    const waitedMs = clock.nowMs() - startMs;
    const retryAfterMs = error.retryAfterMs ?? 0;
    world.outcomes.push({arrivedAtMs, waitedMs, retryAfterMs});
  }
}

function recordReceived(
  {received}: FleetWorld,
  target: TargetId,
  atMs: number,
): void {
  const times = received.get(target);
  if (times === undefined) received.set(target, [atMs]);
  else times.push(atMs);
}
