/** Step definitions for targets that get requests and send nothing. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {acquireLease, type DispatchWorld} from './dispatch_world.js';

/** Interval at which requests of a steady load come. */
const requestIntervalMs = 50;
/** Time that an attempt of the load may take. */
const attemptTimeoutMs = 400;
/** Time in which a sound target responds. */
const responseMs = 20;

When(
  '{int} requests at a time to target {string} get no response within {int} ms',
  async function (
    this: DispatchWorld,
    count: number,
    name: string,
    silentMs: number,
  ) {
    const leases = await Promise.all(
      Array.from({length: count}, () => acquireLease(this, {}, name)),
    );
    await this.clock.advance(silentMs);
    for (const lease of leases) lease.release({result: 'silent'});
  },
);

Given(
  'target {string} responds to nothing while requests come for {int} ms',
  async function (this: DispatchWorld, silent: string, durationMs: number) {
    const {clock} = this;
    const endMs = clock.nowMs() + durationMs;
    while (clock.nowMs() < endMs) {
      const lease = await acquireLease(this, {prompt: []});
      const {id} = lease.target;
      this.turnsByTarget.set(id, (this.turnsByTarget.get(id) ?? 0) + 1);
      const isSilent = id === silent;
      const takenMs = isSilent ? attemptTimeoutMs : responseMs;
      clock.setTimer(takenMs, () => {
        lease.release({result: isSilent ? 'silent' : 'answered'});
      });
      await clock.advance(requestIntervalMs);
    }
  },
);

Then('no target has been ejected', function (this: DispatchWorld) {
  assert.deepEqual(this.ejected, []);
});

Then(
  'target {string} has been ejected {int} times',
  function (this: DispatchWorld, name: string, times: number) {
    const count = this.ejected.filter((id) => id === name).length;
    assert.equal(count, times);
  },
);

Then(
  'target {string} has received at most {int} requests',
  function (this: DispatchWorld, name: string, most: number) {
    const counts = new Map<string, number>(this.turnsByTarget);
    const count = counts.get(name) ?? 0;
    assert.ok(count <= most, `${count} requests`);
  },
);
