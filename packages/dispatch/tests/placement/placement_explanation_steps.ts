/** Steps that explain placements and compare them with the decisions. */
import assert from 'node:assert/strict';
import {inspect} from 'node:util';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  type DispatchRequest,
  type ExplainedTarget,
  type PlacementExplanation,
  ServiceDispatcher,
  SharedLoads,
} from '@marigoldpost/dispatch';
import {
  acquireLease,
  completeRequest,
  createEntry,
  createRequest,
  type DispatchWorld,
  toPrompt,
} from '../dispatcher/dispatch_world.js';

interface ExplanationWorld extends DispatchWorld {
  request: DispatchRequest;
  explanation: PlacementExplanation;
  stateBefore: string;
  /** Creates the same dispatcher with another seed. */
  createFleetDispatcher: (seed: number) => ServiceDispatcher;
}

const startMs = 10_000;
/** Four standard deviations of the share of 400 draws are at most 0.1. */
const shareTolerance = 0.1;

/** Renders all state, that of the random source and the permits included. */
function renderState(dispatcher: ServiceDispatcher): string {
  const everything = {depth: null, maxArrayLength: null, maxStringLength: null};
  return inspect(dispatcher, everything);
}

function explain(world: ExplanationWorld, request: DispatchRequest): void {
  world.request = request;
  world.stateBefore = renderState(world.dispatcher);
  world.explanation = world.dispatcher.explain(request);
}

function getTarget(world: ExplanationWorld, name: string): ExplainedTarget {
  const target = world.explanation.targets.find(({id}) => id === name);
  assert.ok(target !== undefined);
  return target;
}

function send(dispatcher: ServiceDispatcher, request: DispatchRequest) {
  return dispatcher.acquire(request, new AbortController().signal);
}

Given(
  'target {string} has refused a connection',
  function (this: DispatchWorld, name: string) {
    return completeRequest(this, name, 'unreachable');
  },
);

Given(
  '{int} turns with prompt {string} are sent to target {string}',
  async function (
    this: DispatchWorld,
    count: number,
    prompt: string,
    name: string,
  ) {
    for (let index = 0; index < count; index++) {
      await acquireLease(this, {prompt: toPrompt(prompt)}, name);
    }
  },
);

Given(
  'target {string} states a limit of {int} requests a second',
  function (this: DispatchWorld, name: string, limitPerS: number) {
    this.limits.recordResponse(createEntry(this, name, 1), {
      limitPerS,
      isLeaving: false,
      sentAtMs: this.clock.nowMs(),
      isSigned: true,
    });
  },
);

Given(
  /^a fleet of (\d+) daemons, and targets "(.*)" with (.*) requests of others, reported (\d+) ms ago$/,
  async function (
    this: ExplanationWorld,
    daemons: string,
    names: string,
    requests: string,
    ageMs: string,
  ) {
    this.clock = VirtualClock.create();
    await this.clock.advance(startMs);
    this.slots = 8;
    this.targetNames = names.split(', ');
    const counts = requests.split(', ').map(Number);
    const dataCentre = createEntry(this, 'a', 1).dataCentre;
    const sharedLoads = SharedLoads.create();
    const loads = this.targetNames.map((name, index) => ({
      target: toId<TargetId>(name),
      requests: counts[index] ?? 0,
      workMs: (counts[index] ?? 0) * 200,
      latencySum: 0,
      latencyCount: 0,
    }));
    sharedLoads.record(dataCentre, loads, this.clock.nowMs() - Number(ageMs));
    this.createFleetDispatcher = (seed) => {
      const dispatcher = ServiceDispatcher.create({
        service: {
          id: toId<ServiceId>('service'),
          maxConnections: 100,
          engine: {slots: 8, cacheTokens: 200_000, tokensPerEvent: 10},
        },
        dataCentre,
        clock: this.clock,
        random: SeededRandom.create(seed),
        sharedLoads,
        getDaemonCount: () => Number(daemons),
      });
      dispatcher.setTargets(
        this.targetNames.map((name) => ({
          ...createEntry(this, name, 1),
          dataCentre,
        })),
      );
      return dispatcher;
    };
    this.dispatcher = this.createFleetDispatcher(1);
  },
);

