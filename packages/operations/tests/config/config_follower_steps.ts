/** Steps for the active configuration. */
import assert from 'node:assert/strict';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {configKey} from '@marigoldpost/operations';
import {checkNeverReverts} from './config_checker.js';
import {ConfigFixture, type FollowingDaemon} from './config_fixture.js';

interface FollowerWorld extends World {
  fleet: ConfigFixture;
}

const seed = 20261203;
const author = 'ana';

After(async function (this: FollowerWorld) {
  await this.fleet?.stop();
});

async function createFleet(count: number): Promise<ConfigFixture> {
  const fleet = new ConfigFixture();
  await fleet.startChange({text: 'text 1', author, baseVersion: 0});
  for (let index = 0; index < count; index++) {
    await fleet.addDaemon(`daemon-${index}`);
  }
  return fleet;
}

function getVersions(fleet: ConfigFixture): Array<number | undefined> {
  return fleet.daemons.map(({follower}) => follower.getCurrent()?.version);
}

function getDaemon(fleet: ConfigFixture, index: number): FollowingDaemon {
  return fleet.daemons[index] as FollowingDaemon;
}

Given(
  '{int} daemons that follow configuration version 1',
  async function (this: FollowerWorld, count: number) {
    this.fleet = await createFleet(count);
    assert.ok(getVersions(this.fleet).every((version) => version === 1));
  },
);

Given(
  'daemon {int} is cut off from the platform',
  function (this: FollowerWorld, index: number) {
    const {id} = getDaemon(this.fleet, index);
    this.fleet.store.setOffline(id, true);
  },
);

Given('the platform of the followers is down', function (this: FollowerWorld) {
  this.fleet.store.setOutage(true);
});

When('the platform of the followers is up', function (this: FollowerWorld) {
  this.fleet.store.setOutage(false);
});

When(
  'configuration version {int} is accepted',
  async function (this: FollowerWorld, version: number) {
    const text = `text ${version}`;
    const baseVersion = version - 1;
    await this.fleet.startChange({text, author, baseVersion});
  },
);

When(
  'daemon {int} is notified of version {int} by daemon {int}',
  async function (
    this: FollowerWorld,
    index: number,
    version: number,
    from: number,
  ) {
    await this.fleet.clock.advance(100);
    const {id: daemon} = getDaemon(this.fleet, from);
    const peer = {daemon, address: `http://${daemon}`};
    const {follower} = getDaemon(this.fleet, index);
    await follower.fetchIfNewer({peer, version, hash: ''});
  },
);

When(
  'daemon {int} restarts',
  async function (this: FollowerWorld, index: number) {
    await this.fleet.restartDaemon(getDaemon(this.fleet, index));
  },
);

When(
  'an invalid configuration version 2 is written without the check',
  async function (this: FollowerWorld) {
    const {store} = this.fleet;
    const object = await store.getObject(configKey);
    assert.ok(object);
    const record = {...JSON.parse(object.value), version: 2, text: 'invalid'};
    const value = JSON.stringify(record);
    await store.updateObject(configKey, value, object.version);
  },
);

async function checkAllHave(
  fleet: ConfigFixture,
  seconds: number,
  version: number,
): Promise<void> {
  await fleet.clock.advance(seconds * 1000);
  const expected = fleet.daemons.map(() => version);
  assert.deepEqual(getVersions(fleet), expected);
}

Then(
  'within {int} seconds version {int} is active on every daemon',
  async function (this: FollowerWorld, seconds: number, version: number) {
    await checkAllHave(this.fleet, seconds, version);
  },
);

Then(
  'after {int} seconds version {int} is active on every daemon',
  async function (this: FollowerWorld, seconds: number, version: number) {
    await checkAllHave(this.fleet, seconds, version);
  },
);

Then(
  'after {int} seconds daemon {int} has no active configuration',
  async function (this: FollowerWorld, seconds: number, index: number) {
    await this.fleet.clock.advance(seconds * 1000);
    const {follower} = getDaemon(this.fleet, index);
    assert.equal(follower.getCurrent(), undefined);
  },
);

Then(
  'in {int} runs with cuts, outages and restarts no daemon reverts to an older configuration',
  {timeout: 120_000},
  async (numRuns: number) => {
    await fc.assert(createFollowerProperty(), {seed, numRuns});
  },
);

Then(
  'the check for reverts fails for versions {int}, {int}, {int}',
  (first: number, second: number, third: number) => {
    assert.throws(() => checkNeverReverts([first, second, third]));
  },
);

const daemonCount = 3;
const daemonIndex = fc.nat({max: daemonCount - 1});
type FollowerStep =
  | {kind: 'edit'}
  | {kind: 'cut'; daemon: number; isCut: boolean}
  | {kind: 'outage'; isOut: boolean}
  | {kind: 'hear'; daemon: number; from: number}
  | {kind: 'restart'; daemon: number}
  | {kind: 'wait'; ms: number};

const followerStep: fc.Arbitrary<FollowerStep> = fc.oneof(
  fc.constant<FollowerStep>({kind: 'edit'}),
  fc.record({
    kind: fc.constant('cut' as const),
    daemon: daemonIndex,
    isCut: fc.boolean(),
  }),
  fc.record({kind: fc.constant('outage' as const), isOut: fc.boolean()}),
  fc.record({
    kind: fc.constant('hear' as const),
    daemon: daemonIndex,
    from: daemonIndex,
  }),
  fc.record({kind: fc.constant('restart' as const), daemon: daemonIndex}),
  fc.record({
    kind: fc.constant('wait' as const),
    ms: fc.constantFrom(10, 300, 3000),
  }),
);

function createFollowerProperty() {
  return fc.asyncProperty(
    fc.array(followerStep, {minLength: 5, maxLength: 25}),
    async (steps) => {
      const fleet = await createFleet(daemonCount);
      for (const [index, step] of steps.entries()) {
        await applyFollowerStep(fleet, step, index);
        for (const {versions} of fleet.daemons) checkNeverReverts(versions);
      }
      fleet.store.setOutage(false);
      for (const {id} of fleet.daemons) fleet.store.setOffline(id, false);
      await fleet.settle();
      const last = (await fleet.readRecords()).length;
      await checkAllHave(fleet, 10, last);
      for (const {versions} of fleet.daemons) checkNeverReverts(versions);
      await fleet.stop();
    },
  );
}

async function applyFollowerStep(
  fleet: ConfigFixture,
  step: FollowerStep,
  index: number,
): Promise<void> {
  switch (step.kind) {
    case 'edit':
      fleet.startEdit(author, `text of step ${index}`);
      break;
    case 'cut':
      fleet.store.setOffline(getDaemon(fleet, step.daemon).id, step.isCut);
      break;
    case 'outage':
      fleet.store.setOutage(step.isOut);
      break;
    case 'hear':
      notifyOfVersion(fleet, step.daemon, step.from);
      break;
    case 'restart':
      await fleet.restartDaemon(getDaemon(fleet, step.daemon));
      break;
    case 'wait':
      await fleet.clock.advance(step.ms);
      break;
  }
}

function notifyOfVersion(
  fleet: ConfigFixture,
  index: number,
  from: number,
): void {
  const {id: daemon, follower} = getDaemon(fleet, from);
  const version = follower.getCurrent()?.version ?? 0;
  const peer = {daemon, address: `http://${daemon}`};
  const receiver = getDaemon(fleet, index).follower;
  void receiver.fetchIfNewer({peer, version, hash: ''});
}
