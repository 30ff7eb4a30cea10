/** Step definitions for the window of a target. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TargetId, toId, VirtualClock} from '@marigoldpost/common';
import {
  createCall,
  createLoad,
  createScheduler,
  createTarget,
  type SchedulerWorld,
} from '../policy/scheduler_fixtures.js';

interface WindowWorld extends SchedulerWorld {
  inFlight: number;
}

Given(
  'a scheduler whose one target has a window of {int} and {int} queued calls',
  function (this: WindowWorld, initial: number, queued: number) {
    this.clock = VirtualClock.create();
    const window = {initial, max: 10};
    this.scheduler = createScheduler(this.clock, {window});
    this.scheduler.setTargets([createTarget('a')]);
    for (let index = 0; index < queued + initial; index += 1) {
      this.scheduler.addCall(createCall(`c${index}`, {turnIndex: 1}));
    }
    this.inFlight = this.scheduler.takeDispatches().length;
    assert.equal(this.inFlight, initial);
  },
);

When(
  'that target reports {int} waiting calls {int} times',
  function (this: WindowWorld, waiting: number, times: number) {
    for (let index = 0; index < times; index += 1) {
      const load = createLoad({running: 4, waiting});
      this.scheduler.updateLoad(toId<TargetId>('a'), load);
      this.inFlight += this.scheduler.takeDispatches().length;
    }
  },
);

Then(
  'the scheduler has {int} calls in flight at that target',
  function (this: WindowWorld, expected: number) {
    assert.equal(this.inFlight, expected);
  },
);
