/** Steps for the choice of relaying entry VMs, on a virtual clock. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  SeededRandom,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {RelayPeers} from '@marigoldpost/gateway';

interface PeersWorld extends World {
  clock: VirtualClock;
  peers: RelayPeers;
  cut: Set<DaemonId>;
  able: DaemonId[];
  relayed: Map<DaemonId, number>;
  quick: number;
  counted: number;
}

const loadMs = 20_000;
const settledMs = 1000;

Given(
  '{int} entry VMs of which {int} have lost their links',
  function (this: PeersWorld, count: number, cutCount: number) {
    this.clock = VirtualClock.create();
    const daemons = Array.from({length: count}, (_none, index) =>
      toId<DaemonId>(`entry-${index}`),
    );
    this.cut = new Set(daemons.slice(0, cutCount));
    this.able = daemons.slice(cutCount);
    this.peers = RelayPeers.create({
      daemon: daemons[0] ?? toId<DaemonId>(''),
      dataCentre: toId<DataCentreId>('zone-0'),
      clock: this.clock,
      random: SeededRandom.create(count),
      getMembers: () =>
        daemons.map((daemon, index) => ({
          daemon,
          relayAddress: `http://${daemon}`,
          dataCentre: toId<DataCentreId>(`zone-${index % 3}`),
        })),
    });
  },
);

When(
  '{int} requests of the first one are relayed over 20 s',
  async function (this: PeersWorld, requests: number) {
    this.relayed = new Map();
    this.quick = 0;
    this.counted = 0;
    for (let sent = 0; sent < requests; sent++) {
      await this.clock.advance(loadMs / requests);
      relayOne(this);
    }
  },
);

When(
  'the other one has relayed a request and then does not reach a target',
  function (this: PeersWorld) {
    const [other] = this.able;
    assert.ok(other);
    this.peers.recordSuccess(other);
    this.peers.recordUnreached(other);
  },
);

Then(
  'at least {int} of 100 are relayed at the first or second try, after the first second',
  function (this: PeersWorld, percent: number) {
    const counts = `${this.quick} of ${this.counted}`;
    assert.ok(this.quick * 100 >= this.counted * percent, counts);
  },
);

Then(
  'no entry VM relays more than {float} times the mean of those that can',
  function (this: PeersWorld, times: number) {
    const counts = [...this.relayed.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    const most = Math.max(...counts);
    const mean = total / this.able.length;
    assert.ok(most <= mean * times, `${most} of a mean of ${mean}`);
  },
);

Then('the other one is chosen again', function (this: PeersWorld) {
  assert.equal(this.peers.choose(new Set())?.daemon, this.able[0]);
});

function relayOne(world: PeersWorld): void {
  const {clock, peers, cut, relayed} = world;
  const excluded = new Set<DaemonId>();
  if (clock.nowMs() > settledMs) world.counted += 1;
  for (let tries = 1; tries <= 3; tries++) {
    const peer = peers.choose(excluded);
    if (peer === undefined) return;
    excluded.add(peer.daemon);
    if (cut.has(peer.daemon)) {
      peers.recordFailure(peer.daemon);
      continue;
    }
    peers.recordSuccess(peer.daemon);
    relayed.set(peer.daemon, (relayed.get(peer.daemon) ?? 0) + 1);
    if (tries <= 2 && clock.nowMs() > settledMs) world.quick += 1;
    return;
  }
}
