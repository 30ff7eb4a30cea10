/** Steps for the capacity measurements. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type CapacityFigures,
  type CapacitySizes,
  measureCapacity,
  renderCapacity,
} from '@marigoldpost/bench';

interface CapacityWorld extends World {
  figures: CapacityFigures;
}

const storeMs = 5;
const turnBytes = 3400;
const noSizes: CapacitySizes = {
  decisions: [],
  socketFleets: [],
  memoryFleets: [],
  controlSeconds: 1,
  journals: [],
  programs: [],
  idleFleets: [],
  calls: [],
};

async function measure(
  world: CapacityWorld,
  sizes: Partial<CapacitySizes>,
): Promise<void> {
  world.figures = await measureCapacity({...noSizes, ...sizes});
}

When(
  'capacity is measured for {int} idle daemons over {int} seconds',
  async function (this: CapacityWorld, daemons: number, seconds: number) {
    await measure(this, {idleFleets: [{daemons, seconds}]});
  },
);

When(
  'capacity is measured for {int} calls of {int} tokens',
  async function (this: CapacityWorld, calls: number, tokensPerCall: number) {
    await measure(this, {calls: [{calls, tokensPerCall}]});
  },
);

When(
  'capacity is measured for journals at {int} and at {int} calls a second',
  async function (this: CapacityWorld, slow: number, fast: number) {
    const journals = [slow, fast].map((callsPerSecond) => ({
      callsPerSecond,
      calls: 100,
    }));
    await measure(this, {journals});
  },
);

When(
  'capacity is measured for programs of {int} and of {int} turns',
  async function (this: CapacityWorld, few: number, many: number) {
    const programs = [few, many].map((turns) => ({programs: 5, turns}));
    await measure(this, {programs});
  },
);

When(
  'capacity is measured at small sizes',
  async function (this: CapacityWorld) {
    await measure(this, {
      decisions: [{targets: 2, programs: 3, decisions: 5}],
      memoryFleets: [2, 3],
      journals: [{callsPerSecond: 10, calls: 10}],
      programs: [{programs: 2, turns: 2}],
      idleFleets: [{daemons: 1, seconds: 1}],
      calls: [{calls: 1, tokensPerCall: 2}],
    });
  },
);

Then(
  "capacity's idle daemons hold {int} partitions",
  function (this: CapacityWorld, partitions: number) {
    assert.equal(this.figures.idleFleets[0]?.partitions, partitions);
  },
);

Then(
  'each idle daemon of capacity made {int} writes, {int} reads and some heartbeats a minute',
  function (this: CapacityWorld, writes: number, reads: number) {
    const [idle] = this.figures.idleFleets;
    assert.equal(idle?.writesPerMinute, writes);
    assert.equal(idle.readsPerMinute, reads);
    assert.ok(idle.sentBytesPerSecond > 0);
  },
);

Then(
  "capacity's callers received {int} tokens",
  function (this: CapacityWorld, tokens: number) {
    assert.equal(this.figures.calls[0]?.receivedTokens, tokens);
  },
);

Then(
  "capacity's journals write at most twice a call, and less often at the higher rate",
  function (this: CapacityWorld) {
    const [slow, fast] = this.figures.journals;
    assert.ok(slow && fast);
    assert.equal(slow.calls, 100);
    assert.ok(slow.writesPerCall <= 2);
    assert.ok(fast.writesPerCall < slow.writesPerCall);
    assert.ok(fast.writesPerCall > 0);
  },
);

Then(
  "a call of capacity's journals waits for the platform and makes no reads",
  function (this: CapacityWorld) {
    for (const {p50WaitMs, p99WaitMs, readsPerCall} of this.figures.journals) {
      assert.ok(p50WaitMs >= storeMs);
      assert.ok(p99WaitMs >= p50WaitMs);
      assert.equal(readsPerCall, 0);
    }
  },
);

Then(
  "capacity's stored bytes grow with the turns",
  function (this: CapacityWorld) {
    const [short, long] = this.figures.programs;
    assert.ok(short && long);
    assert.ok(short.storedBytesPerProgram > short.turns * turnBytes);
    assert.ok(long.storedBytesPerProgram > long.turns * turnBytes);
  },
);

Then(
  "capacity's tables have a title for each group and a row for each size",
  function (this: CapacityWorld) {
    const lines = renderCapacity(this.figures).split('\n');
    const count = (pattern: RegExp) =>
      lines.filter((line) => pattern.test(line)).length;
    assert.equal(count(/^\*\*/), 8);
    assert.equal(count(/^\| --:/), 8);
    // One row for the process, two for memory fleets, five for other groups.
    assert.equal(count(/^\| -?\d/), 8);
  },
);
