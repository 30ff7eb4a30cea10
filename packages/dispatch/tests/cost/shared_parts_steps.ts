/** Steps for parts that many prompts begin with. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {toId} from '@marigoldpost/common';
import {SharedParts} from '@marigoldpost/dispatch';
import type {PromptPart, PromptPartId} from '@marigoldpost/sites';

interface PartsWorld extends World {
  sharedParts: SharedParts;
}

const interval = 100;

When(
  'chains begin with the prompts {string}',
  function (this: PartsWorld, prompts: string) {
    this.sharedParts = SharedParts.create();
    for (const prompt of prompts.split(', ')) {
      this.sharedParts.recordChain(parsePrompt(prompt));
    }
  },
);

When(
  '{int} chains begin with parts of their own',
  function (this: PartsWorld, count: number) {
    recordOwnParts(this, count, undefined);
  },
);

When(
  '{int} chains begin with parts of their own, and every hundredth with {string}',
  function (this: PartsWorld, count: number, prompt: string) {
    recordOwnParts(this, count, prompt);
  },
);

Then(
  '{int} tokens of the prompt {string} count as cached where {int} are known to be',
  function (this: PartsWorld, expected: number, prompt: string, known: number) {
    const parts = parsePrompt(prompt);
    const tokens = this.sharedParts.estimateCachedTokens(parts, known);
    assert.equal(tokens, expected);
  },
);

function recordOwnParts(
  {sharedParts}: PartsWorld,
  count: number,
  prompt: string | undefined,
): void {
  for (let index = 0; index < count; index++) {
    sharedParts.recordChain(parsePrompt(`first-${index}:10 last-${index}:10`));
    const isDue = prompt !== undefined && index % interval === 0;
    if (isDue) sharedParts.recordChain(parsePrompt(prompt));
  }
}

function parsePrompt(text: string): PromptPart[] {
  if (text === 'none') return [];
  return text.split(' ').map((part) => {
    const [name = '', tokens] = part.split(':');
    return {id: toId<PromptPartId>(name), tokens: Number(tokens)};
  });
}
