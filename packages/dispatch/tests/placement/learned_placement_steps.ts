/** Steps that replay a load with and without learned costs. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {replay, type ReplayResult} from './placement_replay.js';

interface ReplayWorld extends World {
  learned: ReplayResult;
  plain: ReplayResult;
}

const seed = 3;
const stepTimeoutMs = 30_000;
const percent = 100;

When(
  /^(\d+) programs a second come through (\d+) daemons before (\d+) engines of (\d+) slots, the slowest ([\d.]+) times as slow as the fastest(?:, and (no report arrives|reports stop after 4 s))?$/,
  {timeout: stepTimeoutMs},
  async function (
    this: ReplayWorld,
    programs: string,
    daemons: string,
    engines: string,
    slots: string,
    spread: string,
    fault: string | null,
  ) {
    const reportsEndMs = fault === null ? undefined : getReportsEndMs(fault);
    const options = {
      programsPerS: Number(programs),
      daemons: Number(daemons),
      engines: Number(engines),
      slots: Number(slots),
      spread: Number(spread),
      seed,
      ...(reportsEndMs === undefined ? {} : {reportsEndMs}),
    };
    this.learned = await replay({...options, learns: true});
    this.plain = await replay({...options, learns: false});
    this.log(JSON.stringify({learned: this.learned, plain: this.plain}));
  },
);

Then(
  'with learned costs at least {int} of 100 programs more end in time than without',
  function (this: ReplayWorld, more: number) {
    const gain = this.learned.inAimShare - this.plain.inAimShare;
    assert.ok(gain * percent >= more, `${gain * percent} of 100 more`);
  },
);

Then(
  'with learned costs as many programs end in time as without',
  function (this: ReplayWorld) {
    assert.equal(this.learned.inAimShare, this.plain.inAimShare);
  },
);

function getReportsEndMs(fault: string): number {
  return fault === 'no report arrives' ? 0 : 4000;
}
