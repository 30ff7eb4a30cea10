/** Steps for the knowledge of targets' rate limits. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {TargetLimits} from '@marigoldpost/dispatch';

interface LimitsWorld extends World {
  clock: VirtualClock;
  limits: TargetLimits;
}

const target = toId<TargetId>('a');
const startedAtMs = 1;
const entry = {
  id: target,
  service: toId<ServiceId>('service'),
  address: {host: '127.0.0.1', port: 1},
  dataCentre: toId<DataCentreId>('north'),
  slots: 4,
  isDraining: false,
  startedAtMs,
};

Given(
  'a target that has stated a limit of {float} requests a second',
  async function (this: LimitsWorld, limitPerS: number) {
    this.clock = VirtualClock.create();
    this.limits = TargetLimits.create({
      clock: this.clock,
      onChanged: () => undefined,
    });
    await this.clock.advance(1000);
    const sentAtMs = this.clock.nowMs();
    const isLeaving = false;
    const statement = {limitPerS, isLeaving, sentAtMs, isSigned: true};
    this.limits.recordResponse(entry, statement);
  },
);

When(
  '{int} ms pass for the limits',
  async function (this: LimitsWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

When(
  'a response without a limit to a request that was sent {int} ms before arrives',
  function (this: LimitsWorld, beforeMs: number) {
    recordResponse(this, beforeMs, true);
  },
);

When(
  'a response without a limit and without a signature arrives',
  function (this: LimitsWorld) {
    recordResponse(this, 0, false);
  },
);

When(
  /^a response( without a signature)? states that the target is leaving$/,
  function (this: LimitsWorld, isUnsigned: string | null | undefined) {
    const isSigned = isUnsigned === undefined || isUnsigned === null;
    const sentAtMs = this.clock.nowMs();
    const limitPerS = isSigned ? 2 : undefined;
    const statement = {limitPerS, isLeaving: true, sentAtMs, isSigned};
    this.limits.recordResponse(entry, statement);
  },
);

When(
  'another daemon reports that the target is leaving',
  function (this: LimitsWorld) {
    this.limits.recordLeaving(entry, 'another');
  },
);

When('the target is no longer listed', function (this: LimitsWorld) {
  this.limits.retain([]);
});

When('the target is not listed for a moment', function (this: LimitsWorld) {
  this.limits.retain([]);
  this.limits.retain([entry]);
});

When(
  'another daemon reports a limit of {float} requests a second that was stated {int} ms ago',
  function (this: LimitsWorld, limitPerS: number, ageMs: number) {
    const statedAtMs = this.clock.nowMs() - ageMs;
    const leavingSinceMs = undefined;
    const limit = {target, startedAtMs, limitPerS, statedAtMs, leavingSinceMs};
    this.limits.merge('another', [limit]);
  },
);

Then(
  'the known limit of the target is {float} requests a second',
  function (this: LimitsWorld, limitPerS: number) {
    assert.equal(getLimitPerS(this), limitPerS);
  },
);

Then('the target has no known limit', function (this: LimitsWorld) {
  assert.equal(getLimitPerS(this), undefined);
});

Then(
  /^the target is (not )?known to be leaving$/,
  function (this: LimitsWorld, not: string | null | undefined) {
    const isLeaving = not === undefined || not === null;
    assert.equal(isKnownToLeave(this, startedAtMs), isLeaving);
  },
);

Then(
  'the next start of the target is not known to be leaving',
  function (this: LimitsWorld) {
    assert.equal(isKnownToLeave(this, startedAtMs + 1), false);
  },
);

Then(
  'the own changes contain that the target is leaving',
  function (this: LimitsWorld) {
    const [change] = this.limits.getOwnChanges(1);
    assert.notEqual(change?.leavingSinceMs, undefined);
  },
);

function isKnownToLeave({limits}: LimitsWorld, startMs: number): boolean {
  const known = limits.get({target, startedAtMs: startMs});
  return known?.leavingSinceMs !== undefined;
}

function recordResponse(
  {clock, limits}: LimitsWorld,
  beforeMs: number,
  isSigned: boolean,
): void {
  const sentAtMs = clock.nowMs() - beforeMs;
  const isLeaving = false;
  const statement = {limitPerS: undefined, isLeaving, sentAtMs, isSigned};
  limits.recordResponse(entry, statement);
}

function getLimitPerS({limits}: LimitsWorld): number | undefined {
  return limits.get({target, startedAtMs})?.limitPerS;
}
