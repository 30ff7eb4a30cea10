/** Steps for daemons that drain. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, type TeamId, toId} from '@marigoldpost/common';
import {HistoryFleet} from '../fixtures/history_fleet.js';
import {createLongCall, longCallTokens} from '../fixtures/long_call.js';

interface DrainedWorld extends World {
  fleet: HistoryFleet;
  program: ProgramId;
  tokens: number[];
  isFinished: boolean;
  /** Time from the start of the call to the start of the drain. */
  ranMs: number;
}

const seed = 20261203;
const settleMs = 30_000;
const team = toId<TeamId>('planners');

async function addProgram(world: DrainedWorld): Promise<void> {
  const {gateway} = world.fleet.daemons[0]!.core;
  const {budget} = createLongCall();
  const added = gateway.addProgram({team, budget});
  await world.fleet.clock.advance(1000);
  world.program = (await added).program;
}

Given(
  'a fleet with a program that a first daemon holds',
  async function (this: DrainedWorld) {
    this.fleet = await HistoryFleet.start(seed, {answerTokens: longCallTokens});
    await addProgram(this);
  },
);

Given(
  'a fleet whose engines need {int} ms for a token, with a program that a first daemon holds',
  async function (this: DrainedWorld, stepBaseMs: number) {
    this.fleet = await HistoryFleet.start(seed, {
      answerTokens: longCallTokens,
      stepBaseMs,
    });
    await addProgram(this);
  },
);

When(
  /^a call of the program enters at the (first|second) daemon and the first one drains after (\d+) tokens$/,
  async function (this: DrainedWorld, entry: string, count: string) {
    const {daemons, clock} = this.fleet;
    const {gateway} = daemons[entry === 'first' ? 0 : 1]!.core;
    const {core} = daemons[0]!;
    this.tokens = [];
    const startMs = clock.nowMs();
    let drained: Promise<void> | undefined;
    const read = async () => {
      const call = {...createLongCall(), program: this.program};
      const {signal} = new AbortController();
      for await (const event of gateway.runCall(call, signal)) {
        if (event.kind === 'token') this.tokens.push(event.index);
        if (event.kind === 'finished') this.isFinished = true;
        if (this.tokens.length !== Number(count)) continue;
        this.ranMs ??= clock.nowMs() - startMs;
        core.startDraining();
        drained ??= core.handOver();
      }
    };
    const reading = read();
    await clock.advance(settleMs);
    await reading;
    await drained;
  },
);

Then(
  'the call of the program gets all its {int} tokens',
  function (this: DrainedWorld, count: number) {
    assert.equal(this.isFinished, true);
    const expected = Array.from({length: count}, (_unused, index) => index);
    assert.deepEqual(this.tokens, expected);
  },
);

Then(
  'the call of the program had run for more than {int} s when the first daemon drained',
  function (this: DrainedWorld, seconds: number) {
    assert.ok(this.ranMs > seconds * 1000, `${this.ranMs} ms`);
  },
);

Then(
  'the engines ran the call of the program once',
  function (this: DrainedWorld) {
    const streams = [...this.fleet.engines.values()].flatMap((engine) =>
      engine.getStreams(),
    );
    assert.equal(streams.length, 1);
    assert.equal(streams[0]?.isComplete, true);
  },
);

Then(
  'the first daemon holds no partition',
  async function (this: DrainedWorld) {
    const held = this.fleet.daemons[0]!.core.manager.getPartitions();
    await this.fleet.stop();
    assert.deepEqual(held, []);
  },
);
