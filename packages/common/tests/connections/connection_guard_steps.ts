/** Steps for the limits on clients' connections, without a network. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  clientPortShare,
  ConnectionGuard,
  getConnectionLimits,
  VirtualClock,
} from '@marigoldpost/common';

interface GuardWorld extends World {
  clock: VirtualClock;
  guard: ConnectionGuard<string>;
  answers: string[];
}

Given(
  'a connection guard for {int} connections, {int} requests of one and {int} of all',
  function (
    this: GuardWorld,
    maxConnections: number,
    maxPipelined: number,
    maxPending: number,
  ) {
    this.clock = VirtualClock.create();
    const limits = {maxConnections, maxPipelined, maxPending};
    this.guard = ConnectionGuard.create<string>(this.clock, limits);
    this.answers = [];
  },
);

When(
  'the guard sees {string}',
  async function (this: GuardWorld, events: string) {
    for (const event of events.split(', ')) {
      const [name = '', argument = ''] = event.split(' ');
      const handle = handlers[name];
      assert.ok(handle, event);
      const answer = await handle(this, argument);
      if (answer !== undefined) this.answers.push(answer);
    }
  },
);

Then(
  'the guard answers {string}',
  function (this: GuardWorld, answers: string) {
    assert.equal(this.answers.join(', '), answers);
  },
);

Then(
  'the guard counts {int} connections and {int} requests',
  function (this: GuardWorld, connections: number, pending: number) {
    const {connectionCount, pendingCount} = this.guard;
    assert.deepEqual([connectionCount, pendingCount], [connections, pending]);
  },
);

Then(
  /^a VM of (\d+) MB and (\d+|no) descriptors accepts (\d+) connections and (\d+) requests at a time$/,
  function (
    memory: string,
    descriptors: string,
    connections: string,
    pending: string,
  ) {
    const process = {
      memoryMb: Number(memory),
      maxDescriptors: descriptors === 'no' ? undefined : Number(descriptors),
    };
    const limits = getConnectionLimits(process, clientPortShare);
    assert.equal(limits.maxConnections, Number(connections));
    assert.equal(limits.maxPending, Number(pending));
  },
);

type Handler = (
  world: GuardWorld,
  argument: string,
) => Promise<string | undefined> | string | undefined;

const handlers: Readonly<Record<string, Handler>> = {
  open: ({guard}, key) => {
    const {isAccepted, replaced} = guard.open(key);
    if (!isAccepted) return 'refused';
    return replaced === undefined ? 'accepted' : `accepted for ${replaced}`;
  },
  request: ({guard}, key) => (guard.addRequest(key) ? 'kept' : 'closed'),
  end: ({guard}, key) => {
    guard.endRequest(key);
    return undefined;
  },
  remove: ({guard}, key) => {
    guard.remove(key);
    return undefined;
  },
  wait: async ({clock}, elapsedMs) => {
    await clock.advance(Number(elapsedMs));
    return undefined;
  },
};
