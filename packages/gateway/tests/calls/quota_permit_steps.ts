/** Step definitions for places of calls in quotas. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  Deferred,
  MarigoldpostError,
  type TenantId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  type CallServices,
  type IncomingCall,
  type QuotaDecision,
  QuotaPermit,
} from '@marigoldpost/gateway';
import {Metrics} from '@marigoldpost/telemetry';

interface PermitWorld extends World {
  call: {endReason: string | undefined; mayHaveRun: boolean};
  controller: AbortController;
  decided: Deferred<QuotaDecision>;
  permit: QuotaPermit;
  failure: unknown;
  returned: number;
}

Given(
  'a call of a tenant whose quota is being decided',
  function (this: PermitWorld) {
    this.controller = new AbortController();
    this.decided = Deferred.create<QuotaDecision>();
    this.returned = 0;
    const tenant = {
      name: toId<TenantId>('first'),
      quota: {ratePerS: 1, burst: 1},
    };
    const call = {
      tenant,
      config: {version: 1},
      signal: this.controller.signal,
      logger: {log: () => undefined},
      endReason: undefined,
      mayHaveRun: false,
    };
    const services = {
      clock: VirtualClock.create(),
      metrics: Metrics.create(),
      quotas: {
        take: () => this.decided.promise,
        giveBack: () => {
          this.returned += 1;
        },
      },
    };
    this.call = call;
    this.permit = QuotaPermit.create(
      call as unknown as IncomingCall,
      services as unknown as CallServices,
    );
    this.permit.take().catch((error: unknown) => {
      this.failure = error;
      this.permit.release();
    });
  },
);

When(
  'the call ends because of {string}',
  async function (this: PermitWorld, reason: string) {
    this.call.endReason = reason;
    this.controller.abort();
    await settle();
  },
);

When(
  'the decision is {string}',
  async function (this: PermitWorld, result: QuotaDecision['result']) {
    this.decided.resolve({
      result,
      holder: undefined,
      counted: 0,
      countAgeMs: 0,
      retryAfterMs: 0,
    });
    await settle();
  },
);

When(
  /^the call that (has not|may have) run ends$/,
  function (this: PermitWorld, state: string) {
    this.call.mayHaveRun = state === 'may have';
    this.permit.release();
    this.permit.release();
  },
);

Then(
  'the call fails with {string} before the decision',
  function (this: PermitWorld, kind: string) {
    const {failure} = this;
    assert.ok(failure instanceof MarigoldpostError, 'the call still waits');
    assert.equal(failure.kind, kind);
  },
);

Then('{int} places are returned', function (this: PermitWorld, count: number) {
  assert.equal(this.returned, count);
});

/** Waits until the continuations of all settled promises have run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
