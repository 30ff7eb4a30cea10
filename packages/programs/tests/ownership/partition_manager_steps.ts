/** Steps for claiming, takeover and handover of partitions by daemons. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  getPartitionId,
  toId,
  type DataCentreId,
  type PartitionId,
} from '@marigoldpost/common';
import {
  createTestFleet,
  leaseMs,
  partitionCount,
  type TestDaemon,
  type TestFleet,
} from '../fixtures/test_fleet.js';

interface OwnershipWorld extends World {
  testFleet: TestFleet;
  /** Partitions that the daemon entry-1 holds before its loss. */
  lost: PartitionId[];
  gaps: number;
}

const settleMs = 10_000;
const minuteMs = 60_000;
const home = toId<DataCentreId>('cat-lai');
const homePartitions = Array.from({length: partitionCount}, (_, index) =>
  getPartitionId(home, index),
);

async function startDaemon(
  fleet: TestFleet,
  name: string,
  dataCentre: string,
): Promise<TestDaemon> {
  const daemon = fleet.addDaemon(name, dataCentre);
  const started = daemon.leases.start().then(() => daemon.manager.start());
  await fleet.advance(500);
  await started;
  return daemon;
}

function isServed(fleet: TestFleet, partition: PartitionId): boolean {
  return fleet.getServers(partition).length === 1;
}

Given(
  'three daemons of the data centre cat-lai and one of cai-mep',
  async function (this: OwnershipWorld) {
    this.testFleet = createTestFleet();
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      await startDaemon(this.testFleet, name, 'cat-lai');
    }
    await startDaemon(this.testFleet, 'entry-9', 'cai-mep');
    await this.testFleet.advance(2 * settleMs);
    const first = this.testFleet.daemons.get('entry-1')!;
    this.lost = first.manager.getPartitions().map((own) => own.partition);
  },
);

/** Applies a loss to the daemon entry-1. */
async function applyLoss(world: OwnershipWorld, loss: string): Promise<void> {
  const {testFleet} = world;
  const daemon = testFleet.daemons.get('entry-1')!;
  if (loss === 'drained') {
    daemon.isDraining = true;
    void daemon.manager.handOverAll();
    return;
  }
  if (loss.startsWith('cut off')) testFleet.store.setOffline('entry-1', true);
  if (loss.endsWith('peers')) daemon.state = 'suspect';
  if (loss === 'dead' || loss === 'frozen') {
    daemon.state = loss === 'dead' ? 'dead' : 'suspect';
    daemon.leases.stop();
    await daemon.manager.stop();
  }
}

When(
  /^the daemon entry-1 is (dead|drained|frozen|cut off.*)$/,
  async function (this: OwnershipWorld, loss: string) {
    assert.equal(this.lost.length, 2);
    await applyLoss(this, loss);
  },
);

Then(
  /^its partitions are served by others of cat-lai (.*)$/,
  async function (this: OwnershipWorld, when: string) {
    const {testFleet, lost} = this;
    const first = testFleet.daemons.get('entry-1')!;
    const isTaken = (partition: PartitionId) =>
      testFleet.getServers(partition).some((server) => server !== first);
    if (when === 'after its lease') {
      await testFleet.advance(leaseMs / 2);
      assert.equal(lost.filter(isTaken).length, 0);
      await testFleet.advance(2 * leaseMs);
    } else {
      await testFleet.advance(when === 'within a second' ? 1_000 : 2_000);
    }
    assert.equal(lost.filter(isTaken).length, lost.length);
  },
);

Then(
  'every partition of cat-lai is held, and each of its daemons holds 2',
  function (this: OwnershipWorld) {
    const {daemons} = this.testFleet;
    assert.ok(homePartitions.every((it) => isServed(this.testFleet, it)));
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      assert.equal(daemons.get(name)!.manager.getPartitions().length, 2);
    }
  },
);

When(
  'the platform is down for a minute',
  async function (this: OwnershipWorld) {
    const {testFleet} = this;
    this.gaps = 0;
    testFleet.store.setOutage(true);
    for (let passedMs = 0; passedMs < 2 * minuteMs; passedMs += 500) {
      if (passedMs === minuteMs) testFleet.store.setOutage(false);
      await testFleet.advance(500);
      this.gaps += homePartitions.filter(
        (it) => !isServed(testFleet, it),
      ).length;
    }
  },
);

Then(
  'every partition of cat-lai was served all the time',
  function (this: OwnershipWorld) {
    assert.equal(this.gaps, 0);
  },
);

When(
  'the platform is down and the daemon entry-1 is suspect to the others',
  async function (this: OwnershipWorld) {
    this.testFleet.daemons.get('entry-1')!.state = 'suspect';
    this.testFleet.store.setOutage(true);
    await this.testFleet.advance(2 * leaseMs);
  },
);

Then(
  'only entry-1 of cat-lai serves after the leases expire',
  function (this: OwnershipWorld) {
    const servers = homePartitions.flatMap((it) =>
      this.testFleet.getServers(it),
    );
    const names = new Set(servers.map(({name}) => String(name)));
    assert.deepEqual([...names], ['entry-1']);
  },
);

When('every daemon of cat-lai is dead', async function (this: OwnershipWorld) {
  for (const daemon of this.testFleet.daemons.values()) {
    if (daemon.dataCentre !== home) continue;
    daemon.state = 'dead';
    daemon.leases.stop();
    await daemon.manager.stop();
  }
});

When(
  'the configuration marks cat-lai as down',
  function (this: OwnershipWorld) {
    this.testFleet.down.add(home);
  },
);

When(
  'cat-lai has new daemons and is no longer marked as down',
  async function (this: OwnershipWorld) {
    await this.testFleet.advance(minuteMs);
    this.testFleet.down.delete(home);
    await startDaemon(this.testFleet, 'entry-5', 'cat-lai');
    await startDaemon(this.testFleet, 'entry-6', 'cat-lai');
    await this.testFleet.advance(minuteMs);
  },
);

When('the daemon entry-4 joins cat-lai', async function (this: OwnershipWorld) {
  await startDaemon(this.testFleet, 'entry-4', 'cat-lai');
  await this.testFleet.advance(minuteMs);
});

Then(
  "entry-4 holds at least 1 of cat-lai's partitions",
  function (this: OwnershipWorld) {
    const {manager} = this.testFleet.daemons.get('entry-4')!;
    assert.ok(manager.getPartitions().length >= 1);
    assert.ok(homePartitions.every((it) => isServed(this.testFleet, it)));
  },
);

Then(
  "entry-9 of cai-mep holds none of cat-lai's partitions after a minute",
  async function (this: OwnershipWorld) {
    await this.testFleet.advance(minuteMs);
    assert.ok(!homePartitions.some((it) => isServed(this.testFleet, it)));
  },
);

Then(
  "entry-9 of cai-mep serves all of cat-lai's partitions",
  async function (this: OwnershipWorld) {
    await this.testFleet.advance(minuteMs);
    const servers = homePartitions.map((it) => this.testFleet.getServers(it));
    assert.ok(servers.every(([server]) => server?.name === 'entry-9'));
  },
);

Then(
  'the new daemons of cat-lai serve all of its partitions',
  function (this: OwnershipWorld) {
    const servers = homePartitions.map(
      (it) => this.testFleet.getServers(it)[0],
    );
    assert.ok(servers.every((server) => server?.dataCentre === home));
  },
);
