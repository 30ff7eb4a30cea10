/** Steps for dispatch to targets that are leaving. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import {
  acquireLease,
  createEntry,
  type DispatchWorld,
} from './dispatch_world.js';

When(
  'target {string} states that it is leaving',
  function (this: DispatchWorld, name: string) {
    this.limits.recordResponse(createEntry(this, name, 1), {
      limitPerS: undefined,
      isLeaving: true,
      sentAtMs: this.clock.nowMs(),
      isSigned: true,
    });
  },
);

When(
  'a turn at target {string} completes',
  function (this: DispatchWorld, name: string) {
    const index = this.leases.findIndex(({target}) => target.id === name);
    const [lease] = this.leases.splice(index, 1);
    lease?.release({result: 'answered'});
  },
);

Then(
  'a request with a lease on target {string} may {word} be sent',
  function (this: DispatchWorld, name: string, when: string) {
    const entry = createEntry(this, name, 1);
    const isAllowed = this.dispatcher.mayReceive(entry, new Set());
    assert.equal(isAllowed, when === 'still');
  },
);

Then(
  '{int} turns are still queued',
  function (this: DispatchWorld, count: number) {
    assert.equal(this.dispatcher.waitingCount, count);
  },
);

Then(
  '{int} queued turns have been rejected for lack of a target',
  async function (this: DispatchWorld, count: number) {
    await this.clock.advance(0);
    assert.equal(this.rejectedCount, count);
  },
);

Then(
  'a turn is rejected at once for lack of a target, with a retry time',
  async function (this: DispatchWorld) {
    await assert.rejects(acquireLease(this, {}), (error) => {
      assert.ok(isErrorOfKind(error, 'no_target'));
      assert.ok((error.retryAfterMs ?? 0) > 0);
      return true;
    });
  },
);
