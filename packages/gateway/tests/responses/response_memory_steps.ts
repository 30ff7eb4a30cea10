/** Steps for the memory that responses share. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {ResponseMemory} from '@marigoldpost/gateway';
import fc from 'fast-check';

type Allowance = ReturnType<ResponseMemory['createAllowance']>;

interface MemoryWorld extends World {
  memory: ResponseMemory;
  others: Allowance[];
  waiting: Allowance[];
  result: string;
  isHeld: boolean;
}

interface ResponseModel {
  readonly bytes: number;
  readonly isLengthKnown: boolean;
  readonly chunkBytes: number;
  /** Rounds for which a client reads the response once it is whole. */
  readonly readRounds: number;
}

const propertySeed = 27;
const runs = 300;
const memoryBytes = 2 ** 20;
const shareBytes = memoryBytes / 8;
const endlessBytes = 2 ** 30;
/** More rounds than any mix needs. */
const maxRounds = 20_000;
const results: Record<string, string> = {
  'is held': 'held',
  waits: 'waiting',
  'is too large': 'too_large',
};

Given('a memory of {int} bytes', function (this: MemoryWorld, bytes: number) {
  this.memory = ResponseMemory.create(bytes);
  this.others = [];
});

Given(
  '{int} responses of unknown length that hold {int} bytes',
  function (this: MemoryWorld, count: number, bytes: number) {
    for (let index = 0; index < count; index++) {
      const other = this.memory.createAllowance();
      assert.equal(other.hold(bytes, assert.fail), 'held');
      this.others.push(other);
    }
  },
);

When(
  /^a response of (known|unknown) length asks for (\d+) bytes$/,
  function (this: MemoryWorld, kind: string, bytes: string) {
    const allowance = this.memory.createAllowance();
    const onHeld = () => {
      this.isHeld = true;
    };
    this.result =
      kind === 'known'
        ? allowance.reserve(Number(bytes), onHeld)
        : allowance.hold(Number(bytes), onHeld);
    this.isHeld = this.result === 'held';
  },
);

When(
  'the largest of the others grows to {int} bytes',
  function (this: MemoryWorld, bytes: number) {
    this.result = this.others[0]?.hold(bytes, assert.fail) ?? '';
  },
);

When(
  '{int} responses of known length wait for {int} bytes',
  function (this: MemoryWorld, count: number, bytes: number) {
    this.waiting = Array.from({length: count}, () =>
      this.memory.createAllowance(),
    );
    for (const allowance of this.waiting) {
      assert.equal(allowance.reserve(bytes, assert.fail), 'waiting');
    }
  },
);

Then(
  /^(?:it|that one) (is held|waits|is too large)$/,
  function (this: MemoryWorld, expected: string) {
    assert.equal(this.result, results[expected]);
  },
);

Then(
  'once one of the others has ended, it has its memory',
  function (this: MemoryWorld) {
    this.others[0]?.finish();
    this.others[0]?.release();
    assert.equal(this.isHeld, true);
  },
);

Then('the memory is full', function (this: MemoryWorld) {
  assert.equal(this.memory.isFull, true);
});

Then(
  'it is not full once those that wait have ended',
  function (this: MemoryWorld) {
    for (const allowance of this.waiting) allowance.release();
    assert.equal(this.memory.isFull, false);
  },
);

Then(
  'in any mix of responses of a memory of 1 MiB, each that fits is whole and no other holds memory at the end',
  function () {
    const size = fc.oneof(
      fc.integer({min: 0, max: 20_000}),
      fc.integer({min: 0, max: shareBytes}),
      fc.constant(endlessBytes),
    );
    const response = fc.record({
      bytes: size,
      isLengthKnown: fc.boolean(),
      chunkBytes: fc.integer({min: 500, max: 65_536}),
      readRounds: fc.integer({min: 0, max: 5}),
    });
    const mix = fc.array(response, {minLength: 1, maxLength: 80, size: 'max'});
    fc.assert(
      fc.property(mix, fc.integer(), (responses, order) => {
        playMix(responses, order);
      }),
      {seed: propertySeed, numRuns: runs},
    );
  },
);

/** Reads all responses by parts in a pseudo-random order. */
function playMix(responses: readonly ResponseModel[], order: number): void {
  const memory = ResponseMemory.create(memoryBytes);
  const open = new Set(
    responses.map((model) => new OpenResponse(memory, model)),
  );
  let state = order;
  for (let round = 0; open.size > 0; round++) {
    assert.ok(round < maxRounds, `${open.size} responses do not end`);
    for (const response of open) {
      state = (Math.imul(state, 1_664_525) + 1_013_904_223) | 0;
      if (state > 0) response.advance();
      assert.ok(memory.heldBytes <= memoryBytes, `${memory.heldBytes} held`);
      if (!response.hasEnded) continue;
      open.delete(response);
      const fits = response.model.bytes <= shareBytes;
      assert.equal(response.isWhole, fits);
    }
  }
  assert.equal(memory.heldBytes, 0);
  assert.equal(memory.waitingCount, 0);
}

class OpenResponse {
  hasEnded = false;
  isWhole = false;
  private received = 0;
  private hasBegun = false;
  private isPaused = false;
  private readRounds = 0;
  private readonly allowance: Allowance;

  constructor(
    memory: ResponseMemory,
    readonly model: ResponseModel,
  ) {
    this.allowance = memory.createAllowance();
  }

  advance(): void {
    if (this.isPaused || this.hasEnded) return;
    if (this.isWhole) this.readByClient();
    else if (this.model.isLengthKnown && !this.hasBegun) {
      this.update(
        this.allowance.reserve(this.model.bytes, () => this.resume()),
      );
    } else this.receive();
    this.hasBegun = true;
  }

  private receive(): void {
    const {bytes, chunkBytes, isLengthKnown} = this.model;
    if (this.received === bytes) {
      this.isWhole = true;
      this.allowance.finish();
      return;
    }
    this.received = Math.min(bytes, this.received + chunkBytes);
    if (isLengthKnown) return;
    this.update(this.allowance.hold(this.received, () => this.resume()));
  }

  private readByClient(): void {
    this.readRounds += 1;
    if (this.readRounds > this.model.readRounds) this.end();
  }

  private update(result: string): void {
    this.isPaused = result === 'waiting';
    if (result === 'too_large') this.end();
  }

  private resume(): void {
    this.isPaused = false;
  }

  private end(): void {
    this.allowance.release();
    this.hasEnded = true;
  }
}
