/** Step definitions for grants of limits. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {type DataCentreId, toId, VirtualClock} from '@marigoldpost/common';
import {divideByShares} from '@marigoldpost/limits';
import {
  AllocatorSeries,
  type Fault,
  holderCount,
  inFlightTerms,
  limitAmount,
  maxDurationMs,
  rateTerms,
  type Step,
  TestHolder,
  TestRateHolder,
} from './grant_simulation.js';

interface GrantsWorld extends World {
  fault: Fault;
  clock: VirtualClock;
  allocators: AllocatorSeries;
  holders: TestHolder[];
  finished: number[];
  shares: Map<DataCentreId, number>;
  total: number;
}

const seed = 20261203;
const maxSteps = 120;
const stepMs = 50;
const settleMs = 500;

/** Simulated holder that steps are applied to. */
interface Actor {
  readonly client: {link: string};
  acquire(): void;
  setPaused(isPaused: boolean): void;
}

const holderIndex = fc.nat({max: holderCount - 1});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {weight: 8, arbitrary: createStepArbitrary({kind: fc.constant('acquire')})},
  {weight: 2, arbitrary: createStepArbitrary({kind: fc.constant('release')})},
  {
    weight: 1,
    arbitrary: createStepArbitrary({
      kind: fc.constant('pause'),
      isPaused: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: createStepArbitrary({
      kind: fc.constant('link'),
      link: fc.constantFrom(
        'open',
        'loses requests',
        'loses replies',
        'slow',
        'to former keeper',
      ),
    }),
  },
  {weight: 1, arbitrary: fc.constant<Step>({kind: 'takeover'})},
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(20, 300, 900),
    }),
  },
);

function createStepArbitrary(fields: Record<string, fc.Arbitrary<unknown>>) {
  return fc.record({holder: holderIndex, ...fields}) as fc.Arbitrary<Step>;
}

/** Runs steps; checks after each step, and every `stepMs` of a wait. */
async function runSteps(
  steps: readonly Step[],
  clock: VirtualClock,
  allocators: AllocatorSeries,
  actors: readonly Actor[],
  check: () => void,
): Promise<void> {
  for (const step of steps) {
    if (step.kind === 'takeover') allocators.takeOver();
    else if (step.kind !== 'wait') {
      applyStep(step, actors[step.holder] as Actor);
    }
    const waitMs = step.kind === 'wait' ? step.ms : 0;
    for (let passedMs = 0; passedMs <= waitMs; passedMs += stepMs) {
      await clock.advance(Math.min(stepMs, waitMs));
      check();
    }
  }
}

function applyStep(step: Step, actor: Actor): void {
  if (step.kind === 'acquire') actor.acquire();
  if (step.kind === 'release' && actor instanceof TestHolder) actor.release();
  if (step.kind === 'pause') actor.setPaused(step.isPaused);
  if (step.kind === 'link') actor.client.link = step.link;
}

function createHolders(
  clock: VirtualClock,
  allocators: AllocatorSeries,
  count: number,
  fault: Fault = 'nothing',
): TestHolder[] {
  return Array.from(
    {length: count},
    (_value, index) => new TestHolder(clock, allocators, index, fault),
  );
}

function createInFlightProperty(fault: Fault) {
  return fc.asyncProperty(
    fc.array(anyStep, {minLength: 10, maxLength: maxSteps}),
    async (steps) => {
      const clock = VirtualClock.create();
      const allocators = new AllocatorSeries(clock, inFlightTerms, fault);
      const holders = createHolders(clock, allocators, holderCount, fault);
      await runSteps(repeatAcquires(steps), clock, allocators, holders, () => {
        let running = 0;
        for (const holder of holders) running += holder.countRunning();
        assert.ok(running <= limitAmount, `${running} requests run`);
      });
    },
  );
}

function createRateProperty(fault: Fault) {
  return fc.asyncProperty(
    fc.array(anyStep, {minLength: 10, maxLength: maxSteps}),
    async (steps) => {
      const clock = VirtualClock.create();
      const allocators = new AllocatorSeries(clock, rateTerms, fault);
      const users = Array.from(
        {length: holderCount},
        (_value, index) => new TestRateHolder(clock, allocators, index),
      );
      await runSteps(repeatAcquires(steps), clock, allocators, users, () => {});
      checkRate(users.flatMap(({usedAtMs}) => usedAtMs));
    },
  );
}

function repeatAcquires(steps: readonly Step[]): Step[] {
  const burst = 3;
  return steps.flatMap((step) =>
    step.kind === 'acquire' ? Array<Step>(burst).fill(step) : [step],
  );
}

/** Checks each window: the rate times its length, plus one second's worth. */
function checkRate(usedAtMs: number[]): void {
  usedAtMs.sort((left, right) => left - right);
  for (const [first, startMs] of usedAtMs.entries()) {
    for (let last = first; last < usedAtMs.length; last++) {
      const windowMs = (usedAtMs[last] as number) - startMs;
      const most = limitAmount * (windowMs / 1000 + 1);
      const used = last - first + 1;
      assert.ok(used <= most + 1e-6, `${used} in ${windowMs} ms`);
    }
  }
}

Given(
  'holders and allocators of an in-flight limit with every safeguard',
  function (this: GrantsWorld) {
    this.fault = 'nothing';
  },
);

