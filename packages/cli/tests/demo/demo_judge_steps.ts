/** Steps for the demo's verdict. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DemoEvidence,
  type DemoVerdict,
  evaluateDemo,
  isClean,
  type ProgramEvidence,
} from '@marigoldpost/cli';

interface VerdictWorld extends World {
  evidence: DemoEvidence;
}

const budgetTokens = 1000;

function createProgram(
  program: string,
  root: string,
  text: string,
): ProgramEvidence {
  const expected = [
    {role: 'user', content: `question of ${text}`},
    {role: 'assistant', content: `answer to ${text}`},
  ];
  return {
    program,
    isFinished: true,
    failure: '',
    latencyMs: 10,
    expected,
    history: [...expected],
    root,
  };
}

function createEvidence(): DemoEvidence {
  return {
    programs: [
      createProgram('p1', 'p1', 'one'),
      createProgram('p2', 'p1', 'two'),
    ],
    bookings: [
      {key: 'k1', result: 'confirmed'},
      {key: 'k2', result: 'not_run'},
      {key: 'k3', result: 'unknown'},
    ],
    executedKeys: ['k1', 'k3'],
    engineTokens: [
      {program: 'p1', tokens: 500},
      {program: 'p2', tokens: 500},
    ],
    budgetTokens,
    heldBlockMs: 10,
    wastedBlockMs: 1,
  };
}

function replaceFirstHistory(
  evidence: DemoEvidence,
  change: (first: ProgramEvidence) => ProgramEvidence['history'],
): DemoEvidence {
  const [first, ...others] = evidence.programs;
  assert.ok(first);
  const changed = {...first, history: change(first)};
  return {...evidence, programs: [changed, ...others]};
}

const faults: Readonly<
  Record<string, (evidence: DemoEvidence) => DemoEvidence>
> = {
  'runs a booking twice': (evidence) => ({
    ...evidence,
    executedKeys: [...evidence.executedKeys, 'k1'],
  }),
  'confirms a booking that it never ran': (evidence) => ({
    ...evidence,
    executedKeys: ['k3'],
  }),
  'loses the last turn of a history': (evidence) =>
    replaceFirstHistory(evidence, () => []),
  'mixes two histories': (evidence) =>
    replaceFirstHistory(evidence, () => evidence.programs[1]?.history),
  'repeats a turn in a history': (evidence) =>
    replaceFirstHistory(evidence, ({expected}) => [...expected, ...expected]),
  'lets a program and sub-agent exceed a budget': (evidence) => ({
    ...evidence,
    engineTokens: [...evidence.engineTokens, {program: 'p2', tokens: 1}],
  }),
  'reports an executed booking as not run': (evidence) => ({
    ...evidence,
    executedKeys: [...evidence.executedKeys, 'k2'],
  }),
};

Given(
  'the evidence of a demo run without faults',
  function (this: VerdictWorld) {
    this.evidence = createEvidence();
  },
);

When(/^a faulty build (.+)$/, function (this: VerdictWorld, name: string) {
  const fault = faults[name];
  assert.ok(fault, `no fault "${name}"`);
  this.evidence = fault(this.evidence);
});

Then("the demo's verdict is clean", function (this: VerdictWorld) {
  assert.equal(isClean(evaluateDemo(this.evidence)), true);
});

Then("the demo's verdict is not clean", function (this: VerdictWorld) {
  assert.equal(isClean(evaluateDemo(this.evidence)), false);
});

Then(
  "the demo's verdict counts 1 in {string}",
  function (this: VerdictWorld, count: keyof DemoVerdict) {
    assert.equal(evaluateDemo(this.evidence)[count], 1);
  },
);
