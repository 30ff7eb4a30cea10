/** Steps for callers that send bytes that are no request. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {createChatRequest, EntryFixture} from '../fixtures/entry_fixture.js';
import {answerTokens, type EntryWorld} from '../fixtures/entry_world.js';
import {createResponseScript} from '../fixtures/fake_gateway.js';

interface MalformedWorld extends EntryWorld {
  received: string;
}

const malformedAfterMs = 100;
const maxReadMs = 2000;

Given(
  'a caller server whose gateway delays each response by {int} ms',
  async function (this: MalformedWorld, delayMs: number) {
    this.fixture = await EntryFixture.start({});
    const respond = createResponseScript(answerTokens);
    this.fixture.gateway.script = async function* (call, signal) {
      await sleep(delayMs);
      yield* respond(call, signal);
    };
  },
);

When(
  'a caller sends a call, and bytes that are no request while it waits',
  async function (this: MalformedWorld) {
    const {method, path, headers = {}, body = ''} = createChatRequest();
    const lines = Object.entries(headers).map(
      ([name, text]) => `${name}: ${text}`,
    );
    const head = [
      `${method} ${path} HTTP/1.1`,
      'Host: entry',
      ...lines,
      'Content-Type: application/json',
      `Content-Length: ${Buffer.byteLength(body)}`,
    ];
    const {hostname, port} = new URL(this.fixture.origin);
    const socket = net.connect(Number(port), hostname);
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    this.received = '';
    socket.on('data', (bytes) => {
      this.received += bytes.toString();
    });
    socket.on('error', () => undefined);
    socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
    await sleep(malformedAfterMs);
    assert.equal(this.fixture.gateway.calls.length, 1);
    socket.write('no request\r\n\r\n');
    await Promise.race([closed, sleep(maxReadMs)]);
    socket.destroy();
  },
);

Then(
  'the caller gets the response to the call and no byte before it',
  function (this: MalformedWorld) {
    assert.match(this.received, /^HTTP\/1\.1 200 /);
    assert.ok(this.received.includes(answerTokens.join('')), this.received);
  },
);
