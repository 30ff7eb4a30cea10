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
  failures: number;
}

const heartbeats = 3;
const timeoutMs = 300;
// Longer than the transport waits before it aborts a failed session.
const settleMs = 1200;

const responders: Readonly<Record<string, (socket: Socket) => void>> = {
  'HTTP/1.1': (socket) => socket.write('HTTP/1.1 400 Bad Request\r\n\r\n'),
  'random bytes': (socket) => socket.write(Buffer.alloc(64, 0xa5)),
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
    const clock = SystemClock.create();
    const transport = ConnectPeerTransport.create({
      daemon: toId<DaemonId>('entry-1'),
      host: '127.0.0.1',
      port: 0,
      clock,
    });
    this.transport = transport;
    this.failures = 0;
    const {port} = this.foreign?.address() as AddressInfo;
    const peer = {
      daemon: toId<DaemonId>('entry-2'),
      address: `http://127.0.0.1:${port}`,
    };
    const request = {
      case: 'heartbeat',
      value: create(HeartbeatSchema, {}),
    } as const;
    for (let count = 0; count < heartbeats; count++) {
      await transport
        .ask(peer, request, {timeoutMs})
        .catch(() => (this.failures += 1));
    }
    // An unhandled session error would fail the step during this wait.
    await clock.sleep(settleMs);
  },
);

Then(
  'each heartbeat to the foreign server fails',
  function (this: ForeignWorld) {
    assert.equal(this.failures, heartbeats);
  },
);

After(async function (this: ForeignWorld) {
  await this.transport?.stop();
  for (const socket of this.sockets ?? []) socket.destroy();
  this.foreign?.close();
});
