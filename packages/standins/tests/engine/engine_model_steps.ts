/** Steps for the timing model of a model engine. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type ModelId,
  type ProgramId,
  SeededRandom,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {blockTokens} from '@marigoldpost/scheduler';
import {
  EngineModel,
  type EngineModelOptions,
  type EngineModelRequest,
} from '@marigoldpost/standins';
import type {EngineEnd} from '@marigoldpost/targets';
import fc from 'fast-check';

const propertySeed = 20261203;
const firstProgram = toId<ProgramId>('dc.0.a');
const secondProgram = toId<ProgramId>('dc.0.b');

class Recorder {
  readonly lines: string[] = [];
  ready = 0;
  firstAtMs: number | undefined;
  end: EngineEnd | undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly name = '',
  ) {}

  onTokens(ready: number): void {
    this.firstAtMs ??= this.clock.nowMs();
    this.ready = ready;
    this.lines.push(`${this.clock.nowMs()} ${this.name} ${ready}`);
  }

  onEnd(end: EngineEnd): void {
    this.end = end;
    this.lines.push(`${this.clock.nowMs()} ${this.name} end`);
  }
}

interface EngineWorld extends World {
  clock: VirtualClock;
  engine: EngineModel;
  recorder: Recorder;
  cachedBefore: number;
}

function createEngine(
  clock: VirtualClock,
  options: Partial<EngineModelOptions> = {},
): EngineModel {
  const random = SeededRandom.create(1);
  return EngineModel.create({clock, random, options});
}

function createHashes(name: string, count: number): string[] {
  return Array.from({length: count}, (_unused, index) => `${name}${index}`);
}

function createRequest(
  fields: Partial<EngineModelRequest> & {streamId: string},
): EngineModelRequest {
  return {
    program: firstProgram,
    model: toId<ModelId>('m'),
    promptTokens: 10 * blockTokens,
    outputTokens: 1,
    finishReason: 'stop',
    blockHashes: createHashes('p', 10),
    ...fields,
  };
}

function runAll(clock: VirtualClock): void {
  while (clock.fireNext());
}

Given(
  "an engine model whose cache holds {int} of a prompt's 10 blocks",
  function (this: EngineWorld, cached: number) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock, {
      prefillMsPerToken: 0.2,
      prefillChunkTokens: 512,
      stepBaseMs: 14.4,
    });
    this.engine.importProgram(firstProgram, createHashes('p', cached));
  },
);

When('the engine model runs that prompt', function (this: EngineWorld) {
  this.recorder = new Recorder(this.clock);
  this.engine.startStream(createRequest({streamId: 's'}), this.recorder);
  runAll(this.clock);
});

Then(
  'the engine model counts {int} blocks as cached',
  function (this: EngineWorld, cached: number) {
    assert.equal(this.recorder.end?.cachedTokens, cached * blockTokens);
  },
);

Then(
  "the engine model's first token comes after {int} ms",
  function (this: EngineWorld, expectedMs: number) {
    assert.equal(Math.round(this.recorder.firstAtMs ?? -1), expectedMs);
  },
);

interface Arrival {
  readonly gapMs: number;
  readonly prefix: number;
  readonly blocks: number;
  readonly outputTokens: number;
  readonly action: 'run' | 'cancel' | 'release' | 'clear';
}

const arrivals = fc.array(
  fc.record<Arrival>({
    gapMs: fc.integer({min: 0, max: 400}),
    prefix: fc.integer({min: 0, max: 3}),
    blocks: fc.integer({min: 1, max: 12}),
    outputTokens: fc.integer({min: 1, max: 90}),
    action: fc.constantFrom('run', 'run', 'run', 'cancel', 'release', 'clear'),
  }),
  {maxLength: 40},
);

function applyArrival(
  engine: EngineModel,
  arrival: Arrival,
  index: number,
  recorder: Recorder,
): void {
  const program = arrival.prefix % 2 === 0 ? firstProgram : secondProgram;
  if (arrival.action === 'release') engine.releaseProgram(program);
  if (arrival.action === 'clear') engine.clearCache();
  const promptTokens = arrival.blocks * blockTokens;
  const total = promptTokens + arrival.outputTokens;
  const blocks = Math.floor(total / blockTokens);
  engine.startStream(
    createRequest({
      streamId: `s${index}`,
      program,
      promptTokens,
      outputTokens: arrival.outputTokens,
      blockHashes: createHashes(`p${arrival.prefix}.`, blocks),
    }),
    recorder,
  );
  if (arrival.action === 'cancel') engine.cancelStream(`s${index - 1}`);
}

function replay(
  sequence: readonly Arrival[],
  check: (engine: EngineModel) => void,
): string[] {
  const clock = VirtualClock.create();
  const engine = createEngine(clock, {totalBlocks: 20, maxRunning: 3});
  const recorder = new Recorder(clock);
  let atMs = 0;
  sequence.forEach((arrival, index) => {
    atMs += arrival.gapMs;
    clock.setTimer(atMs, () => applyArrival(engine, arrival, index, recorder));
  });
  while (clock.fireNext()) check(engine);
  assert.equal(engine.getCurrentLoad().running, 0);
  assert.equal(engine.getCurrentLoad().waiting, 0);
  return recorder.lines;
}

Then(
  'for any engine load used and free blocks add up to the total',
  function () {
    const property = fc.property(arrivals, (sequence) => {
      replay(sequence, (engine) => {
        const account = engine.getCacheAccount();
        assert.equal(account.usedBlocks + account.freeBlocks, 20);
        assert.ok(account.freeBlocks >= 0);
        assert.ok(account.wastedBlockMs <= account.heldBlockMs + 1e-6);
      });
    });
    fc.assert(property, {seed: propertySeed});
  },
);

Then(
  'for any engine load a second run reports identical tokens and times',
  function () {
    const property = fc.property(arrivals, (sequence) => {
      const ignore = () => undefined;
      assert.deepEqual(replay(sequence, ignore), replay(sequence, ignore));
    });
    fc.assert(property, {seed: propertySeed});
  },
);

Given(
  'an engine model that generates {int} tokens for stream {string}',
  function (this: EngineWorld, outputTokens: number, streamId: string) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock, {reportsEachToken: true});
    this.recorder = new Recorder(this.clock);
    const request = createRequest({streamId, outputTokens});
    this.engine.startStream(request, this.recorder);
  },
);

When(
  'the listener of stream {string} is removed after some tokens',
  function (this: EngineWorld, streamId: string) {
    while (this.recorder.ready < 5) this.clock.fireNext();
    this.engine.removeListener(streamId, this.recorder);
    while (this.clock.nowMs() < 400) this.clock.fireNext();
    assert.equal(this.recorder.ready, 5);
  },
);

When(
  'stream {string} is resumed on the engine model',
  function (this: EngineWorld, streamId: string) {
    this.recorder = new Recorder(this.clock);
    assert.ok(this.engine.resumeStream(streamId, this.recorder));
    assert.ok(this.recorder.ready > 5);
    runAll(this.clock);
  },
);

Then(
  'the engine model has run {int} generation and the answer has {int} tokens',
  function (this: EngineWorld, generations: number, tokens: number) {
    assert.equal(this.engine.getCacheEvents(0).events.length, generations);
    assert.equal(this.recorder.ready, tokens);
    assert.equal(this.recorder.end?.completionTokens, tokens);
  },
);

Given(
  'an engine model that runs one stream at a time and gets {string} and {string}',
  function (this: EngineWorld, first: string, second: string) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock, {maxRunning: 1});
    this.recorder = new Recorder(this.clock);
    const outputTokens = 1_000_000;
    const endless = createRequest({streamId: first, outputTokens});
    this.engine.startStream(endless, new Recorder(this.clock));
    this.engine.startStream(createRequest({streamId: second}), this.recorder);
    this.clock.skip(50);
  },
);

When(
  'stream {string} is cancelled on the engine model',
  function (this: EngineWorld, streamId: string) {
    assert.equal(this.engine.getCurrentLoad().waiting, 1);
    this.engine.cancelStream(streamId);
  },
);

Then(
  'stream {string} completes on the engine model',
  function (this: EngineWorld, _streamId: string) {
    runAll(this.clock);
    assert.ok(this.recorder.end !== undefined);
    assert.ok(this.clock.nowMs() < 1_000);
  },
);

Given(
  'an engine model that cached two programs with a shared prefix',
  function (this: EngineWorld) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock);
    const shared = createHashes('shared', 2);
    this.engine.importProgram(firstProgram, [...shared, 'a']);
    this.engine.importProgram(secondProgram, [...shared, 'b']);
  },
);

When(
  'the first program is released on the engine model',
  function (this: EngineWorld) {
    this.engine.releaseProgram(firstProgram);
  },
);

Then(
  'the engine model keeps the shared prefix and the second program',
  function (this: EngineWorld) {
    assert.deepEqual(this.engine.exportProgram(firstProgram), []);
    assert.equal(this.engine.getCurrentLoad().usedBlocks, 3);
    const second = [...createHashes('shared', 2), 'b'];
    assert.equal(this.engine.countCachedBlocks(second), 3);
  },
);

Given(
  'an engine model whose blocks are idle for 100 ms, hit, and idle for 300 ms',
  function (this: EngineWorld) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock);
    this.recorder = new Recorder(this.clock);
    this.engine.importProgram(firstProgram, createHashes('p', 10));
    this.clock.skip(100);
    this.engine.startStream(createRequest({streamId: 's'}), this.recorder);
    runAll(this.clock);
    this.clock.skip(300);
  },
);

Then(
  'the engine model counts only the last 300 ms as wasted',
  function (this: EngineWorld) {
    const {heldBlockMs, wastedBlockMs} = this.engine.getCacheAccount();
    assert.equal(Math.round(wastedBlockMs), 10 * 300);
    assert.equal(Math.round(heldBlockMs), Math.round(10 * this.clock.nowMs()));
  },
);

Given(
  'an engine model with event lag {int} ms, gap rate {float} and a log of {int} events',
  function (this: EngineWorld, lagMs: number, gap: number, ring: number) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock, {
      eventLagMs: lagMs,
      eventGapRate: gap,
      maxEvents: ring,
    });
  },
);

When(
  'the engine model stores 50 prompts one after the other',
  function (this: EngineWorld) {
    for (let index = 0; index < 50; index += 1) {
      this.engine.importProgram(firstProgram, createHashes(`e${index}.`, 1));
    }
  },
);

Then(
  'before the lag has passed no event of the engine model can be read',
  function (this: EngineWorld) {
    this.clock.skip(499);
    assert.deepEqual(this.engine.getCacheEvents(0).events, []);
  },
);

Then(
  "after the lag has passed {word} of the engine model's events can be read",
  function (this: EngineWorld, share: string) {
    this.clock.skip(1);
    const {events, floorSequence} = this.engine.getCacheEvents(0);
    const counts: Record<string, [number, number]> = {
      all: [50, 50],
      some: [10, 40],
      ten: [10, 10],
      none: [0, 0],
    };
    const [least, most] = counts[share] ?? [-1, -1];
    assert.ok(events.length >= least && events.length <= most);
    assert.equal(floorSequence, events[0]?.sequence ?? 51);
  },
);

Given(
  'an engine model with a load lag of {int} ms',
  function (this: EngineWorld, loadLagMs: number) {
    this.clock = VirtualClock.create();
    this.engine = createEngine(this.clock, {loadLagMs});
  },
);

When('a stream starts on the engine model', function (this: EngineWorld) {
  const outputTokens = 1_000;
  const request = createRequest({streamId: 's', outputTokens});
  this.engine.startStream(request, new Recorder(this.clock));
});

Then(
  'the engine model reports 0 running at first and 1 after the lag',
  function (this: EngineWorld) {
    this.clock.skip(999);
    assert.equal(this.engine.getLoad().running, 0);
    this.clock.skip(1);
    assert.equal(this.engine.getLoad().running, 1);
  },
);
