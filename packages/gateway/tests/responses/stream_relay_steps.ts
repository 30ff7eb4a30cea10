/** Steps for a relayed stream that waits for its client and for memory. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {VirtualClock} from '@marigoldpost/common';
import {
  BlockPool,
  type IncomingCall,
  type ResponseAllowance,
  StreamRelay,
  type TargetBody,
} from '@marigoldpost/gateway';

interface RelayedWorld extends World {
  isPaused: boolean;
  /** Tells the relay that what it waits for is ready. */
  ready: Map<string, () => void>;
}

Given(
  'a stream that is relayed to a client that reads late, while memory is full',
  function (this: RelayedWorld) {
    this.isPaused = false;
    this.ready = new Map();
    void StreamRelay.run({
      call: {
        signal: new AbortController().signal,
        isHeadSent: true,
        write: () => false,
        onceDrained: (onDrained: () => void) =>
          this.ready.set('client', onDrained),
      } as unknown as IncomingCall,
      body: createBody(this),
      headers: [],
      clock: VirtualClock.create(),
      allowance: {
        pool: BlockPool.create(2 ** 20),
        hold: (_bytes: number, onHeld: () => void) => {
          this.ready.set('memory', onHeld);
          return 'waiting';
        },
      } as unknown as ResponseAllowance,
      findLoss: () => undefined,
    });
  },
);

When(
  /^the (client|memory) is ready$/,
  function (this: RelayedWorld, awaited: string) {
    const onReady = this.ready.get(awaited);
    assert.ok(onReady);
    onReady();
  },
);

Then(
  /^the target is (not read|read)$/,
  function (this: RelayedWorld, state: string) {
    assert.equal(this.isPaused, state === 'not read');
  },
);

/** Creates a body of which one chunk arrives, and then nothing. */
function createBody(world: RelayedWorld): TargetBody {
  return {
    framing: 'chunked',
    response: {
      statusCode: 200,
      pause: () => (world.isPaused = true),
      resume: () => (world.isPaused = false),
      isPaused: () => world.isPaused,
    },
    read: (onChunk: (chunk: Buffer) => void) => {
      onChunk(Buffer.from('data: 1\n\n'));
      return new Promise(() => undefined);
    },
  } as unknown as TargetBody;
}
