/** Steps for the system clock. */
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {Then, When, type World} from '@cucumber/cucumber';
import {SystemClock, type Timer} from '@marigoldpost/common';

interface ClockWorld extends World {
  timer: Timer;
  hasFired: boolean;
}

When(
  /^a timer of (\S+) ms is set on the system clock$/,
  function (this: ClockWorld, delay: string) {
    this.hasFired = false;
    this.timer = SystemClock.create().setTimer(Number(delay), () => {
      this.hasFired = true;
    });
  },
);

Then(
  'it has not fired after {int} ms',
  async function (this: ClockWorld, waitMs: number) {
    await pause(waitMs);
    this.timer.cancel();
    assert.equal(this.hasFired, false);
  },
);
