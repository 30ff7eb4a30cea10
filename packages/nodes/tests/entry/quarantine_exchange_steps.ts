/** Steps for the exchange of crash records with archives. */
import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {TargetLimits} from '@marigoldpost/dispatch';
import {
  QuarantineExchange,
  type QuarantineExchangeOptions,
} from '@marigoldpost/nodes';
import {
  type ExchangeQuarantines,
  fromTargetLimitMessage,
  QuarantineChangesSchema,
} from '@marigoldpost/peers';
import {Quarantine} from '@marigoldpost/targets';
import {EventLogger} from '@marigoldpost/telemetry';

interface ExchangeWorld extends World {
  mostListeners: number;
  loadedAfterMs: number;
  clock: VirtualClock;
  controller: AbortController;
  /** Process of the archive, and limits that each of its processes received. */
  process: string;
  received: Map<string, ExchangeQuarantines['targetLimits']>;
}

/** Enough for several exchanges. */
const exchangeMs = 3000;
/** Above the pause between two requests of an exchange that starts. */
const longestPauseMs = 150;
const leavingTarget = {target: toId<TargetId>('tool-0'), startedAtMs: 7};

Given(
  'an exchange whose entry VM has learned from others that a target with a limit of {int} is leaving',
  async function (this: ExchangeWorld, limitPerS: number) {
    this.clock = VirtualClock.create();
    this.controller = new AbortController();
    this.process = 'first';
    this.received = new Map();
    const {clock} = this;
    const limits = TargetLimits.create({clock, onChanged: () => undefined});
    const nowMs = clock.nowMs();
    limits.merge('archive-1', [
      {...leavingTarget, limitPerS, statedAtMs: nowMs, leavingSinceMs: nowMs},
    ]);
    const client = {
      isReachable: true,
      dataCentre: toId<DataCentreId>('cat-lai'),
      member: {daemon: toId<DaemonId>('archive-0')},
      exchangeQuarantines: ({targetLimits}: ExchangeQuarantines) => {
        const {process} = this;
        const known = this.received.get(process) ?? [];
        this.received.set(process, [...known, ...targetLimits]);
        return Promise.resolve(create(QuarantineChangesSchema, {process}));
      },
    };
    const exchange = QuarantineExchange.create({
      pool: {getClients: () => [client]},
      dataCentre: client.dataCentre,
      clock,
      quarantine: Quarantine.create({clock, deathsToQuarantine: 2}),
      receiver: {receive: () => undefined},
      limits,
      logger: EventLogger.createSilent(),
      areObjectsLoaded: () => true,
    } as unknown as QuarantineExchangeOptions);
    void exchange.run(this.controller.signal).catch(() => undefined);
    await clock.advance(exchangeMs);
  },
);

When(
  'the archive of the exchange has restarted',
  async function (this: ExchangeWorld) {
    this.process = 'second';
    await this.clock.advance(exchangeMs);
    this.controller.abort();
  },
);

Then(
  'the exchange tells the archive once that the target is leaving, and no limit',
  function (this: ExchangeWorld) {
    const nowMs = this.clock.nowMs();
    const limits = (this.received.get('second') ?? []).map((message) =>
      fromTargetLimitMessage(message, nowMs),
    );
    assert.equal(limits.length, 1);
    assert.equal(limits[0]?.target, leavingTarget.target);
    assert.notEqual(limits[0].leavingSinceMs, undefined);
    assert.equal(limits[0].limitPerS, undefined);
    assert.equal(limits[0].statedAtMs, Number.NEGATIVE_INFINITY);
  },
);

When(
  'an exchange of crash records is woken {int} times, every {int} ms',
  async function (this: ExchangeWorld, times: number, everyMs: number) {
    const clock = VirtualClock.create();
    const quarantine = Quarantine.create({clock, deathsToQuarantine: 2});
    // Without archives, the exchange uses neither receiver nor limits.
    const exchange = QuarantineExchange.create({
      pool: {getClients: () => []},
      dataCentre: toId<DataCentreId>('cat-lai'),
      clock,
      quarantine,
      logger: EventLogger.createSilent(),
      areObjectsLoaded: () => true,
    } as unknown as QuarantineExchangeOptions);
    const controller = new AbortController();
    const {signal} = controller;
    const run = exchange.run(signal).catch(() => undefined);
    this.mostListeners = 0;
    for (let wakes = 0; wakes < times; wakes++) {
      await clock.advance(everyMs);
      exchange.publishLimits();
      await clock.advance(1);
      const {length} = getEventListeners(signal, 'abort');
      this.mostListeners = Math.max(this.mostListeners, length);
    }
    controller.abort();
    await run;
  },
);

Then(
  'its signal never has more than {int} listener',
  function (this: ExchangeWorld, most: number) {
    assert.ok(this.mostListeners > 0);
    assert.ok(this.mostListeners <= most, `${this.mostListeners} listeners`);
  },
);

When(
  /^an exchange starts whose archive replies after (\d+) ms(?:, and whose objects are read after (\d+) ms)?$/,
  async function (
    this: ExchangeWorld,
    replyAfter: string,
    readAfter: string | null,
  ) {
    const replyAfterMs = Number(replyAfter);
    const readAfterMs = Number(readAfter ?? 0);
    const clock = VirtualClock.create();
    const limits = TargetLimits.create({clock, onChanged: () => undefined});
    const client = {
      isReachable: true,
      dataCentre: toId<DataCentreId>('cat-lai'),
      member: {daemon: toId<DaemonId>('archive-0')},
      exchangeQuarantines: () =>
        Promise.resolve(
          clock.nowMs() < replyAfterMs
            ? undefined
            : create(QuarantineChangesSchema, {process: 'first'}),
        ),
    };
    const exchange = QuarantineExchange.create({
      pool: {getClients: () => [client]},
      dataCentre: client.dataCentre,
      clock,
      quarantine: Quarantine.create({clock, deathsToQuarantine: 2}),
      receiver: {receive: () => undefined},
      limits,
      logger: EventLogger.createSilent(),
      areObjectsLoaded: () => clock.nowMs() >= readAfterMs,
    } as unknown as QuarantineExchangeOptions);
    const controller = new AbortController();
    const run = exchange.run(controller.signal).catch(() => undefined);
    await clock.advance(1);
    while (!exchange.isLoaded) await clock.advance(10);
    this.loadedAfterMs = clock.nowMs();
    controller.abort();
    await run;
  },
);

Then(
  'the exchange has loaded after {int} ms, and not before',
  function (this: ExchangeWorld, loadedMs: number) {
    const {loadedAfterMs} = this;
    const isInTime =
      loadedAfterMs >= loadedMs && loadedAfterMs <= loadedMs + longestPauseMs;
    assert.ok(isInTime, `${loadedAfterMs} ms`);
  },
);
