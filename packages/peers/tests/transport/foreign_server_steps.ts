/** Steps for peer addresses that another program listens on. */
import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, SystemClock, toId} from '@marigoldpost/common';
import {
  ConnectPeerTransport,
  HeartbeatSchema,
  type PeerTransport,
} from '@marigoldpost/peers';

interface ForeignWorld extends World {
  foreign?: Server;
  transport?: PeerTransport;
  sockets: Set<Socket>;
  sent: number;
  failures: number;
}

const timeoutMs = 300;
// Longer than the transport waits before it aborts a failed session.
const settleMs = 1200;

// Frames without payload: length, type, flags and stream.
const settingsFrame = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);
const misplacedSettingsFrame = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 1]);

const responders: Readonly<Record<string, (socket: Socket) => void>> = {
  'HTTP/1.1': (socket) => socket.write('HTTP/1.1 400 Bad Request\r\n\r\n'),
  'random bytes': (socket) => socket.write(Buffer.alloc(64, 0xa5)),
  'a protocol error': (socket) =>
    socket.write(Buffer.concat([settingsFrame, misplacedSettingsFrame])),
  nothing: () => undefined,
  'an end at once': (socket) => socket.end(),
};

Given(
  /^a foreign server that answers (.+)$/,
  async function (this: ForeignWorld, answer: string) {
    this.sockets = new Set();
    const server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      responders[answer]?.(socket);
    });
    this.foreign = server;
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
  },
);

When(
  'a Connect transport sends three heartbeats to the foreign server',
  async function (this: ForeignWorld) {
    createTransport(this);
    await sendHeartbeats(this, 3);
    // An unhandled session error would fail the step during this wait.
    await SystemClock.create().sleep(settleMs);
  },
);

When(
  'a Connect transport stops as soon as its heartbeat to the foreign server has failed',
  async function (this: ForeignWorld) {
    const transport = createTransport(this);
    await sendHeartbeats(this, 1);
    await transport.stop();
    await SystemClock.create().sleep(settleMs);
  },
);

Then(
  'each heartbeat to the foreign server fails',
  function (this: ForeignWorld) {
    assert.equal(this.failures, this.sent);
  },
);

function createTransport(world: ForeignWorld): PeerTransport {
  const transport = ConnectPeerTransport.create({
    daemon: toId<DaemonId>('entry-1'),
    host: '127.0.0.1',
    port: 0,
    clock: SystemClock.create(),
  });
  world.transport = transport;
  return transport;
}

async function sendHeartbeats(
  world: ForeignWorld,
  count: number,
): Promise<void> {
  const {port} = world.foreign?.address() as AddressInfo;
  const peer = {
    daemon: toId<DaemonId>('entry-2'),
    address: `http://127.0.0.1:${port}`,
  };
  const request = {
    case: 'heartbeat',
    value: create(HeartbeatSchema, {}),
  } as const;
  world.sent = count;
  world.failures = 0;
  for (let index = 0; index < count; index++) {
    await world.transport
      ?.ask(peer, request, {timeoutMs})
      .catch(() => (world.failures += 1));
  }
}

After(async function (this: ForeignWorld) {
  await this.transport?.stop();
  for (const socket of this.sockets ?? []) socket.destroy();
  this.foreign?.close();
});
