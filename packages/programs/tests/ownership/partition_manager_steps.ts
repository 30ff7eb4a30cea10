/** Steps for ownership of partitions. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  getPartitionId,
  toId,
  type DataCentreId,
  type PartitionId,
} from '@marigoldpost/common';
import {
  createSiteFixture,
  leaseMs,
  partitionCount,
  type SiteDaemon,
  type SiteFixture,
} from '../fixtures/site_fixture.js';

interface OwnershipWorld extends World {
  site: SiteFixture;
  /** Partitions that the lost daemon had. */
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
  site: SiteFixture,
  name: string,
  dataCentre: string,
): Promise<SiteDaemon> {
  const daemon = site.addDaemon(name, dataCentre);
  const started = daemon.leases.start().then(() => daemon.manager.start());
  await site.advance(500);
  await started;
  return daemon;
}

function isServed(site: SiteFixture, partition: PartitionId): boolean {
  return site.getServers(partition).length === 1;
}

Given(
  'three daemons of the data centre cat-lai and one of cai-mep',
  async function (this: OwnershipWorld) {
    this.site = createSiteFixture();
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      await startDaemon(this.site, name, 'cat-lai');
    }
    await startDaemon(this.site, 'entry-9', 'cai-mep');
    await this.site.advance(2 * settleMs);
    const first = this.site.daemons.get('entry-1')!;
    this.lost = first.manager.getPartitions().map((own) => own.partition);
  },
);

/** Brings a loss about. */
async function lose(world: OwnershipWorld, loss: string): Promise<void> {
  const {site} = world;
  const daemon = site.daemons.get('entry-1')!;
  if (loss === 'drained') {
    daemon.isDraining = true;
    void daemon.manager.handOverAll();
    return;
  }
  if (loss.startsWith('cut off')) site.store.setCutOff('entry-1', true);
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
    await lose(this, loss);
  },
);

Then(
  /^its partitions are served by others of cat-lai (.*)$/,
  async function (this: OwnershipWorld, when: string) {
    const {site, lost} = this;
    const first = site.daemons.get('entry-1')!;
    const isTaken = (partition: PartitionId) =>
      site.getServers(partition).some((server) => server !== first);
    if (when === 'after its lease') {
      await site.advance(leaseMs / 2);
      assert.equal(lost.filter(isTaken).length, 0);
      await site.advance(2 * leaseMs);
    } else {
      await site.advance(when === 'within a second' ? 1_000 : 2_000);
    }
    assert.equal(lost.filter(isTaken).length, lost.length);
  },
);

Then(
  'every partition of cat-lai is held, and each of its daemons holds 2',
  function (this: OwnershipWorld) {
    const {daemons} = this.site;
    assert.ok(homePartitions.every((it) => isServed(this.site, it)));
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      assert.equal(daemons.get(name)!.manager.getPartitions().length, 2);
    }
  },
);

When(
  'the platform is down for a minute',
  async function (this: OwnershipWorld) {
    const {site} = this;
    this.gaps = 0;
    site.store.setOutage(true);
    for (let passedMs = 0; passedMs < 2 * minuteMs; passedMs += 500) {
      if (passedMs === minuteMs) site.store.setOutage(false);
      await site.advance(500);
      this.gaps += homePartitions.filter((it) => !isServed(site, it)).length;
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
    this.site.daemons.get('entry-1')!.state = 'suspect';
    this.site.store.setOutage(true);
    await this.site.advance(2 * leaseMs);
  },
);

Then(
  "no daemon of cat-lai but entry-1 serves after the lease's end",
  function (this: OwnershipWorld) {
    const servers = homePartitions.flatMap((it) => this.site.getServers(it));
    const names = new Set(servers.map(({name}) => String(name)));
    assert.deepEqual([...names], ['entry-1']);
  },
);

When('every daemon of cat-lai is dead', async function (this: OwnershipWorld) {
  for (const daemon of this.site.daemons.values()) {
    if (daemon.dataCentre !== home) continue;
    daemon.state = 'dead';
    daemon.leases.stop();
    await daemon.manager.stop();
  }
});

When('the text marks cat-lai down', function (this: OwnershipWorld) {
  this.site.down.add(home);
});

When(
  'cat-lai has new daemons and is no longer marked down',
  async function (this: OwnershipWorld) {
    await this.site.advance(minuteMs);
    this.site.down.delete(home);
    await startDaemon(this.site, 'entry-5', 'cat-lai');
    await startDaemon(this.site, 'entry-6', 'cat-lai');
    await this.site.advance(minuteMs);
  },
);

When('the daemon entry-4 joins cat-lai', async function (this: OwnershipWorld) {
  await startDaemon(this.site, 'entry-4', 'cat-lai');
  await this.site.advance(minuteMs);
});

Then(
  "entry-4 holds at least 1 of cat-lai's partitions",
  function (this: OwnershipWorld) {
    const {manager} = this.site.daemons.get('entry-4')!;
    assert.ok(manager.getPartitions().length >= 1);
    assert.ok(homePartitions.every((it) => isServed(this.site, it)));
  },
);

Then(
  "entry-9 of cai-mep holds none of cat-lai's partitions after a minute",
  async function (this: OwnershipWorld) {
    await this.site.advance(minuteMs);
    assert.ok(!homePartitions.some((it) => isServed(this.site, it)));
  },
);

Then(
  "entry-9 of cai-mep serves all of cat-lai's partitions",
  async function (this: OwnershipWorld) {
    await this.site.advance(minuteMs);
    const servers = homePartitions.map((it) => this.site.getServers(it));
    assert.ok(servers.every(([server]) => server?.name === 'entry-9'));
  },
);

Then(
  'the new daemons of cat-lai serve all of its partitions',
  function (this: OwnershipWorld) {
    const servers = homePartitions.map((it) => this.site.getServers(it)[0]);
    assert.ok(servers.every((server) => server?.dataCentre === home));
  },
);
