/** Steps for the backoff and the retry budget. */
import assert from 'node:assert/strict';
import {Given, Then, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {Backoff, RetryBudget, SeededRandom} from '@marigoldpost/common';

interface ResilienceWorld extends World {
  property: fc.IProperty<unknown[]>;
}

const seed = 20261203;
const tries = 12;

Given(
  'any seed, base and maximum of a backoff',
  function (this: ResilienceWorld) {
    this.property = fc.property(
      fc.integer(),
      fc.integer({min: 1, max: 1000}),
      fc.integer({min: 1, max: 60_000}),
      (randomSeed, baseMs, maxMs) => {
        const random = SeededRandom.create(randomSeed);
        const backoff = Backoff.create({baseMs, maxMs}, random);
        for (let index = 0; index < tries; index++) {
          const delayMs = backoff.nextDelayMs();
          assert.ok(delayMs >= 0);
          assert.ok(delayMs <= Math.min(maxMs, baseMs * 2 ** index));
        }
      },
    ) as fc.IProperty<unknown[]>;
  },
);

Given(
  'any sequence of requests and retries on a retry budget',
  function (this: ResilienceWorld) {
    const options = {retriesPerRequest: 0.1, maxRetries: 5};
    this.property = fc.property(fc.array(fc.boolean()), (isRetries) => {
      const budget = RetryBudget.create(options);
      let requests = 0;
      let retries = 0;
      for (const isRetry of isRetries) {
        if (!isRetry) {
          budget.addRequest();
          requests += 1;
        } else if (budget.takeRetry()) {
          retries += 1;
        }
      }
      const allowed = options.maxRetries + requests * options.retriesPerRequest;
      assert.ok(retries <= allowed);
    }) as fc.IProperty<unknown[]>;
  },
);

Then(
  'each delay of the backoff is between 0 and its upper bound',
  function (this: ResilienceWorld) {
    fc.assert(this.property, {seed});
  },
);

Then(
  'the consumed retries do not exceed what the retry budget allows',
  function (this: ResilienceWorld) {
    fc.assert(this.property, {seed});
  },
);
