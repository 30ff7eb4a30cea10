/** Steps for the renewal and the observation of leases. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  SeededRandom,
  toId,
  VirtualClock,
  type DaemonId,
  type DataCentreId,
} from '@marigoldpost/common';
import {LeaseRenewer, LeaseObserver} from '@marigoldpost/platform';
import {MemoryObjectStore} from '@marigoldpost/standins';

interface LeaseWorld extends World {
  clock: VirtualClock;
  store: MemoryObjectStore;
  leaseRenewer: LeaseRenewer;
  observer: LeaseObserver;
  wasReplaced: boolean;
  sentAtMs: number;
}

const daemon = toId<DaemonId>('entry-1');
const dataCentre = toId<DataCentreId>('cat-lai');
const pollMs = 500;
const stepMs = 10;
const secondMs = 1_000;

function createLeaseRenewer(
  world: LeaseWorld,
  incarnation: number,
): LeaseRenewer {
  return LeaseRenewer.create({
    store: world.store.createClient('entry-1'),
    clock: world.clock,
    random: SeededRandom.create(incarnation),
    daemon,
    dataCentre,
    address: 'http://192.0.2.1:7000',
    incarnation,
    getLeaseMs: () => 6 * secondMs,
    onReplaced: () => {
      world.wasReplaced = true;
    },
  });
}

/** Advances the clock while the observer reads at its interval. */
async function pass(world: LeaseWorld, elapsedMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < elapsedMs; passedMs += pollMs) {
    await world.clock.advance(pollMs);
    await world.observer.observe().catch(() => undefined);
  }
}

Given(
  'a daemon that keeps its lease of {int} seconds, and an observer',
  async function (this: LeaseWorld, seconds: number) {
    this.clock = VirtualClock.create();
    this.store = MemoryObjectStore.create({clock: this.clock});
    this.wasReplaced = false;
    this.leaseRenewer = createLeaseRenewer(this, 1);
    this.observer = LeaseObserver.create({
      store: this.store.createClient('entry-2'),
      clock: this.clock,
      dataCentre,
      getLeaseMs: () => seconds * secondMs,
    });
    await this.leaseRenewer.start();
    await pass(this, secondMs);
  },
);

When(
  '{int} seconds of the lease pass',
  async function (this: LeaseWorld, seconds: number) {
    await pass(this, seconds * secondMs);
  },
);

Then(
  'the lease is held and has not lapsed for the observer',
  function (this: LeaseWorld) {
    assert.equal(this.leaseRenewer.isHeld(), true);
    assert.equal(this.observer.isLapsed(daemon), false);
  },
);

When(
  'the daemon of the lease is cut off from the platform',
  function (this: LeaseWorld) {
    this.store.setOffline('entry-1', true);
  },
);

Then(
  'the lease ends for its holder before it lapses for the observer',
  async function (this: LeaseWorld) {
    let rounds = 0;
    while (!this.observer.isLapsed(daemon)) {
      assert.ok(rounds++ < 100);
      await pass(this, pollMs);
      const isBoth =
        this.observer.isLapsed(daemon) && this.leaseRenewer.isHeld();
      assert.equal(isBoth, false);
    }
    assert.equal(this.leaseRenewer.isHeld(), false);
  },
);

When(
  'the renewal of the lease takes 4 seconds and no other gets through',
  async function (this: LeaseWorld) {
    const writesBefore = this.store.getCallCounts('entry-1').writes;
    this.store.setCallDurationMs(4 * secondMs);
    while (this.store.getCallCounts('entry-1').writes === writesBefore) {
      await this.clock.advance(stepMs);
    }
    this.sentAtMs = this.clock.nowMs();
    await this.clock.advance(4 * secondMs);
    this.store.setOffline('entry-1', true);
  },
);

Then(
  'the lease ends 6 seconds after that renewal was sent',
  async function (this: LeaseWorld) {
    while (this.leaseRenewer.isHeld()) await this.clock.advance(stepMs);
    const heldMs = this.clock.nowMs() - this.sentAtMs;
    assert.ok(Math.abs(heldMs - 6 * secondMs) <= 2 * stepMs, String(heldMs));
  },
);

When(
  /^the lease meets (.*) and 30 seconds pass$/,
  async function (this: LeaseWorld, fault: string) {
    if (fault === 'a lost answer') this.store.loseNextWriteResponses(1);
    if (fault === 'five lost answers') this.store.loseNextWriteResponses(5);
    if (fault === 'a failed call') this.store.failNextCalls(1);
    if (fault === 'a short outage') {
      this.store.setOutage(true);
      await pass(this, 2 * secondMs);
      this.store.setOutage(false);
    }
    await pass(this, 30 * secondMs);
  },
);

When(
  'the platform of the lease is down for a minute',
  async function (this: LeaseWorld) {
    this.store.setOutage(true);
    await pass(this, 60 * secondMs);
    this.store.setOutage(false);
  },
);

Then(
  'the lease has not lapsed for the observer once the platform is back',
  async function (this: LeaseWorld) {
    await this.observer.observe();
    assert.equal(this.observer.isLapsed(daemon), false);
    await pass(this, 30 * secondMs);
    assert.equal(this.observer.isLapsed(daemon), false);
  },
);

When('the daemon releases its lease', async function (this: LeaseWorld) {
  await this.leaseRenewer.release();
});

Then(
  'the lease has lapsed for the observer at its next read',
  async function (this: LeaseWorld) {
    await this.observer.observe();
    assert.equal(this.observer.isLapsed(daemon), true);
    assert.equal(this.leaseRenewer.isHeld(), false);
  },
);

When(
  'the same daemon starts again with a newer incarnation of the lease',
  async function (this: LeaseWorld) {
    const newer = createLeaseRenewer(this, 2);
    await newer.start();
    await pass(this, 10 * secondMs);
    assert.equal(newer.isHeld(), true);
  },
);

Then(
  'the older incarnation stops holding the lease and is notified',
  function (this: LeaseWorld) {
    assert.equal(this.leaseRenewer.isHeld(), false);
    assert.equal(this.wasReplaced, true);
  },
);