When(
  'a turn with prompt {string} is explained',
  function (this: ExplanationWorld, prompt: string) {
    explain(this, createRequest(this, {prompt: toPrompt(prompt)}));
  },
);

When(
  'a turn without target {string} is explained',
  function (this: ExplanationWorld, name: string) {
    const excluded = new Set([toId<TargetId>(name)]);
    explain(this, createRequest(this, {excluded}));
  },
);

Then(
  'the state of the dispatcher is the same as before',
  function (this: ExplanationWorld) {
    assert.equal(renderState(this.dispatcher), this.stateBefore);
  },
);

Then(
  'the explanation names the target that the turn is then sent to, which is {string}',
  async function (this: ExplanationWorld, name: string) {
    const {chosen, outcome, isDrawn} = this.explanation;
    const lease = await send(this.dispatcher, this.request);
    assert.equal(lease.target.id, name);
    assert.equal(chosen, name);
    assert.equal(outcome, 'sent');
    assert.equal(isDrawn, false);
    assert.equal(getTarget(this, name).chosenShare, 1);
  },
);

Then(
  'target {string} is not used for the reason {string}',
  function (this: ExplanationWorld, name: string, reason: string) {
    const target = getTarget(this, name);
    assert.equal(target.unusable, reason);
    assert.equal(target.chosenShare, 0);
  },
);

Then(
  'target {string} is used although it is ejected',
  function (this: ExplanationWorld, name: string) {
    const target = getTarget(this, name);
    assert.equal(target.unusable, undefined);
    assert.ok(target.ignoresEjection);
  },
);

Then(
  'the explained turn would be {string} to {string}',
  function (this: ExplanationWorld, outcome: string, name: string) {
    assert.equal(this.explanation.outcome, outcome);
    assert.equal(this.explanation.chosen ?? 'nothing', name);
  },
);

Then('learned costs decide, without a draw', function (this: ExplanationWorld) {
  const {usesLearnedCosts, isDrawn} = this.explanation;
  assert.deepEqual(
    {usesLearnedCosts, isDrawn},
    {
      usesLearnedCosts: true,
      isDrawn: false,
    },
  );
});

Then('the own requests decide', function (this: ExplanationWorld) {
  assert.equal(this.explanation.usesLearnedCosts, false);
});

Then('no target has a report', function (this: ExplanationWorld) {
  for (const {others} of this.explanation.targets) {
    assert.equal(others, undefined);
  }
});

Then(
  'target {string} has {int} requests of others, reported {int} ms ago',
  function (
    this: ExplanationWorld,
    name: string,
    requests: number,
    ageMs: number,
  ) {
    const {others} = getTarget(this, name);
    assert.equal(others?.requests, requests);
    assert.equal(others.ageMs, ageMs);
  },
);

Then(
  'the probabilities of the targets match {int} turns that are sent',
  async function (this: ExplanationWorld, count: number) {
    const {targets, isDrawn} = this.explanation;
    assert.ok(isDrawn);
    const sent = new Map<TargetId, number>();
    for (let seed = 1; seed <= count; seed++) {
      const dispatcher = this.createFleetDispatcher(seed);
      const {target} = await send(dispatcher, this.request);
      sent.set(target.id, (sent.get(target.id) ?? 0) + 1);
    }
    for (const {id, chosenShare} of targets) {
      const share = (sent.get(id) ?? 0) / count;
      const difference = Math.abs(share - chosenShare);
      const message = `${id}: told ${chosenShare}, sent ${share}`;
      assert.ok(difference <= shareTolerance, message);
    }
    const total = targets.reduce((sum, {chosenShare: share}) => sum + share, 0);
    assert.ok(Math.abs(total - 1) < 1e-9, `sum ${total}`);
  },
);
