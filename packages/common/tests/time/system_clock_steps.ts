/** Steps for the system clock. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {SystemClock, type Timer} from '@marigoldpost/common';
import {addCleanup} from '../fixtures/cleanup.js';

interface ClockWorld extends World {
  timer: Timer;
  hasFired: boolean;
  readonly socket: Socket;
  readonly peer: Socket;
  readonly events?: string[];
}

Given('a connected socket', connectSocket);

Given(
  'a connected socket whose data cancels a timer',
  async function (this: ClockWorld) {
    await connectSocket.call(this);
    this.socket.once('data', () => this.timer.cancel());
  },
);

When(
  /^a timer of (\S+) ms is set on the system clock$/,
  function (this: ClockWorld, delay: string) {
    setTimer(this, Number(delay));
  },
);

When(
  'data arrives before a timer of {int} ms, and the event loop is blocked for {int} ms',
  function (this: ClockWorld, delayMs: number, blockedMs: number) {
    const endMs = Date.now() + blockedMs;
    this.peer.write('data');
    setTimer(this, delayMs);
    while (Date.now() < endMs);
  },
);

Then(
  'it has not fired after {int} ms',
  async function (this: ClockWorld, waitMs: number) {
    await pause(waitMs);
    this.timer.cancel();
    assert.equal(this.hasFired, false);
  },
);

Then(
  'the timer has fired after the data was read',
  async function (this: ClockWorld) {
    await pause(50);
    assert.deepEqual(this.events, ['data', 'timer']);
  },
);

async function connectSocket(this: ClockWorld): Promise<void> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  const [[peer]] = (await Promise.all([
    once(server, 'connection'),
    once(socket, 'connect'),
  ])) as [[Socket], unknown];
  addCleanup(this, async () => {
    socket.destroy();
    peer.destroy();
    server.close();
    await once(server, 'close');
  });
  const events: string[] = [];
  socket.once('data', () => events.push('data'));
  Object.assign(this, {socket, peer, events});
}

function setTimer(world: ClockWorld, delayMs: number): void {
  world.hasFired = false;
  world.timer = SystemClock.create().setTimer(delayMs, () => {
    world.hasFired = true;
    world.events?.push('timer');
  });
}
