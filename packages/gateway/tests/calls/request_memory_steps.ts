/** Steps for the memory that request bodies occupy. */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import {readBody, RequestAllowance, RequestMemory} from '@marigoldpost/gateway';

interface SentBody {
  readonly stream: PassThrough;
  readonly allowance: RequestAllowance;
  readonly read: Promise<Buffer>;
  error: unknown;
}

interface MemoryWorld extends World {
  requestMemory: RequestMemory;
  bodies: SentBody[];
}

/** More than any body here. */
const maxBytes = 1_000_000;

Given(
  'a memory for request bodies of {int} bytes',
  function (this: MemoryWorld, bytes: number) {
    this.requestMemory = RequestMemory.create(bytes);
    this.bodies = [];
  },
);

When(
  /^clients send (\d+) (sized|chunked) bodies of (\d+) bytes at a time, all but the last byte of each$/,
  async function (
    this: MemoryWorld,
    count: string,
    framing: string,
    bytes: string,
  ) {
    for (let index = 0; index < Number(count); index++) {
      const length = framing === 'sized' ? Number(bytes) : undefined;
      const body = start(this, length);
      body.stream.write(Buffer.alloc(Number(bytes) - 1));
    }
    await flushEventLoop();
  },
);

When(
  'a client announces a body of {int} bytes and sends nothing of it',
  async function (this: MemoryWorld, bytes: number) {
    start(this, bytes);
    await flushEventLoop();
  },
);

When('the last bytes arrive', async function (this: MemoryWorld) {
  for (const {stream, error} of this.bodies) {
    if (error === undefined) stream.end('x');
  }
  await flushEventLoop();
});

Then(
  'at most {int} bytes of request bodies are held',
  function (this: MemoryWorld, bytes: number) {
    const {heldBytes} = this.requestMemory;
    assert.ok(heldBytes <= bytes, `${heldBytes} bytes are held`);
    const buffered = this.bodies.reduce(
      (total, {error, allowance}) =>
        error === undefined ? total + allowance.heldBytes : total,
      0,
    );
    assert.ok(buffered <= bytes);
  },
);

Then(
  'at least {int} of the requests are rejected with overloaded',
  function (this: MemoryWorld, count: number) {
    const rejected = this.bodies.filter(({error}) =>
      isErrorOfKind(error, 'overloaded'),
    );
    assert.ok(rejected.length >= count, `${rejected.length} were rejected`);
  },
);

Then('all other bodies are read whole', async function (this: MemoryWorld) {
  const whole = this.bodies.filter(({error}) => error === undefined);
  assert.ok(whole.length >= 9, `${whole.length} bodies were read`);
  for (const {read} of whole) assert.equal((await read).byteLength, 10_000);
});

Then(
  '{int} further bodies of {int} bytes are read once the calls have ended',
  async function (this: MemoryWorld, count: number, bytes: number) {
    for (const {allowance} of this.bodies) allowance.release();
    assert.equal(this.requestMemory.heldBytes, 0);
    for (let index = 0; index < count; index++) {
      const body = start(this, bytes);
      body.stream.end(Buffer.alloc(bytes));
      assert.equal((await body.read).byteLength, bytes);
    }
  },
);

function start(world: MemoryWorld, length: number | undefined): SentBody {
  const stream = new PassThrough();
  const headers =
    length === undefined ? {} : {'content-length': String(length)};
  const request = Object.assign(stream, {headers});
  const allowance = RequestAllowance.create(world.requestMemory);
  const {signal} = new AbortController();
  const read = readBody(request as unknown as IncomingMessage, {
    maxBytes,
    signal,
    allowance,
  });
  const body: SentBody = {stream, allowance, read, error: undefined};
  read.catch((error: unknown) => {
    body.error = error;
    allowance.release();
  });
  world.bodies.push(body);
  return body;
}

async function flushEventLoop(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
