/** Property-based steps for concurrent calls during faults and takeovers. */
import assert from 'node:assert/strict';
import {Given, Then, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  runConcurrently,
  type CallResult,
  type RunHistory,
  type RunPlan,
} from '../fixtures/concurrent_run.js';

interface ConcurrentCallsWorld extends World {
  property: fc.IAsyncProperty<unknown>;
}

const seed = 20261203;
const numRuns = 200;

const plans: fc.Arbitrary<RunPlan> = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom(
        'kill' as const,
        'killWithEngine' as const,
        'takeOver' as const,
        'outage' as const,
        'loseAnswers' as const,
        'failCalls' as const,
      ),
      atMs: fc.integer({min: 0, max: 8_000}),
    }),
    {maxLength: 8},
  ),
  callers: fc.array(fc.array(fc.boolean(), {minLength: 1, maxLength: 6}), {
    minLength: 1,
    maxLength: 4,
  }),
  maxTokens: fc.constantFrom(150, 300, 600, 100_000),
});

/** Checks the outcomes that callers received against the runs at targets. */
function checkHistory(plan: RunPlan, history: RunHistory): void {
  assert.deepEqual(history.outOfOrderTurns, []);
  for (const result of history.results) {
    if (!result.isBooking) continue;
    const runs = history.bookingRuns.get(result.content) ?? 0;
    assert.ok(runs <= 1, `${result.content} ran ${runs} times`);
    if (result.outcome === 'finished') assert.equal(runs, 1);
    if (result.outcome === 'not_run') assert.equal(runs, 0);
  }
  for (const [index, texts] of history.histories.entries()) {
    assert.ok(
      history.spentTokensByProgram[index]! <= plan.maxTokens,
      'budget exceeded',
    );
    checkProgramHistory(
      history.results.filter((it) => it.program === index),
      texts,
    );
  }
}

/** Checks that each answered turn is in the history once, in caller order. */
function checkProgramHistory(
  results: readonly CallResult[],
  texts: string[],
): void {
  const answered = results.filter(
    (it) => !it.isBooking && it.outcome === 'finished',
  );
  assert.equal(texts.length, 2 * answered.length);
  const positions = new Map<number, number>();
  for (const {caller, content} of answered) {
    const at = texts.indexOf(content);
    assert.equal(texts[at + 1], content.slice(-8).toUpperCase());
    assert.ok(at > (positions.get(caller) ?? -1), 'out of order');
    positions.set(caller, at);
  }
}

Given(
  'any plan of callers, faults and takeovers of a partition',
  function (this: ConcurrentCallsWorld) {
    this.property = fc.asyncProperty(plans, async (plan) => {
      checkHistory(plan, await runConcurrently(plan));
    });
  },
);

Then(
  'every run of the plan preserves call order, history, budget and single bookings',
  {timeout: 60_000},
  async function (this: ConcurrentCallsWorld) {
    await fc.assert(this.property, {seed, numRuns});
  },
);
