/** Steps for the learned work of requests. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  type CompletedRun,
  type RequestSize,
  WorkModel,
} from '@marigoldpost/dispatch';
import fc from 'fast-check';

interface ModelWorld extends World {
  model: WorkModel;
}

const propertySeed = 7;
const kind = 'a';
const tokenMs = 1.3;
const hourMs = 3_600_000;

When(
  'the model learns from the runs {string}',
  function (this: ModelWorld, runs: string) {
    this.model = WorkModel.create();
    for (const group of runs.split(', ')) {
      const [texts = '', times = '1'] = group.split(' x ');
      for (let run = 0; run < Number(times); run++) {
        for (const text of texts.split(' ')) {
          if (text !== 'none') this.model.recordRun(parseRun(text));
        }
      }
    }
  },
);

When(
  'the model learns from {int} runs of {int} tokens of each of {int} kinds',
  function (this: ModelWorld, runs: number, tokens: number, kinds: number) {
    this.model = WorkModel.create();
    for (let index = 0; index < kinds; index++) {
      for (let run = 0; run < runs; run++) {
        this.model.recordRun(parseRun(`kind-${index}:9:9:${tokens}`));
      }
    }
  },
);

When(
  'the model learns from {int} calls of {int} ms',
  function (this: ModelWorld, calls: number, durationMs: number) {
    this.model = WorkModel.create();
    for (let call = 0; call < calls; call++) {
      this.model.recordCall(kind, durationMs);
    }
  },
);

Then(
  'the model reads a prompt token in {float} ms to within 1 of 100',
  function (this: ModelWorld, expectedMs: number) {
    assertNear(this.model.prefillMsPerToken, expectedMs, 0.01);
  },
);

Then(
  'the model expects {int} generated tokens of a request {string} to within 2 of 100',
  function (this: ModelWorld, expected: number, request: string) {
    const tokens = this.model.estimateOutputTokens(parseSize(request));
    assertNear(tokens, expected, 0.02);
  },
);

Then(
  'the model expects {int} ms for a call',
  function (this: ModelWorld, expectedMs: number) {
    assertNear(this.model.getCallMs(kind), expectedMs, 0.02);
  },
);

Then(
  'more uncached tokens and larger hints never mean less work for the model',
  function (this: ModelWorld) {
    const tokens = fc.nat(300_000);
    const hints = fc.nat(10_000);
    const property = fc.property(
      tokens,
      tokens,
      hints,
      hints,
      (uncached, moreUncached, hint, moreHint) => {
        const getWorkMs = (outputHintTokens: number, uncachedTokens: number) =>
          this.model.estimateWorkMs({kind, outputHintTokens}, uncachedTokens);
        const less = getWorkMs(hint, uncached);
        const more = getWorkMs(hint + moreHint, uncached + moreUncached);
        return Number.isFinite(more) && less >= 0 && more >= less;
      },
    );
    fc.assert(property, {seed: propertySeed});
  },
);

Then(
  'a prompt of any length and a hint of any size mean at most an hour of work for the model',
  function (this: ModelWorld) {
    const size = {kind, outputHintTokens: Number.MAX_VALUE};
    const workMs = this.model.estimateWorkMs(size, Number.MAX_VALUE);
    assert.ok(workMs <= hourMs, `${workMs} ms`);
  },
);

function parseRun(text: string): CompletedRun {
  const [name = '', uncached, firstEvent, output, hint] = text.split(':');
  const size = parseSize(hint === undefined ? name : `${name} ${hint}`);
  return {
    ...size,
    uncachedTokens: Number(uncached),
    firstEventMs: Number(firstEvent),
    outputTokens: Number(output),
    tokenMs,
  };
}

function parseSize(text: string): RequestSize {
  const [name = '', ...fields] = text.split(' ');
  const values = new Map(
    fields.map((field) => {
      const [key = '', value] = field.split('=');
      return [key, Number(value)];
    }),
  );
  const outputHintTokens = values.get('hint');
  return {kind: name, outputHintTokens, maxOutputTokens: values.get('max')};
}

function assertNear(actual: number, expected: number, tolerance: number): void {
  const isNear = Math.abs(actual - expected) <= Math.abs(expected) * tolerance;
  assert.ok(isNear, `${actual} instead of ${expected}`);
}
