/** Steps for the exchange of crash records with archives. */
import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DataCentreId, toId, VirtualClock} from '@marigoldpost/common';
import {
  QuarantineExchange,
  type QuarantineExchangeOptions,
} from '@marigoldpost/nodes';
import {Quarantine} from '@marigoldpost/targets';
import {EventLogger} from '@marigoldpost/telemetry';

interface ExchangeWorld extends World {
  mostListeners: number;
}

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
