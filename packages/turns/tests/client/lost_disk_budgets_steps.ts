/** Steps that play histories in which a budget may be spent again after the loss of a disk. */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {SeededRandom} from '@marigoldpost/common';
import fc from 'fast-check';
import {LossHistory, type LossStep} from '../fixtures/loss_history.js';

const seed = 20261206;
/** Tokens that each attempt reserves. */
const tokens = 40;
/** Choice of a fault that affects all VMs. */
const everywhere = 0;

const choice = fc.oneof(
  {weight: 2, arbitrary: fc.constant(0)},
  {weight: 1, arbitrary: fc.nat({max: 29})},
);

const attempts: fc.Arbitrary<Extract<LossStep, {kind: 'attempts'}>> = fc.record(
  {
    kind: fc.constant('attempts' as const),
    count: fc.integer({min: 1, max: 6}),
    choice,
    isConcurrent: fc.boolean(),
    heldMs: fc.option(fc.nat({max: 60}), {nil: undefined, freq: 2}),
  },
);

/** Up to the times for which absent archives are waited for. */
const pause = createWait(0, 3000);

const singleStep: fc.Arbitrary<LossStep> = fc.oneof(
  {weight: 6, arbitrary: attempts},
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'isolate',
        'stop',
        'start',
        'store away',
        'answers lost',
        'connections refused',
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
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('mend', 'reconnect', 'store back'),
    }),
  },
  {weight: 3, arbitrary: pause},
);

/** Steps between the parts of a sequence, at times. */
const interlude = fc.oneof(
  {weight: 2, arbitrary: fc.constant([])},
  {weight: 1, arbitrary: fc.array(singleStep, {maxLength: 2})},
);

Then(
  'budgets of a few attempts at archives {string} are kept in {int} histories',
  {timeout: 120_000},
  async function (list: string, runs: number) {
    const archives = list.split(', ');
    let usedTokens = 0;
    await fc.assert(
      fc.asyncProperty(
        createHistory(archives),
        fc.constantFrom(2, 3, 5),
        fc.constantFrom(8, 8, 150),
        fc.nat(),
        async (steps, budgetAttempts, maxDelayMs, choiceSeed) => {
          const budgetTokens = budgetAttempts * tokens;
          const random = SeededRandom.create(choiceSeed);
          const history = await LossHistory.create({
            archives,
            tokens,
            budgetTokens,
            random,
            areAbsencesLimited: true,
            maxDelayMs,
          });
          await play(history, steps, budgetTokens + tokens);
          usedTokens += history.usedTokens;
        },
      ),
      {seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true},
    );
    assert.ok(usedTokens > runs * tokens, `${usedTokens} tokens used`);
  },
);

async function play(
  history: LossHistory,
  steps: readonly LossStep[],
  maxTokens: number,
): Promise<void> {
  for (const step of steps) {
    await history.apply(step);
    const {usedTokens} = history;
    assert.ok(
      usedTokens <= maxTokens,
      `${usedTokens} tokens, at most ${maxTokens}`,
    );
  }
}

/** Favours sequences in which few disks have recorded a budget when one is lost. */
function createHistory(
  archives: readonly string[],
): fc.Arbitrary<readonly LossStep[]> {
  return fc
    .array(
      fc.oneof(
        {weight: 3, arbitrary: singleStep.map((step) => [step])},
        {weight: 2, arbitrary: createLossAtQuorum(archives)},
        {weight: 2, arbitrary: createLossBesideObjects(archives)},
      ),
      {minLength: 2, maxLength: 5},
    )
    .map((parts) => parts.flat());
}

/** Spends at a majority, of which one disk is lost and the others stop. */
function createLossAtQuorum(
  archives: readonly string[],
): fc.Arbitrary<LossStep[]> {
  const indexes = archives.map((_name, index) => index);
  const others = Math.floor(archives.length / 2);
  return fc
    .record({
      choice,
      others: fc.shuffledSubarray(indexes.slice(1), {
        minLength: others,
        maxLength: others,
      }),
      isHomeLost: fc.boolean(),
      before: interlude,
      spent: attempts,
      after: interlude,
      pause,
      again: attempts,
    })
    .map(({choice, others, isHomeLost, before, spent, after, pause, again}) => {
      const [lost = 0, ...stopped] = isHomeLost
        ? [0, ...others]
        : [...others, 0];
      return [
        {kind: 'reach', choice: spent.choice, archives: [0, ...others]},
        ...before,
        {...spent},
        ...stopped.map(createStop),
        {kind: 'disk lost', choice: lost},
        {kind: 'reconnect'},
        ...after,
        pause,
        {...again, choice},
      ];
    });
}

/**
 * Spends while the home is isolated or down, in it and elsewhere, with the help of
 * the object API; then a disk is lost.
 */
function createLossBesideObjects(
  archives: readonly string[],
): fc.Arbitrary<LossStep[]> {
  const homes = archives.filter((name) => name.startsWith('a')).length;
  const anyChoice = fc.nat({max: 2 * archives.length - 1});
  const entry = fc.oneof(fc.constantFrom(0, archives.length), anyChoice);
  return fc
    .record({
      isHomeDown: fc.boolean(),
      isolation: createWait(600, 2500),
      spent: fc.array(
        fc.record({attempts, entry}).map(({attempts, entry}) => ({
          ...attempts,
          choice: entry,
        })),
        {minLength: 1, maxLength: 3},
      ),
      storeAway: fc.option(fc.oneof(fc.constant(everywhere), anyChoice), {
        nil: undefined,
      }),
      kind: fc.constantFrom('disk lost', 'power lost'),
      lost: fc.oneof(fc.constant(0), anyChoice),
      stopped: fc.array(anyChoice, {maxLength: 2}),
      after: interlude,
      pause,
      again: attempts,
    })
    .map((parts): LossStep[] => {
      const atHome = archives.slice(0, homes).map((_name, index) => index);
      const stops = (parts.isHomeDown ? atHome : []).map(createStop);
      const fault: LossStep[] = parts.isHomeDown
        ? stops
        : [{kind: 'isolate', choice: 0}];
      const away: LossStep[] =
        parts.storeAway === undefined
          ? []
          : [{kind: 'store away', choice: parts.storeAway}];
      return [
        ...fault,
        parts.isolation,
        ...parts.spent,
        ...away,
        ...parts.stopped.map(createStop),
        {kind: parts.kind, choice: parts.lost},
        ...atHome.map((index): LossStep => ({kind: 'start', choice: index})),
        {kind: 'reconnect'},
        ...parts.after,
        parts.pause,
        parts.again,
      ];
    });
}

function createStop(choice: number): LossStep {
  return {kind: 'stop', choice};
}

function createWait(min: number, max: number): fc.Arbitrary<LossStep> {
  return fc.record({
    kind: fc.constant('wait' as const),
    elapsedMs: fc.integer({min, max}),
  });
}
