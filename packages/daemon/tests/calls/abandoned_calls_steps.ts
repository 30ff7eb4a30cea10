/** Steps for callers that go away. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, type TeamId, toId} from '@marigoldpost/common';
import {HistoryFleet} from '../fixtures/history_fleet.js';
import {createHistoryText} from '../fixtures/history_text.js';
import {createLongCall, longCallTokens} from '../fixtures/long_call.js';

interface AbandonedWorld extends World {
  fleet: HistoryFleet;
}

const seed = 20261203;
const settleMs = 60_000;
const team = toId<TeamId>('planners');

/** Reads some tokens of a call, then does something, and lets time pass. */
async function readThen(
  fleet: HistoryFleet,
  tokens: number,
  act: (program: ProgramId, leave: AbortController) => void,
): Promise<void> {
  const leave = new AbortController();
  const {gateway} = fleet.daemons[0]!.core;
  let program: ProgramId | undefined;
  let read = 0;
  const reading = (async () => {
    for await (const event of gateway.runCall(createLongCall(), leave.signal)) {
      if (event.kind === 'accepted') program = event.program;
      if (event.kind === 'token') read += 1;
      if (read === tokens && program !== undefined) act(program, leave);
    }
  })().catch(() => undefined);
  await fleet.clock.advance(settleMs);
  await reading;
  assert.ok(read >= tokens);
}

Given(
  /^a fleet whose text sets keeps_abandoned_streams = (yes|no)$/,
  async function (this: AbandonedWorld, setting: string) {
    const text = createHistoryText(0).replace(
      'models = planner\n',
      `models = planner\nkeeps_abandoned_streams = ${setting}\n`,
    );
    this.fleet = await HistoryFleet.start(seed, {
      text,
      answerTokens: longCallTokens,
    });
  },
);

When(
  'a caller of the fleet goes away after {int} tokens',
  async function (this: AbandonedWorld, tokens: number) {
    await readThen(this.fleet, tokens, (_program, leave) => leave.abort());
  },
);

When(
  'a program of the fleet is ended after {int} tokens',
  async function (this: AbandonedWorld, tokens: number) {
    const {gateway} = this.fleet.daemons[1]!.core;
    await readThen(this.fleet, tokens, (program) => {
      gateway.endProgram(team, program).catch(assert.ifError);
    });
  },
);

Then(
  /^the engine's stream for the caller is (cancelled|complete)$/,
  async function (this: AbandonedWorld, fate: string) {
    const streams = [...this.fleet.engines.values()].flatMap((engine) =>
      engine.getStreams(),
    );
    await this.fleet.stop();
    assert.equal(streams.length, 1);
    const {isCancelled, isComplete} = streams[0]!;
    assert.equal(isCancelled, fate === 'cancelled');
    assert.equal(isComplete, fate === 'complete');
  },
);
