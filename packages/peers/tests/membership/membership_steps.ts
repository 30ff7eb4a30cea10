/** Steps that run fleets of memberships and inject faults. */
import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {type Fingerprint, toId} from '@marigoldpost/common';
import {HeartbeatSchema} from '@marigoldpost/peers';
import type {FleetMember} from '@marigoldpost/platform';
import {
  createState,
  type FleetDaemon,
  heartbeatMs,
  MembershipFleet,
} from './membership_fixture.js';

interface MembershipWorld extends World {
  members: MembershipFleet;
  bytesPerSecond: number[];
}

const quarantined = {
  fingerprint: toId<Fingerprint>('f1'),
  deaths: [],
  version: 1,
  quarantinedDeaths: 0,
};

After(function (this: MembershipWorld) {
  this.members?.stop();
});

Given(
  'a fleet of {int} daemons in {int} data centres of which {int} are on the VM list',
  async function (
    this: MembershipWorld,
    daemons: number,
    zones: number,
    listed: number,
  ) {
    this.members = await MembershipFleet.create(daemons, zones, listed);
  },
);

Given(
  'the fleet runs for {int} heartbeat intervals',
  async function (this: MembershipWorld, intervals: number) {
    await this.members.run(intervals);
  },
);

When(
  'fleet daemon {int} is killed',
  function (this: MembershipWorld, index: number) {
    this.members.kill(this.members.getDaemon(index));
  },
);

When(
  'fleet daemon {int} is paused',
  function (this: MembershipWorld, index: number) {
    this.members.network.setPaused(this.members.getDaemon(index).id, true);
  },
);

When(
  'fleet daemon {int} is cut from all',
  function (this: MembershipWorld, index: number) {
    setPartitionedFromAll(this.members, index, true);
  },
);

When(
  'fleet daemon {int} is back from kill',
  async function (this: MembershipWorld, index: number) {
    const daemon = this.members.getDaemon(index);
    this.members.kill(daemon);
    await this.members.run(10);
    await this.members.restart(daemon);
  },
);

When(
  'fleet daemon {int} is back from cut',
  async function (this: MembershipWorld, index: number) {
    setPartitionedFromAll(this.members, index, true);
    await this.members.run(10);
    setPartitionedFromAll(this.members, index, false);
  },
);

When(
  'fleet daemon {int} takes partition {string} at epoch {int}',
  function (
    this: MembershipWorld,
    index: number,
    partition: string,
    epoch: number,
  ) {
    const daemon = this.members.getDaemon(index);
    daemon.state = createState(partition, epoch);
    daemon.membership.announceChange();
  },
);

When(
  'fleet daemon {int} drains',
  function (this: MembershipWorld, index: number) {
    const daemon = this.members.getDaemon(index);
    daemon.state = {...daemon.state, isDraining: true};
    daemon.membership.announceChange();
  },
);

When(
  'fleet daemon {int} has configuration version {int} and the others adopt newer versions',
  function (this: MembershipWorld, index: number, version: number) {
    for (const daemon of this.members.daemons) {
      daemon.membership.addListener({
        onConfigVersionReceived: (notice) => {
          const configVersion = Math.max(
            daemon.state.configVersion,
            notice.version,
          );
          daemon.state = {...daemon.state, configVersion};
        },
      });
    }
    const first = this.members.getDaemon(index);
    first.state = {...first.state, configVersion: version};
  },
);

When(
  'fleet daemon {int} quarantines a request and the others adopt received quarantines',
  function (this: MembershipWorld, index: number) {
    for (const daemon of this.members.daemons) {
      daemon.membership.addListener({
        onQuarantinesReceived: (quarantines) => {
          daemon.state = {...daemon.state, quarantines};
        },
      });
    }
    const first = this.members.getDaemon(index);
    first.state = {...first.state, quarantines: [quarantined]};
  },
);

When(
  'fleet daemon {int} handles a heartbeat of fleet daemon {int} that was delayed by {int} intervals',
  async function (
    this: MembershipWorld,
    receiver: number,
    sender: number,
    intervals: number,
  ) {
    const delayed = this.members
      .getDaemon(sender)
      .membership.handleHeartbeat(create(HeartbeatSchema, {})).own;
    assert.ok(delayed);
    this.members.stop();
    await this.members.run(intervals);
    this.members.getDaemon(receiver).membership.handleHeartbeat(delayed);
  },
);

