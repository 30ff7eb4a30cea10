/** Steps for the partition directory. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  isErrorOfKind,
  SeededRandom,
  toEpoch,
  toId,
  VirtualClock,
  type DaemonId,
  type PartitionId,
} from '@marigoldpost/common';
import {PartitionDirectory} from '@marigoldpost/platform';
import {MemoryObjectStore} from '@marigoldpost/standins';

interface DirectoryWorld extends World {
  store: MemoryObjectStore;
  fault: string;
  results: Array<PromiseSettledResult<unknown>>;
}

const partition = toId<PartitionId>('cat-lai.0');
const daemons = ['entry-1', 'entry-2'].map((name) => toId<DaemonId>(name));

function createDirectory(world: DirectoryWorld, seed: number) {
  const client = world.store.createClient(`entry-${seed}`);
  return PartitionDirectory.create(client, SeededRandom.create(seed));
}

Given(
  /^a partition directory whose platform has (.*)$/,
  function (this: DirectoryWorld, fault: string) {
    const clock = VirtualClock.create();
    this.store = MemoryObjectStore.create({clock});
    this.fault = fault;
  },
);

When(
  'two daemons claim the same partition of the directory concurrently',
  async function (this: DirectoryWorld) {
    if (this.fault === 'a lost answer') this.store.loseNextWriteResponses(1);
    if (this.fault === 'two lost answers') this.store.loseNextWriteResponses(2);
    const claims = daemons.map((holder, index) =>
      createDirectory(this, index + 1).claimPartition({
        partition,
        holder,
        expectedEpoch: toEpoch(0),
      }),
    );
    this.results = await Promise.allSettled(claims);
  },
);

Then(
  'one claim of the directory succeeds, and the directory names its daemon',
  async function (this: DirectoryWorld) {
    const won = this.results.findIndex(({status}) => status === 'fulfilled');
    const wins = this.results.filter(({status}) => status === 'fulfilled');
    assert.equal(wins.length, 1);
    const lost = this.results[1 - won];
    assert.ok(lost?.status === 'rejected');
    assert.ok(isErrorOfKind(lost.reason, 'version_conflict'));
    const entry = await createDirectory(this, 3).readPartition(partition);
    assert.equal(entry?.holder, daemons[won]);
    assert.equal(entry?.epoch, 1);
  },
);

When(
  'a daemon claims a partition of the directory at an outdated epoch',
  async function (this: DirectoryWorld) {
    const [first, second] = daemons;
    const claim = {partition, expectedEpoch: toEpoch(0)};
    const directory = createDirectory(this, 1);
    await directory.claimPartition({...claim, holder: first!});
    const late = createDirectory(this, 2);
    this.results = await Promise.allSettled([
      late.claimPartition({...claim, holder: second!}),
    ]);
  },
);

Then(
  'the directory rejects that claim as version_conflict',
  function (this: DirectoryWorld) {
    const [result] = this.results;
    assert.ok(result?.status === 'rejected');
    assert.ok(isErrorOfKind(result.reason, 'version_conflict'));
  },
);
