/** Step definitions for the cache holds of the scheduler. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  type CallId,
  type ProgramId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  createCall,
  createScheduler,
  createTarget,
  finishCall,
  runCall,
  type SchedulerWorld,
} from './scheduler_fixtures.js';

Given(
  'a scheduler that ran a program on two targets',
  function (this: SchedulerWorld) {
    this.clock = VirtualClock.create();
    this.scheduler = createScheduler(this.clock);
    this.scheduler.setTargets([createTarget('a'), createTarget('b')]);
    const program = toId<ProgramId>('dc.0.p');
    for (const target of ['a', 'b']) {
      const other = toId<TargetId>(target === 'a' ? 'b' : 'a');
      const excludedTargets = new Set([other]);
      runCall(this, createCall(target, {program, excludedTargets}));
    }
    finishCall(this.scheduler, toId<CallId>('a'));
    finishCall(this.scheduler, toId<CallId>('b'));
  },
);

When('that program ends', function (this: SchedulerWorld) {
  this.scheduler.recordProgramEnd(toId<ProgramId>('dc.0.p'));
});

Then(
  'the scheduler releases the program on each target exactly once',
  function (this: SchedulerWorld) {
    const actions = this.scheduler.takeCacheActions();
    const released = actions.map(({kind, target}) => `${kind} ${target}`);
    assert.deepEqual(released.sort(), ['release a', 'release b']);
    this.clock.skip(10_000_000);
    assert.deepEqual(this.scheduler.takeCacheActions(), []);
    assert.equal(this.scheduler.getNextWakeMs(), undefined);
  },
);

Given(
  'a scheduler with cache weight {float} that observed pauses of 10 s',
  function (this: SchedulerWorld, cacheWeight: number) {
    this.clock = VirtualClock.create();
    this.scheduler = createScheduler(this.clock, {cacheWeight});
    this.scheduler.setTargets([createTarget('a')]);
    for (let index = 0; index < 200; index += 1) {
      const program = toId<ProgramId>(`dc.0.p${index % 4}`);
      runCall(this, createCall(`c${index}`, {program}));
      finishCall(this.scheduler, toId<CallId>(`c${index}`));
      this.scheduler.takeCacheActions();
      this.clock.skip(2_500);
    }
  },
);

When('a program pauses', function (this: SchedulerWorld) {
  this.clock.skip(1_000_000_000);
  this.scheduler.takeCacheActions();
  runCall(this, createCall('last'));
  finishCall(this.scheduler, toId<CallId>('last'));
  this.pausedAtMs = this.clock.nowMs();
});

Then(
  'the scheduler releases its cache after {int} to {int} s',
  function (this: SchedulerWorld, leastS: number, mostS: number) {
    const dueMs = this.scheduler.getNextWakeMs() ?? Infinity;
    const afterMs = dueMs - this.pausedAtMs;
    assert.ok(afterMs >= leastS * 1_000, `${afterMs}`);
    assert.ok(afterMs <= mostS * 1_000, `${afterMs}`);
    this.clock.skip(Math.ceil(afterMs));
    const actions = this.scheduler.takeCacheActions();
    assert.deepEqual(
      actions.map(({kind, program}) => `${kind} ${program}`),
      ['release dc.0.last'],
    );
  },
);

Given(
  'a scheduler that ran a program on one of two targets',
  function (this: SchedulerWorld) {
    this.clock = VirtualClock.create();
    this.scheduler = createScheduler(this.clock);
    this.scheduler.setTargets([createTarget('a')]);
    runCall(this, createCall('p'));
    finishCall(this.scheduler, toId<CallId>('p'));
    this.scheduler.setTargets([createTarget('a'), createTarget('b')]);
  },
);

When('that target closes', function (this: SchedulerWorld) {
  const closed = createTarget('a', {isOpen: false});
  this.scheduler.setTargets([closed, createTarget('b')]);
});

Then(
  "the scheduler moves the program's cache to the other target",
  function (this: SchedulerWorld) {
    const [action, ...others] = this.scheduler.takeCacheActions();
    assert.deepEqual(action, {
      kind: 'move',
      program: 'dc.0.p',
      target: 'a',
      destination: 'b',
    });
    assert.deepEqual(others, []);
  },
);