Then(
  'the age of fleet daemon {int} at fleet daemon {int} is at least {int} intervals',
  function (
    this: MembershipWorld,
    subject: number,
    observer: number,
    intervals: number,
  ) {
    const {id} = this.members.getDaemon(subject);
    const {membership} = this.members.getDaemon(observer);
    const ageMs = membership.getMember(id)?.ageMs ?? 0;
    assert.ok(ageMs >= intervals * heartbeatMs, `${ageMs} ms`);
  },
);

Then(
  'every daemon knows every other with its partition',
  function (this: MembershipWorld) {
    forEachPair(this.members, (member, seen) => {
      assert.deepEqual(member?.partitions, seen.state.partitions, seen.id);
    });
  },
);

Then(
  'every daemon sees every other as {string}',
  function (this: MembershipWorld, state: string) {
    forEachPair(this.members, (member, seen, observer) => {
      assert.equal(member?.state, state, `${seen.id} at ${observer.id}`);
    });
  },
);

Then(
  'every other daemon sees fleet daemon {int} as {string}',
  function (this: MembershipWorld, index: number, state: string) {
    forEachObserver(this.members, index, (member, observer) => {
      assert.equal(member?.state, state, `at ${observer.id}`);
    });
  },
);

Then(
  'every other daemon sees fleet daemon {int} as draining',
  function (this: MembershipWorld, index: number) {
    forEachObserver(this.members, index, (member, observer) => {
      assert.equal(member?.isDraining, true, `at ${observer.id}`);
    });
  },
);

Then(
  'every other daemon sees fleet daemon {int} as holder of {string}',
  function (this: MembershipWorld, index: number, partition: string) {
    const {id} = this.members.getDaemon(index);
    forEachObserver(this.members, index, (_member, {membership}) => {
      assert.equal(membership.getHolder(toId(partition))?.daemon, id);
    });
  },
);

Then(
  'every fleet daemon has configuration version {int}',
  function (this: MembershipWorld, version: number) {
    for (const {state, id} of this.members.daemons) {
      assert.equal(state.configVersion, version, id);
    }
  },
);

Then(
  'every daemon has the request in quarantine',
  function (this: MembershipWorld) {
    for (const {state, id} of this.members.daemons) {
      assert.deepEqual(state.quarantines, [quarantined], id);
    }
  },
);

Given(
  'fleets of {int} and {int} daemons in {int} data centres that ran for {int} heartbeat intervals',
  {timeout: 60_000},
  async function (
    this: MembershipWorld,
    smaller: number,
    larger: number,
    zones: number,
    intervals: number,
  ) {
    this.bytesPerSecond = [];
    for (const count of [smaller, larger]) {
      const fleet = await MembershipFleet.create(count, zones);
      await fleet.run(intervals);
      const before = getSentBytes(fleet);
      await fleet.run(intervals);
      const sentBytes = getSentBytes(fleet) - before;
      this.bytesPerSecond.push(sentBytes / count / intervals);
      fleet.stop();
    }
  },
);

Then(
  'a daemon of the larger fleet sends at most {float} times the bytes of the smaller',
  function (this: MembershipWorld, maxFactor: number) {
    const [smaller = 0, larger = 0] = this.bytesPerSecond;
    assert.ok(smaller > 0);
    assert.ok(larger <= smaller * maxFactor, this.bytesPerSecond.join(' '));
  },
);

function getSentBytes(fleet: MembershipFleet): number {
  return fleet.daemons.reduce(
    (total, {membership}) => total + membership.getTraffic().sentBytes,
    0,
  );
}

function setPartitionedFromAll(
  fleet: MembershipFleet,
  index: number,
  isCut: boolean,
): void {
  const {id} = fleet.getDaemon(index);
  for (const other of fleet.daemons) {
    if (other.id !== id) fleet.network.setCut(id, other.id, isCut);
  }
}

function forEachObserver(
  fleet: MembershipFleet,
  index: number,
  check: (member: FleetMember | undefined, observer: FleetDaemon) => void,
): void {
  const observed = fleet.getDaemon(index);
  for (const observer of fleet.daemons) {
    if (observer === observed) continue;
    check(observer.membership.getMember(observed.id), observer);
  }
}

function forEachPair(
  fleet: MembershipFleet,
  check: (
    member: FleetMember | undefined,
    seen: FleetDaemon,
    observer: FleetDaemon,
  ) => void,
): void {
  for (const [index, seen] of fleet.daemons.entries()) {
    forEachObserver(fleet, index, (member, observer) =>
      check(member, seen, observer),
    );
  }
}
