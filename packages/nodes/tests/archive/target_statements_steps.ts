/** Steps for statements of targets in messages between daemons. */
import assert from 'node:assert/strict';
import {fromBinary, create, toBinary} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {type TargetLimit, TargetLimits} from '@marigoldpost/dispatch';
import {QuarantineRelay} from '@marigoldpost/nodes';
import {
  ExchangeQuarantinesSchema,
  fromTargetLimitMessage,
  TargetLimitSchema,
  toTargetLimitMessage,
} from '@marigoldpost/peers';
import {Quarantine} from '@marigoldpost/targets';

interface StatementsWorld extends World {
  clock: VirtualClock;
  relay: QuarantineRelay;
  limits: TargetLimits;
}

const instance = {target: toId<TargetId>('a'), startedAtMs: 1};
const limitPerS = 2;

Given(
  'an archive that relays statements of targets',
  async function (this: StatementsWorld) {
    this.clock = VirtualClock.create();
    await this.clock.advance(10_000);
    const {clock} = this;
    const quarantine = Quarantine.create({clock, deathsToQuarantine: 3});
    this.relay = QuarantineRelay.create({
      quarantine,
      clock,
      process: 'process',
      onMerged: () => undefined,
    });
  },
);

When(
  'an entry VM reports a target that has been leaving for {int} ms and has no limit',
  function (this: StatementsWorld, leavingMs: number) {
    const nowMs = this.clock.nowMs();
    const limit = createLeaving(nowMs - leavingMs);
    const targetLimits = [toTargetLimitMessage(limit, nowMs)];
    this.relay.answer(
      toId<DaemonId>('entry-0'),
      create(ExchangeQuarantinesSchema, {targetLimits}),
    );
  },
);

When(
  '{int} ms pass at the archive',
  async function (this: StatementsWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

When(
  /^a daemon of an earlier build (without a|with a) limit(?: of 2)? receives that a target is leaving$/,
  async function (this: StatementsWorld, knowledge: string) {
    await createDaemon(this);
    const nowMs = this.clock.nowMs();
    if (knowledge === 'with a') {
      const stated = {limitPerS, statedAtMs: nowMs - 1000};
      const known = {...instance, ...stated, leavingSinceMs: undefined};
      this.limits.merge('another', [known]);
    }
    const message = toTargetLimitMessage(createLeaving(nowMs), nowMs);
    const bytes = toBinary(TargetLimitSchema, message);
    const received = fromBinary(TargetLimitSchema, bytes);
    // An earlier build knows all fields but this one.
    received.leavingAgeMs = undefined;
    this.limits.merge('another', [fromTargetLimitMessage(received, nowMs)]);
  },
);

When(
  'a message of an earlier build with a limit of 2 is received',
  async function (this: StatementsWorld) {
    await createDaemon(this);
    const message = create(TargetLimitSchema, {
      ...instance,
      limitPerS,
      ageMs: 10,
    });
    const nowMs = this.clock.nowMs();
    this.limits.merge('another', [fromTargetLimitMessage(message, nowMs)]);
  },
);

Then(
  'another entry VM learns that the target has been leaving for {int} ms',
  async function (this: StatementsWorld, leavingMs: number) {
    const reply = this.relay.answer(
      toId<DaemonId>('entry-1'),
      create(ExchangeQuarantinesSchema),
    );
    assert.equal(reply.case, 'quarantineChanges');
    const nowMs = this.clock.nowMs();
    this.limits = createLimits(this.clock);
    this.limits.merge(
      'archive-0',
      reply.value.targetLimits.map((limit) =>
        fromTargetLimitMessage(limit, nowMs),
      ),
    );
    const sinceMs = this.limits.get(instance)?.leavingSinceMs ?? Number.NaN;
    assert.equal(nowMs - sinceMs, leavingMs);
  },
);

Then(
  'that entry VM knows no limit of the target',
  function (this: StatementsWorld) {
    assert.equal(this.limits.get(instance)?.limitPerS, undefined);
  },
);

Then('it has no entry of the target', function (this: StatementsWorld) {
  assert.equal(this.limits.get(instance), undefined);
});

Then('its limit of the target is 2', function (this: StatementsWorld) {
  assert.equal(this.limits.get(instance)?.limitPerS, limitPerS);
});

Then(
  'it does not know that the target is leaving',
  function (this: StatementsWorld) {
    assert.equal(this.limits.get(instance)?.leavingSinceMs, undefined);
  },
);

function createLeaving(leavingSinceMs: number): TargetLimit {
  const statedAtMs = Number.NEGATIVE_INFINITY;
  return {...instance, limitPerS: undefined, statedAtMs, leavingSinceMs};
}

async function createDaemon(world: StatementsWorld): Promise<void> {
  world.clock = VirtualClock.create();
  await world.clock.advance(10_000);
  world.limits = createLimits(world.clock);
}

function createLimits(clock: VirtualClock): TargetLimits {
  return TargetLimits.create({clock, onChanged: () => undefined});
}
