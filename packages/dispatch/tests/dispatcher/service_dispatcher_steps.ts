/** Step definitions for the service dispatcher. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  type DataCentreId,
  getHashNumber,
  isErrorOfKind,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  acquireLease,
  completeRequest,
  createDispatcher,
  createEntry,
  createRequest,
  type DispatchWorld,
  farFutureMs,
  toPrompt,
} from './dispatch_world.js';

const callMs = 20;

Given(
  "a service with targets {string} of {int} slots each, {string} in the daemon's data centre",
  function (this: DispatchWorld, names: string, slots: number, near: string) {
    this.clock = VirtualClock.create();
    this.targetNames = names.split(', ');
    this.slots = slots;
    this.leases = [];
    this.rejectedCount = 0;
    this.ejected = [];
    this.turnsByTarget = new Map();
    this.dispatcher = createDispatcher(this, near, 1);
    this.dispatcher.setTargets(
      this.targetNames.map((name) => createEntry(this, name, 1)),
    );
  },
);

Given(
  'target {string} has processed prompt {string}',
  async function (this: DispatchWorld, name: string, prompt: string) {
    const lease = await acquireLease(this, {prompt: toPrompt(prompt)}, name);
    lease.release({result: 'answered'});
  },
);

Given(
  'each request takes {int} ms',
  async function (this: DispatchWorld, durationMs: number) {
    for (let index = 0; index < 3; index++) {
      const lease = await acquireLease(this, {});
      await this.clock.advance(durationMs);
      lease.release({result: 'answered'});
    }
  },
);

When(
  'a turn with prompt {string} is dispatched',
  async function (this: DispatchWorld, prompt: string) {
    this.lastLease = await acquireLease(this, {prompt: toPrompt(prompt)});
  },
);

When('the turn completes', function (this: DispatchWorld) {
  this.lastLease.release({result: 'answered'});
});

When(
  '{int} turns with other prompts of {int} tokens are dispatched and complete',
  async function (this: DispatchWorld, count: number, tokens: number) {
    for (let index = 0; index < count; index++) {
      const prompt = toPrompt(`other${index}:${tokens}`);
      const lease = await acquireLease(this, {prompt});
      lease.release({result: 'answered'});
    }
  },
);

When(
  '{int} turns with prompt {string} are dispatched',
  async function (this: DispatchWorld, count: number, prompt: string) {
    for (let index = 0; index < count; index++) {
      this.leases.push(await acquireLease(this, {prompt: toPrompt(prompt)}));
    }
  },
);

When(/^turns wait: (.*)$/, async function (this: DispatchWorld, list: string) {
  this.leaseOrder = [];
  const pattern = /"(\w+)"(?: of priority (\d))? due in (-?\d+) ms/g;
  for (const [, name = '', priority = '1', dueMs] of list.matchAll(pattern)) {
    const finishByMs = this.clock.nowMs() + Number(dueMs);
    const fields = {finishByMs, priority: Number(priority)};
    void acquireLease(this, fields).then((lease) => {
      this.leaseOrder.push(name);
      this.leases.push(lease);
    });
  }
  await this.clock.advance(0);
});

When(
  '{int} turns are queued',
  async function (this: DispatchWorld, count: number) {
    for (let index = 0; index < count; index++) {
      void acquireLease(this, {finishByMs: this.clock.nowMs() + index});
    }
    await this.clock.advance(0);
  },
);

When(
  'a queued turn is aborted by its client',
  async function (this: DispatchWorld) {
    const controller = new AbortController();
    const request = createRequest(this, {});
    const pendingLease = this.dispatcher.acquire(request, controller.signal);
    await this.clock.advance(10);
    assert.equal(this.dispatcher.waitingCount, 1);
    controller.abort();
    await assert.rejects(pendingLease);
  },
);

When(
  /^a request to target "(\w)" (cannot connect|is answered)$/,
  async function (this: DispatchWorld, name: string, outcome: string) {
    const result = outcome === 'is answered' ? 'answered' : 'unreachable';
    await completeRequest(this, name, result);
  },
);

When(
  '{int} requests to target {string} fail',
  async function (this: DispatchWorld, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      await completeRequest(this, name, 'broken');
    }
  },
);

When(
  '{int} ms pass on the clock of the dispatcher',
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
      const latencySamples = [
        [slow, callMs * times] as const,
        [fast, callMs] as const,
      ];
      for (const [name, latencySampleMs] of latencySamples) {
        const lease = await acquireLease(this, {}, name);
        lease.release({result: 'answered', latencySampleMs});
      }
    }
  },
);

When(
  'a turn is sent by a client that has left',
  async function (this: DispatchWorld) {
    const request = createRequest(this, {});
    const acquired = this.dispatcher.acquire(request, AbortSignal.abort());
    acquired.catch(() => undefined);
    await this.clock.advance(0);
  },
);

When(
  'the listed targets become {string}',
  function (this: DispatchWorld, names: string) {
    const left = names.split(',').filter((name) => name !== '');
    const entries = left.map((name) => createEntry(this, name, 1));
    this.dispatcher.setTargets(entries);
  },
);

When('target {string} restarts', function (this: DispatchWorld, name: string) {
  this.dispatcher.setTargets(
    this.targetNames.map((known) =>
      createEntry(this, known, known === name ? 2 : 1),
    ),
  );
});

Then(
  'a turn with prompt {string} is dispatched to the same target',
  async function (this: DispatchWorld, prompt: string) {
    const lease = await acquireLease(this, {prompt: toPrompt(prompt)});
    assert.equal(lease.target.id, this.lastLease.target.id);
  },
);

Then(
  'a turn with prompt {string} is dispatched to target {string}',
  async function (this: DispatchWorld, prompt: string, name: string) {
    const lease = await acquireLease(this, {prompt: toPrompt(prompt)});
    assert.equal(lease.target.id, name);
  },
);

Then(
  'a turn with prompt {string} that extends {string} at {string} is dispatched to target {string}',
  async function (
    this: DispatchWorld,
    prompt: string,
    earlier: string,
    at: string,
    name: string,
  ) {
    const processed = {target: toId<TargetId>(at), prompt: toPrompt(earlier)};
    const fields = {prompt: toPrompt(prompt), previousPrompt: processed};
    const lease = await acquireLease(this, fields);
    assert.equal(lease.target.id, name);
  },
);

Then(
  'the queued turns are dispatched in the order {string}',
  async function (this: DispatchWorld, order: string) {
    while (this.leaseOrder.length < order.split(', ').length) {
      this.leases.shift()?.release({result: 'answered'});
      await this.clock.advance(1);
    }
    assert.deepEqual(this.leaseOrder, order.split(', '));
  },
);

Then(
  'the next {int} requests are dispatched to target {string}',
  async function (this: DispatchWorld, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      const lease = await acquireLease(this, {prompt: []});
      assert.equal(lease.target.id, name);
      lease.release({result: 'cancelled'});
    }
  },
);

Then(
  'requests are dispatched to target {string} again',
  async function (this: DispatchWorld, name: string) {
    const lease = await acquireLease(this, {prompt: []});
    assert.equal(lease.target.id, name);
    lease.release({result: 'cancelled'});
  },
);

Then('a request is still dispatched', async function (this: DispatchWorld) {
  assert.ok(await acquireLease(this, {}));
});

Then(
  'a turn with a deadline in {int} ms is rejected at once, with a retry time',
  async function (this: DispatchWorld, leftMs: number) {
    const startMs = this.clock.nowMs();
    const deadlineMs = startMs + leftMs;
    const finishByMs = startMs + farFutureMs;
    await assert.rejects(
      acquireLease(this, {deadlineMs, finishByMs}),
      (error) => {
        assert.ok(isErrorOfKind(error, 'overloaded'));
        assert.ok((error.retryAfterMs ?? 0) > 0);
        return true;
      },
    );
    assert.equal(this.clock.nowMs(), startMs);
  },
);

Then(
  'a turn with a deadline in {int} ms is queued',
  async function (this: DispatchWorld, leftMs: number) {
    const before = this.dispatcher.waitingCount;
    const deadlineMs = this.clock.nowMs() + leftMs;
    void acquireLease(this, {
      deadlineMs,
      finishByMs: this.clock.nowMs() + farFutureMs,
    });
    await this.clock.advance(0);
    assert.equal(this.dispatcher.waitingCount, before + 1);
  },
);

Then('no turn is queued', function (this: DispatchWorld) {
  assert.equal(this.dispatcher.waitingCount, 0);
});

Then(
  'the dispatcher assumes no load and an empty cache at target "a"',
  function (this: DispatchWorld) {
    const [state] = [...this.dispatcher.getTargets()].filter(
      (target) => target.entry.id === 'a',
    );
    const prompt = toPrompt('shared:8000,line1:500');
    assert.equal(state?.promptCache.getCachedTokens(prompt), 0);
    assert.equal(state.inFlight, 0);
  },
);

When(
  '{int} daemons that see {int} equal targets dispatch one turn each',
  async function (this: DispatchWorld, daemons: number, targets: number) {
    this.turnsByTarget = new Map();
    for (let number = 0; number < daemons; number++) {
      const daemonSeed = getHashNumber(`daemon ${number}`);
      const dispatcher = createDispatcher(this, 'here', daemonSeed);
      const names = Array.from({length: targets}, (_, index) => `t${index}`);
      dispatcher.setTargets(
        names.map((name) => ({
          ...createEntry(this, name, 1),
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
  'no target receives more than {int} of the turns',
  function (this: DispatchWorld, most: number) {
    const counts = [...this.turnsByTarget.values()];
    assert.ok(Math.max(...counts) <= most, counts.join(', '));
  },
);
