/** Steps for the virtual clock. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type Timer, VirtualClock} from '@marigoldpost/common';

interface ClockWorld extends World {
  clock: VirtualClock;
  timers: Timer[];
  firedMs: number[];
}

Given(
  'a virtual clock with timers due at {word} ms',
  function (this: ClockWorld, delays: string) {
    this.clock = VirtualClock.create();
    this.firedMs = [];
    this.timers = delays.split(',').map((text) => {
      const delayMs = Number(text);
      return this.clock.setTimer(delayMs, () => this.firedMs.push(delayMs));
    });
  },
);

When(
  'the virtual clock advances by {int} ms',
  async function (this: ClockWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

When(
  'the first timer of the virtual clock is cancelled',
  function (this: ClockWorld) {
    this.timers[0]?.cancel();
  },
);

Then(
  'the virtual clock has fired {word}',
  function (this: ClockWorld, expected: string) {
    assert.equal(this.firedMs.join(',') || 'none', expected);
  },
);
