/** Steps for callers that disconnect. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ProgramId, type TeamId, toId} from '@marigoldpost/common';
import {HistoryFleet} from '../fixtures/history_fleet.js';
import {createHistoryConfig} from '../fixtures/history_config.js';
import {createLongCall, longCallTokens} from '../fixtures/long_call.js';

interface AbandonedWorld extends World {
  fleet: HistoryFleet;
}

const seed = 20261203;
const settleMs = 60_000;
const team = toId<TeamId>('planners');

/** Reads some tokens of a call, then runs `act` and lets time pass. */
async function readThenAct(
  fleet: HistoryFleet,
  tokens: number,
  act: (program: ProgramId, disconnect: AbortController) => void,
): Promise<void> {
  const disconnect = new AbortController();
  const {gateway} = fleet.daemons[0]!.core;
  let program: ProgramId | undefined;
  let read = 0;
  const reading = (async () => {
    for await (const event of gateway.runCall(
      createLongCall(),
      disconnect.signal,
    )) {
      if (event.kind === 'accepted') program = event.program;
      if (event.kind === 'token') read += 1;
      if (read === tokens && program !== undefined) act(program, disconnect);
    }
  })().catch(() => undefined);
  await fleet.clock.advance(settleMs);
  await reading;
  assert.ok(read >= tokens);
}

Given(
  /^a fleet whose text sets keeps_abandoned_streams = (yes|no)$/,
  async function (this: AbandonedWorld, setting: string) {
    const text = createHistoryConfig(0).replace(
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
  'a caller of the fleet disconnects after {int} tokens',
  async function (this: AbandonedWorld, tokens: number) {
    await readThenAct(this.fleet, tokens, (_program, disconnect) =>
      disconnect.abort(),
    );
  },
);

When(
  'a program of the fleet is ended after {int} tokens',
  async function (this: AbandonedWorld, tokens: number) {
    const {gateway} = this.fleet.daemons[1]!.core;
    await readThenAct(this.fleet, tokens, (program) => {
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
