/** Steps for the dispatcher of a service. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  getHashNumber,
  isErrorOfKind,
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  type DispatchRequest,
  ServiceDispatcher,
  type TargetLease,
  type TargetResult,
} from '@marigoldpost/dispatch';
import type {PromptPart, PromptPartId, TargetEntry} from '@marigoldpost/sites';

interface DispatchWorld extends World {
  clock: VirtualClock;
  dispatcher: ServiceDispatcher;
  names: string[];
  slots: number;
  leases: TargetLease[];
  placedOrder: string[];
  last: TargetLease;
  turnsByTarget: Map<TargetId, number>;
}

const callMs = 20;
const farMs = 60_000;

Given(
  "a service with targets {string} of {int} slots, {string} in the daemon's own data centre",
  function (this: DispatchWorld, names: string, slots: number, near: string) {
    this.clock = VirtualClock.create();
    this.names = names.split(', ');
    this.slots = slots;
    this.leases = [];
    this.dispatcher = createDispatcher(this, near, 1);
    this.dispatcher.setTargets(this.names.map((name) => entry(this, name, 1)));
  },
);

Given(
  'target {string} has read prompt {string}',
  async function (this: DispatchWorld, name: string, prompt: string) {
    const lease = await place(this, {prompt: toPrompt(prompt)}, name);
    lease.release({result: 'answered'});
  },
);

Given(
  'each request takes {int} ms',
  async function (this: DispatchWorld, durationMs: number) {
    for (let index = 0; index < 3; index++) {
      const lease = await place(this, {});
      await this.clock.advance(durationMs);
      lease.release({result: 'answered'});
    }
  },
);

When(
  'a turn with prompt {string} is placed',
  async function (this: DispatchWorld, prompt: string) {
    this.last = await place(this, {prompt: toPrompt(prompt)});
  },
);

When('it has ended', function (this: DispatchWorld) {
  this.last.release({result: 'answered'});
});

When(
  '{int} turns with other prompts of {int} tokens are placed and have ended',
  async function (this: DispatchWorld, count: number, tokens: number) {
    for (let index = 0; index < count; index++) {
      const prompt = toPrompt(`other${index}:${tokens}`);
      const lease = await place(this, {prompt});
      lease.release({result: 'answered'});
    }
  },
);

When(
  '{int} turns with prompt {string} are placed',
  async function (this: DispatchWorld, count: number, prompt: string) {
    for (let index = 0; index < count; index++) {
      this.leases.push(await place(this, {prompt: toPrompt(prompt)}));
    }
  },
);

When(/^turns wait: (.*)$/, async function (this: DispatchWorld, list: string) {
  this.placedOrder = [];
  const pattern = /"(\w+)"(?: of priority (\d))? due in (-?\d+) ms/g;
  for (const [, name = '', priority = '1', dueMs] of list.matchAll(pattern)) {
    const finishByMs = this.clock.nowMs() + Number(dueMs);
    const wish = {finishByMs, priority: Number(priority)};
    void place(this, wish).then((lease) => {
      this.placedOrder.push(name);
      this.leases.push(lease);
    });
  }
  await this.clock.advance(0);
});

When('{int} turns wait', async function (this: DispatchWorld, count: number) {
  for (let index = 0; index < count; index++) {
    void place(this, {finishByMs: this.clock.nowMs() + index});
  }
  await this.clock.advance(0);
});

When(
  'a turn waits and its client leaves',
  async function (this: DispatchWorld) {
    const controller = new AbortController();
    const request = createRequest(this, {});
    const placed = this.dispatcher.acquire(request, controller.signal);
    await this.clock.advance(10);
    assert.equal(this.dispatcher.waitingCount, 1);
    controller.abort();
    await assert.rejects(placed);
  },
);

When(
  /^a request to target "(\w)" (cannot connect|is answered)$/,
  async function (this: DispatchWorld, name: string, outcome: string) {
    const result = outcome === 'is answered' ? 'answered' : 'unreachable';
    await finishAt(this, name, result);
  },
);

When(
  '{int} requests to target {string} break',
  async function (this: DispatchWorld, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      await finishAt(this, name, 'broken');
    }
  },
);

When(
  '{int} ms pass at the dispatcher',
  async function (this: DispatchWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

When(
  'target {string} takes {float} times as long as {string} for {int} requests',
  async function (
    this: DispatchWorld,
    slow: string,
    times: number,
    fast: string,
    count: number,
  ) {
    for (let index = 0; index < count; index++) {
      const paces = [[slow, callMs * times] as const, [fast, callMs] as const];
      for (const [name, paceMs] of paces) {
        const lease = await place(this, {}, name);
        lease.release({result: 'answered', paceMs});
      }
    }
  },
);

When(
  'target {string} starts again',
  function (this: DispatchWorld, name: string) {
    this.dispatcher.setTargets(
      this.names.map((known) => entry(this, known, known === name ? 2 : 1)),
    );
  },
);

Then(
  'a turn with prompt {string} goes to the same target',
  async function (this: DispatchWorld, prompt: string) {
    const lease = await place(this, {prompt: toPrompt(prompt)});
    assert.equal(lease.target.id, this.last.target.id);
  },
);

Then(
  'a turn with prompt {string} goes to target {string}',
  async function (this: DispatchWorld, prompt: string, name: string) {
    const lease = await place(this, {prompt: toPrompt(prompt)});
    assert.equal(lease.target.id, name);
  },
);

Then(
  'a turn with prompt {string} that continues {string} at {string} goes to target {string}',
  async function (
    this: DispatchWorld,
    prompt: string,
    earlier: string,
    at: string,
    name: string,
  ) {
    const seen = {target: toId<TargetId>(at), prompt: toPrompt(earlier)};
    const wish = {prompt: toPrompt(prompt), continues: seen};
    const lease = await place(this, wish);
    assert.equal(lease.target.id, name);
  },
);

Then(
  'they are placed in the order {string}',
  async function (this: DispatchWorld, order: string) {
    while (this.placedOrder.length < order.split(', ').length) {
      this.leases.shift()?.release({result: 'answered'});
      await this.clock.advance(1);
    }
    assert.deepEqual(this.placedOrder, order.split(', '));
  },
);

Then(
  'the next {int} requests go to target {string}',
  async function (this: DispatchWorld, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      const lease = await place(this, {prompt: []});
      assert.equal(lease.target.id, name);
      lease.release({result: 'cancelled'});
    }
  },
);

Then(
  'requests go to target {string} again',
  async function (this: DispatchWorld, name: string) {
    const lease = await place(this, {prompt: []});
    assert.equal(lease.target.id, name);
    lease.release({result: 'cancelled'});
  },
);

Then('a request is still placed', async function (this: DispatchWorld) {
  assert.ok(await place(this, {}));
});

Then(
  'a turn with {int} ms left is turned away at once, with a time to come back',
  async function (this: DispatchWorld, leftMs: number) {
    const startMs = this.clock.nowMs();
    const giveUpAtMs = startMs + leftMs;
    const finishByMs = startMs + farMs;
    await assert.rejects(place(this, {giveUpAtMs, finishByMs}), (error) => {
      assert.ok(isErrorOfKind(error, 'overloaded'));
      assert.ok((error.retryAfterMs ?? 0) > 0);
      return true;
    });
    assert.equal(this.clock.nowMs(), startMs);
  },
);

Then(
  'a turn with {int} ms left waits',
  async function (this: DispatchWorld, leftMs: number) {
    const before = this.dispatcher.waitingCount;
    const giveUpAtMs = this.clock.nowMs() + leftMs;
    void place(this, {giveUpAtMs, finishByMs: this.clock.nowMs() + farMs});
    await this.clock.advance(0);
    assert.equal(this.dispatcher.waitingCount, before + 1);
  },
);

Then('no turn waits', function (this: DispatchWorld) {
  assert.equal(this.dispatcher.waitingCount, 0);
});

Then(
  'the dispatcher expects nothing of its cache',
  function (this: DispatchWorld) {
    const [state] = [...this.dispatcher.getTargets()].filter(
      (target) => target.entry.id === 'a',
    );
    const prompt = toPrompt('shared:8000,line1:500');
    assert.equal(state?.cache.getCachedTokens(prompt), 0);
    assert.equal(state.inFlight, 0);
  },
);

When(
  '{int} daemons that see {int} equal targets place one turn each',
  async function (this: DispatchWorld, daemons: number, targets: number) {
    this.turnsByTarget = new Map();
    for (let number = 0; number < daemons; number++) {
      const daemonSeed = getHashNumber(`daemon ${number}`);
      const dispatcher = createDispatcher(this, 'here', daemonSeed);
      const names = Array.from({length: targets}, (_, index) => `t${index}`);
      dispatcher.setTargets(
        names.map((name) => ({
          ...entry(this, name, 1),
          dataCentre: toId<DataCentreId>('here'),
        })),
      );
      const {signal} = new AbortController();
      const lease = await dispatcher.acquire(createRequest(this, {}), signal);
      const {id} = lease.target;
      this.turnsByTarget.set(id, (this.turnsByTarget.get(id) ?? 0) + 1);
    }
  },
);

Then(
  'no target has more than {int} of the turns',
  function (this: DispatchWorld, most: number) {
    const counts = [...this.turnsByTarget.values()];
    assert.ok(Math.max(...counts) <= most, counts.join(', '));
  },
);

function createDispatcher(
  {clock, slots}: DispatchWorld,
  near: string,
  seed: number,
): ServiceDispatcher {
  return ServiceDispatcher.create({
    service: {
      id: toId<ServiceId>('service'),
      maxConnections: 100,
      engine: {slots, cacheTokens: 200_000, tokensPerEvent: 10},
    },
    dataCentre: toId<DataCentreId>(near),
    clock,
    random: SeededRandom.create(seed),
  });
}

function entry(
  {slots}: DispatchWorld,
  name: string,
  startedAtMs: number,
): TargetEntry {
  return {
    id: toId<TargetId>(name),
    service: toId<ServiceId>('service'),
    address: {host: '10.0.0.1', port: name.charCodeAt(0)},
    dataCentre: toId<DataCentreId>(name),
    slots,
    isDraining: false,
    startedAtMs,
  };
}

function createRequest(
  {clock}: DispatchWorld,
  wish: Partial<DispatchRequest>,
): DispatchRequest {
  const nowMs = clock.nowMs();
  return {
    prompt: toPrompt('shared:300,line1:100'),
    priority: 1,
    finishByMs: nowMs + farMs,
    giveUpAtMs: nowMs + farMs,
    excluded: new Set(),
    continues: undefined,
    kind: 'turn',
    ...wish,
  };
}

function place(
  world: DispatchWorld,
  wish: Partial<DispatchRequest>,
  only?: string,
): Promise<TargetLease> {
  const others = world.names.filter((name) => name !== only);
  const excluded = new Set(
    only === undefined ? [] : others.map((name) => toId<TargetId>(name)),
  );
  const request = createRequest(world, {...wish, excluded});
  const placed = world.dispatcher.acquire(
    request,
    new AbortController().signal,
  );
  // A step that expects a failure looks at it for itself.
  placed.catch(() => undefined);
  return placed;
}

async function finishAt(
  world: DispatchWorld,
  name: string,
  result: TargetResult,
): Promise<void> {
  const lease = await place(world, {}, name);
  lease.release({result});
}

function toPrompt(text: string): PromptPart[] {
  return text.split(',').map((part) => {
    const [id = '', tokens] = part.split(':');
    return {id: toId<PromptPartId>(id), tokens: Number(tokens)};
  });
}
