/** Steps that play histories in which a disk is lost beside other faults. */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {SeededRandom} from '@marigoldpost/common';
import fc from 'fast-check';
import {LossHistory, type LossStep} from '../fixtures/loss_history.js';

const seed = 20261206;
/** Tokens that each attempt reserves and uses. */
const tokens = 40;

/** Favours the home of the program, so that faults of it overlap. */
const choice = fc.oneof(
  {weight: 2, arbitrary: fc.constant(0)},
  {weight: 1, arbitrary: fc.nat({max: 1000})},
);

const arbitraryStep: fc.Arbitrary<LossStep> = fc.oneof(
  {
    weight: 7,
    arbitrary: fc.record({
      kind: fc.constant('turns' as const),
      count: fc.integer({min: 1, max: 6}),
      choice,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'isolate',
        'break',
        'hang',
        'stop',
        'start',
        'store away',
      ),
      choice,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('disk lost', 'power lost', 'entries killed'),
      choice,
    }),
  },
  {weight: 2, arbitrary: fc.record({kind: fc.constant('mend' as const)})},
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      elapsedMs: fc.integer({min: 1, max: 7000}),
    }),
  },
);

Then(
  'finished turns at archives {string} are known and keep to a budget of {int} in {int} histories',
  {timeout: 120_000},
  async function (names: string, budgetTokens: number, runs: number) {
    let finished = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(arbitraryStep, {minLength: 3, maxLength: 14}),
        fc.nat(),
        async (steps, choiceSeed) => {
          const history = await LossHistory.create({
            archives: names.split(', '),
            tokens,
            budgetTokens,
            random: SeededRandom.create(choiceSeed),
          });
          for (const step of [...steps, {kind: 'mend' as const}]) {
            await history.apply(step);
            const isCalm = step.kind === 'mend';
            assert.deepEqual(await history.findLostTurns(isCalm), []);
            const {usedTokens} = history;
            assert.ok(
              usedTokens <= budgetTokens + tokens,
              `${usedTokens} tokens of ${budgetTokens}`,
            );
          }
          finished += history.finishedCount;
        },
      ),
      {seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true},
    );
    assert.ok(finished > runs, `${finished} turns finished`);
  },
);