Given(
  'holders and allocators of an in-flight limit without {string}',
  function (this: GrantsWorld, fault: Fault) {
    this.fault = fault;
  },
);

Given(
  'holders and allocators of a request rate limit with every safeguard',
  function (this: GrantsWorld) {
    this.fault = 'nothing';
  },
);

Given(
  'holders and allocators of a request rate limit without {string}',
  function (this: GrantsWorld, fault: Fault) {
    this.fault = fault;
  },
);

const longRun = {timeout: 120_000};

Then(
  'none of {int} runs with faults exceeds the in-flight limit',
  longRun,
  async function (this: GrantsWorld, numRuns: number) {
    await fc.assert(createInFlightProperty(this.fault), {seed, numRuns});
  },
);

Then(
  'one of {int} runs with faults exceeds the in-flight limit',
  longRun,
  async function (this: GrantsWorld, numRuns: number) {
    const property = createInFlightProperty(this.fault);
    const {errorInstance} = await fc.check(property, {seed, numRuns});
    assert.match(String(errorInstance), /requests run/);
  },
);

Then(
  'none of {int} runs with faults exceeds the request rate limit',
  longRun,
  async function (this: GrantsWorld, numRuns: number) {
    await fc.assert(createRateProperty(this.fault), {seed, numRuns});
  },
);

Then(
  'one of {int} runs with faults exceeds the request rate limit',
  longRun,
  async function (this: GrantsWorld, numRuns: number) {
    const property = createRateProperty(this.fault);
    const {errorInstance} = await fc.check(property, {seed, numRuns});
    assert.match(String(errorInstance), / in \d+ ms/);
  },
);

function createHealthyHolders(world: GrantsWorld, count: number): void {
  world.clock = VirtualClock.create();
  world.allocators = new AllocatorSeries(world.clock, inFlightTerms, 'nothing');
  world.holders = createHolders(world.clock, world.allocators, count);
}

function acquireAll(holder: TestHolder): void {
  for (let index = 0; index < limitAmount; index++) holder.acquire();
}

Given(
  '{int} holders that each keep one request queued for a limit of 4',
  function (this: GrantsWorld, count: number) {
    createHealthyHolders(this, count);
    this.finished = this.holders.map(() => 0);
  },
);

When(
  'the holders send requests for {int} seconds',
  async function (this: GrantsWorld, seconds: number) {
    const requestMs = 200;
    for (let ms = 0; ms < seconds * 1000; ms += requestMs) {
      for (const [index, holder] of this.holders.entries()) {
        this.finished[index] =
          (this.finished[index] ?? 0) + holder.countRunning();
        holder.release();
        holder.acquire();
      }
      await this.clock.advance(requestMs);
    }
  },
);

Then(
  'each holder has completed at least {int} requests under the limit',
  function (this: GrantsWorld, least: number) {
    for (const count of this.finished) {
      assert.ok(count >= least, this.finished.join(' '));
    }
  },
);

Given(
  'one holder that has used the whole limit and is now idle',
  async function (this: GrantsWorld) {
    createHealthyHolders(this, 2);
    acquireAll(this.holders[0] as TestHolder);
    await this.clock.advance(settleMs);
    assert.equal(this.holders[0]?.countRunning(), limitAmount);
    await this.clock.advance(maxDurationMs);
    assert.equal(this.holders[0]?.countRunning(), 0);
  },
);

When(
  'another holder requests the whole limit for {int} seconds',
  async function (this: GrantsWorld, seconds: number) {
    const other = this.holders[1] as TestHolder;
    for (let ms = 0; ms < seconds * 1000; ms += maxDurationMs) {
      await this.clock.advance(maxDurationMs);
      other.countRunning();
      acquireAll(other);
    }
    await this.clock.advance(0);
  },
);

Then(
  'the other holder has the whole limit in use',
  function (this: GrantsWorld) {
    assert.equal(this.holders[1]?.countRunning(), limitAmount);
  },
);

Given(
  'one holder that uses the whole in-flight limit',
  async function (this: GrantsWorld) {
    createHealthyHolders(this, 1);
    acquireAll(this.holders[0] as TestHolder);
    await this.clock.advance(settleMs);
    assert.equal(this.holders[0]?.countRunning(), limitAmount);
  },
);

When(
  'another allocator takes over and {int} maximum request durations pass',
  async function (this: GrantsWorld, seconds: number) {
    this.allocators.takeOver();
    for (let passed = 0; passed < seconds; passed++) {
      await this.clock.advance(maxDurationMs);
      this.holders[0]?.countRunning();
      acquireAll(this.holders[0] as TestHolder);
    }
    await this.clock.advance(0);
  },
);

Then(
  'the holder still starts requests up to the limit',
  function (this: GrantsWorld) {
    assert.equal(this.holders[0]?.countRunning(), limitAmount);
  },
);

Given(
  'a limit of {int} with shares {string}',
  function (this: GrantsWorld, total: number, shares: string) {
    this.total = total;
    const numbers = shares.split(' ').map(Number);
    this.shares = new Map(
      numbers.map((share, index) => [toId<DataCentreId>(`dc-${index}`), share]),
    );
  },
);

Then(
  'the divided limit is {string}',
  function (this: GrantsWorld, amounts: string) {
    const divided = [...divideByShares(this.total, this.shares).values()];
    assert.equal(divided.join(' '), amounts);
  },
);
