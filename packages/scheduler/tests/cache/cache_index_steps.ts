/** Step definitions for the index of cached blocks. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type ModelId, type ProgramId, toId} from '@marigoldpost/common';
import {
  blockTokens,
  CacheIndex,
  charactersPerToken,
  getBlockHashes,
} from '@marigoldpost/scheduler';
import type {CacheEvent} from '@marigoldpost/targets';
import fc from 'fast-check';

const propertySeed = 20261205;
const program = toId<ProgramId>('dc.0.a');
const blocks = ['p0', 'p1', 'p2', 'p3'];

interface IndexWorld extends World {
  index: CacheIndex;
}

function createHashes(name: string, count: number): string[] {
  return Array.from({length: count}, (_unused, index) => `${name}${index}`);
}

function createEvent(
  sequence: number,
  kind: CacheEvent['kind'],
  blockHashes: readonly string[],
): CacheEvent {
  return {sequence, kind, blockHashes};
}

function countCachedOn(index: CacheIndex, slot: number): number | undefined {
  const counts = new Uint32Array(4);
  index.countCachedBlocks(blocks, counts);
  return counts[slot];
}

Then(
  'for any dispatches and events the cache index stays within its maximum size',
  function () {
    const use = fc.record({
      slot: fc.integer({min: 0, max: 3}),
      prefix: fc.integer({min: 0, max: 5}),
      count: fc.integer({min: 1, max: 30}),
      isEvent: fc.boolean(),
    });
    const property = fc.property(fc.array(use), (uses) => {
      const maxEntries = 40;
      const index = CacheIndex.create({maxEntries});
      uses.forEach(({slot, prefix, count, isEvent}, position) => {
        const hashes = createHashes(`p${prefix}.`, count);
        const event = createEvent(position + 1, 'stored', hashes);
        if (isEvent) index.addEvents(slot, [event]);
        else index.addDispatchedBlocks(slot, program, hashes);
        assert.ok(index.size <= maxEntries);
        assert.ok(index.size > 0);
      });
    });
    fc.assert(property, {seed: propertySeed});
  },
);

Given(
  'a cache index that uses {}',
  function (this: IndexWorld, sources: string) {
    this.index = CacheIndex.create({
      usesOwnDispatches: sources !== 'events',
      usesEvents: sources !== 'own dispatches',
    });
  },
);

When(
  'a call with 4 blocks is dispatched to target 0 and target 1 stores the first 2',
  function (this: IndexWorld) {
    this.index.addDispatchedBlocks(0, program, blocks);
    const stored = createEvent(1, 'stored', blocks.slice(0, 2));
    this.index.addEvents(1, [stored]);
  },
);

When('target 0 reports {}', function (this: IndexWorld, event: string) {
  const events: Record<string, CacheEvent[]> = {
    'the last two removed': [createEvent(1, 'removed', blocks.slice(2))],
    'a cleared cache': [createEvent(1, 'cleared', [])],
    nothing: [],
  };
  this.index.addEvents(0, events[event] as CacheEvent[]);
});

Then(
  'the cache index counts {int} blocks on target 0 and {int} on target 1',
  function (this: IndexWorld, first: number, second: number) {
    assert.equal(countCachedOn(this.index, 0), first);
    assert.equal(countCachedOn(this.index, 1), second);
  },
);

Given(
  'a cache index {word} estimated evictions and a target with a capacity of {int} blocks',
  function (this: IndexWorld, mode: string, capacity: number) {
    this.index = CacheIndex.create({estimatesEvictions: mode === 'with'});
    this.index.setCapacity(0, capacity);
  },
);

When(
  'a call with 4 blocks is dispatched there and then one with {int} newer blocks',
  function (this: IndexWorld, newer: number) {
    this.index.addDispatchedBlocks(0, program, blocks);
    this.index.addDispatchedBlocks(0, program, createHashes('n', newer));
  },
);

Then(
  "the cache index counts {int} of the first call's blocks",
  function (this: IndexWorld, count: number) {
    assert.equal(countCachedOn(this.index, 0), count);
  },
);

Then(
  'prompts that differ from their second block on share only the first hash',
  function () {
    const model = toId<ModelId>('m');
    const block = 'x'.repeat(blockTokens * charactersPerToken);
    const left = getBlockHashes(model, `${block}left${block}${block}`);
    const right = getBlockHashes(model, `${block}right${block}${block}`);
    assert.equal(left.length, 3);
    assert.equal(left[0], right[0]);
    assert.notEqual(left[1], right[1]);
    assert.notEqual(left[2], right[2]);
    const other = getBlockHashes(toId<ModelId>('n'), block);
    assert.notEqual(other[0], left[0]);
  },
);
