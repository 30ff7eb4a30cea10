/** Steps that play histories of reservations under arbitrary faults. */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {SeededRandom} from '@marigoldpost/common';
import fc from 'fast-check';
import {
  type HistoryStep,
  ReservationHistory,
} from '../fixtures/reservation_history.js';

const seed = 20261205;

const arbitraryStep: fc.Arbitrary<HistoryStep> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('reserve' as const),
      count: fc.integer({min: 1, max: 16}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('settle' as const),
      usedTokens: fc.nat({max: 40}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('break', 'break', 'restart', 'isolate', 'wipe'),
      choice: fc.nat({max: 1000}),
    }),
  },
  {weight: 2, arbitrary: fc.record({kind: fc.constant('mend' as const)})},
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      elapsedMs: fc.integer({min: 1, max: 1500}),
    }),
  },
);

Then(
  'reservations of {int} tokens at archives {string} keep to a budget of {int} in {int} histories',
  {timeout: 120_000},
  async function (tokens: number, names: string, budget: number, runs: number) {
    await fc.assert(
      fc.asyncProperty(
        fc.array(arbitraryStep, {minLength: 2, maxLength: 12}),
        fc.nat(),
        async (steps, delaySeed) => {
          const history = await ReservationHistory.create({
            archives: names.split(', '),
            tokens,
            budgetTokens: budget,
            random: SeededRandom.create(delaySeed),
          });
          for (const step of steps) {
            await history.apply(step);
            const {usedTokens} = history;
            assert.ok(
              usedTokens <= budget + tokens,
              `${usedTokens} tokens of ${budget}: ${history.admissions}`,
            );
          }
        },
      ),
      {seed, numRuns: runs},
    );
  },
);
