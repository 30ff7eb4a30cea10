/** Step definitions for the policy scheduler. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  type CallId,
  isErrorOfKind,
  type ProgramId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  AttainedServiceOrder,
  type CacheAction,
  type Dispatch,
  type SchedulerTarget,
  type WaitingCall,
} from '@marigoldpost/scheduler';
import type {CallClass} from '@marigoldpost/settings';
import fc from 'fast-check';
import {
  createCall,
  createHashes,
  createLoad,
  createScheduler,
  createTarget,
  finishCall,
  type SchedulerWorld,
} from './scheduler_fixtures.js';

const propertySeed = 20261204;
interface Step {
  readonly kind: 'add' | 'finish' | 'remove' | 'report' | 'end';
  readonly gapMs: number;
  readonly program: number;
  readonly waiting: number;
}

const traffic = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom('add', 'add', 'finish', 'remove', 'report', 'end'),
    gapMs: fc.integer({min: 0, max: 500}),
    program: fc.integer({min: 0, max: 5}),
    waiting: fc.integer({min: 0, max: 2}),
  }),
  {maxLength: 80},
);

interface ReplayResult {
  readonly decisions: readonly Dispatch[];
  readonly actions: readonly CacheAction[];
  readonly mostInFlight: number;
  readonly added: number;
  readonly left: number;
}

const maxWindow = 3;

function replayTraffic(steps: readonly Step[]): ReplayResult {
  const clock = VirtualClock.create();
  const window = {initial: 2, max: maxWindow};
  const scheduler = createScheduler(clock, {window});
  scheduler.setTargets([createTarget('a'), createTarget('b')]);
  const decisions: Dispatch[] = [];
  const actions: CacheAction[] = [];
  const inFlight = new Map<CallId, TargetId>();
  let mostInFlight = 0;
  let added = 0;
  for (const step of steps) {
    clock.skip(step.gapMs);
    const oldest = inFlight.keys().next().value;
    if (step.kind === 'add') {
      const program = toId<ProgramId>(`dc.0.p${step.program}`);
      const blockHashes = createHashes(program);
      const call = createCall(`c${added}`, {program, blockHashes});
      scheduler.addCall(call);
      added += 1;
    } else if (step.kind === 'report') {
      const load = createLoad({waiting: step.waiting});
      scheduler.updateLoad(toId<TargetId>('a'), load);
    } else if (step.kind === 'end') {
      scheduler.recordProgramEnd(toId<ProgramId>(`dc.0.p${step.program}`));
    } else if (oldest !== undefined) {
      if (step.kind === 'finish') finishCall(scheduler, oldest);
      else scheduler.removeCall(oldest);
      inFlight.delete(oldest);
    }
    for (const dispatch of scheduler.takeDispatches()) {
      assert.ok(!decisions.some(({callId}) => callId === dispatch.callId));
      decisions.push(dispatch);
      inFlight.set(dispatch.callId, dispatch.target);
    }
    actions.push(...scheduler.takeCacheActions());
    const onA = [...inFlight.values()].filter((target) => target === 'a');
    const most = Math.max(onA.length, inFlight.size - onA.length);
    mostInFlight = Math.max(mostInFlight, most);
  }
  const left = scheduler.getQueueLength();
  return {decisions, actions, mostInFlight, added, left};
}

Then(
  'for any traffic the scheduler respects each window and dispatches each call once',
  function () {
    const property = fc.property(traffic, (steps) => {
      const replay = replayTraffic(steps);
      assert.ok(replay.mostInFlight <= maxWindow);
      assert.equal(replay.decisions.length + replay.left, replay.added);
    });
    fc.assert(property, {seed: propertySeed});
  },
);

Then(
  'for any traffic a second scheduler makes the same decisions',
  function () {
    const property = fc.property(traffic, (steps) => {
      assert.deepEqual(replayTraffic(steps), replayTraffic(steps));
    });
    fc.assert(property, {seed: propertySeed});
  },
);

Then(
  'for any attained service and class no call is overtaken beyond its bound',
  function () {
    const classes = fc.constantFrom<CallClass>('immediate', 'normal', 'batch');
    const sample = fc.record({
      tokens: fc.integer({min: 0, max: 1_000_000}),
      callClass: classes,
      lateMs: fc.integer({min: 0, max: 1_000_000}),
    });
    const property = fc.property(sample, sample, (early, late) => {
      const order = AttainedServiceOrder.create();
      const ranks = [early, late].map(({tokens, callClass}, index) => {
        const call = createCall(`c${index}`, {callClass});
        const usage = {promptTokens: 0, cachedTokens: 0};
        order.recordUsage(call, {...usage, completionTokens: tokens});
        return order.getRank(call, index === 0 ? 0 : late.lateMs);
      });
      const [earlyRank = 0, lateRank = 0] = ranks;
      if (lateRank >= earlyRank) return;
      const boundMs = order.getMaxOvertakingMs(early.callClass);
      assert.ok(late.lateMs <= boundMs);
    });
    fc.assert(property, {seed: propertySeed});
  },
);

Given(
  'a scheduler with targets "a" and "b" where "a" {}',
  function (this: SchedulerWorld, state: string) {
    this.clock = VirtualClock.create();
    this.scheduler = createScheduler(this.clock);
    const fields: Record<string, Partial<SchedulerTarget>> = {
      'is closed': {isOpen: false},
      'lacks a model': {models: []},
    };
    const first = createTarget('a', fields[state]);
    if (state === 'runs a call' || state === 'holds a prefix') {
      this.scheduler.setTargets([first]);
      const blockHashes = createHashes('p');
      const call = createCall('earlier', {blockHashes});
      this.scheduler.addCall(call);
      this.scheduler.takeDispatches();
      if (state === 'holds a prefix') finishCall(this.scheduler, call.callId);
    }
    this.scheduler.setTargets([first, createTarget('b')]);
  },
);

When(
  'a call {} is added to the scheduler',
  function (this: SchedulerWorld, kind: string) {
    const fields: Record<string, Partial<WaitingCall>> = {
      'that excludes "b"': {excludedTargets: new Set([toId<TargetId>('b')])},
      'that must run alone': {isExclusive: true},
      'that repeats that prefix': {blockHashes: createHashes('p')},
    };
    this.scheduler.addCall(createCall('call', fields[kind]));
    this.dispatches = this.scheduler.takeDispatches();
  },
);

Then(
  'the scheduler dispatches the call to {word}',
  function (this: SchedulerWorld, target: string) {
    const [dispatch] = this.dispatches;
    assert.equal(dispatch?.target ?? 'nowhere', target);
  },
);

Given(
  'a scheduler with one target that runs a call that must run alone',
  function (this: SchedulerWorld) {
    this.clock = VirtualClock.create();
    this.scheduler = createScheduler(this.clock);
    this.scheduler.setTargets([createTarget('a')]);
    this.scheduler.addCall(createCall('lone', {isExclusive: true}));
    assert.equal(this.scheduler.takeDispatches().length, 1);
  },
);

When(
  'an ordinary call is added to that scheduler',
  function (this: SchedulerWorld) {
    this.scheduler.addCall(createCall('ordinary'));
  },
);

Then(
  'the ordinary call waits until the exclusive call has finished',
  function (this: SchedulerWorld) {
    assert.equal(this.scheduler.takeDispatches().length, 0);
    finishCall(this.scheduler, toId<CallId>('lone'));
    assert.equal(this.scheduler.takeDispatches()[0]?.callId, 'ordinary');
  },
);

function createFullScheduler(world: SchedulerWorld): void {
  world.clock = VirtualClock.create();
  const window = {initial: 1, max: 1};
  world.scheduler = createScheduler(world.clock, {window});
  world.scheduler.setTargets([createTarget('a')]);
}

Given(
  'a scheduler with a full window and {int} queued batch calls',
  function (this: SchedulerWorld, count: number) {
    createFullScheduler(this);
    for (let index = 0; index < count; index += 1) {
      const callClass = 'batch';
      this.scheduler.addCall(
        createCall(`b${index}`, {callClass, turnIndex: 1}),
      );
    }
    this.scheduler.takeDispatches();
  },
);

When(
  'an immediate call is added and the window gets room',
  function (this: SchedulerWorld) {
    this.clock.skip(1_000);
    const fields = {callClass: 'immediate', turnIndex: 1} as const;
    this.scheduler.addCall(createCall('now', fields));
    finishCall(this.scheduler, toId<CallId>('b0'));
  },
);

Then(
  'the scheduler dispatches the immediate call first',
  function (this: SchedulerWorld) {
    assert.equal(this.scheduler.takeDispatches()[0]?.callId, 'now');
  },
);

Given(
  'a scheduler with a full window and a program with much attained service',
  function (this: SchedulerWorld) {
    createFullScheduler(this);
    const program = toId<ProgramId>('dc.0.long');
    this.scheduler.addCall(createCall('first', {program}));
    this.scheduler.takeDispatches();
    finishCall(this.scheduler, toId<CallId>('first'), 3_000);
    this.scheduler.addCall(createCall('blocker'));
    this.scheduler.takeDispatches();
  },
);

When(
  'a call of that program is queued before a call of a new program',
  function (this: SchedulerWorld) {
    const program = toId<ProgramId>('dc.0.long');
    this.scheduler.addCall(createCall('second', {program}));
    this.clock.skip(1_000);
    this.scheduler.addCall(createCall('new'));
    finishCall(this.scheduler, toId<CallId>('blocker'));
  },
);

Then(
  'the scheduler dispatches the call of the new program first',
  function (this: SchedulerWorld) {
    assert.equal(this.scheduler.takeDispatches()[0]?.callId, 'new');
  },
);

Given(
  'a scheduler whose expected wait exceeds the maximum of a first call',
  function (this: SchedulerWorld) {
    createFullScheduler(this);
    for (let index = 0; index < 10; index += 1) {
      this.scheduler.addCall(createCall(`q${index}`, {turnIndex: 1}));
    }
  },
);

Then(
  'the scheduler rejects a first call as {string} and not run',
  function (this: SchedulerWorld, kind: 'overloaded') {
    assert.throws(
      () => this.scheduler.addCall(createCall('new')),
      (error: unknown) =>
        isErrorOfKind(error, kind) &&
        error.outcome === 'not_run' &&
        (error.retryAfterMs ?? 0) > 0,
    );
  },
);

Then(
  'the scheduler accepts a later call of a program',
  function (this: SchedulerWorld) {
    const before = this.scheduler.getQueueLength();
    this.scheduler.addCall(createCall('late', {turnIndex: 3}));
    assert.equal(this.scheduler.getQueueLength(), before + 1);
  },
);

Given(
  'a scheduler with plain targets "a" and "b"',
  function (this: SchedulerWorld) {
    this.clock = VirtualClock.create();
    this.scheduler = createScheduler(this.clock);
    const plain = {models: []};
    this.scheduler.setTargets([
      createTarget('a', plain),
      createTarget('b', plain),
    ]);
  },
);

When(
  '{int} plain calls are added to the scheduler',
  function (this: SchedulerWorld, count: number) {
    for (let index = 0; index < count; index += 1) {
      const fields = {model: undefined, promptTokens: 0};
      this.scheduler.addCall(createCall(`c${index}`, fields));
    }
    this.dispatches = this.scheduler.takeDispatches();
  },
);

Then(
  'targets "a" and "b" have {int} plain calls each',
  function (this: SchedulerWorld, count: number) {
    for (const target of ['a', 'b']) {
      const own = this.dispatches.filter((item) => item.target === target);
      assert.equal(own.length, count);
    }
  },
);
