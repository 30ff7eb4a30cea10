/** Steps for the message transport, against real sockets. */
import assert from 'node:assert/strict';
import {type AddressInfo, connect, createServer, Socket} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {After, Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type ErrorKind,
  isErrorOfKind,
  MarigoldpostError,
  SystemClock,
  toId,
} from '@marigoldpost/common';
import {
  ConfigTextSchema,
  FetchConfigSchema,
  type MessageHandler,
  MessageTransport,
  type PeerAddress,
  type PeerReplyBody,
  type PeerRequestBody,
  RelayOperationSchema,
  ReserveReplySchema,
  ReserveTokensSchema,
} from '@marigoldpost/peers';

interface MessageWorld extends World {
  client: MessageTransport;
  peer: PeerAddress;
  cleanups: Array<() => void>;
  replies: PeerReplyBody[];
  results: Array<PromiseSettledResult<PeerReplyBody>>;
  attemptCount: number;
}

const host = '127.0.0.1';
const clock = SystemClock.create();
const peerId = toId<DaemonId>('peer');
/** Exceeds the range of a 32-bit field. */
const tooLargeNumber = 2 ** 32;

After(function (this: MessageWorld) {
  for (const cleanup of this.cleanups ?? []) cleanup();
});

Given(
  'a message peer that answers in reverse order of arrival',
  async function (this: MessageWorld) {
    let held: Array<() => void> = [];
    await serve(this, async (_sender, request) => {
      await new Promise<void>((resolve) => {
        held.push(resolve);
        setTimeout(() => {
          for (const release of held.toReversed()) release();
          held = [];
        }, 20);
      });
      return toReply(getNumber(request));
    });
  },
);

Given(
  /^a message peer that (refuses|never answers|is not there)$/,
  async function (this: MessageWorld, does: string) {
    await serve(this, (_sender, request) => {
      if (does === 'never answers') return new Promise(() => undefined);
      if (does === 'refuses') {
        throw MarigoldpostError.create('limit_reached', 'too many');
      }
      return Promise.resolve(toReply(getNumber(request)));
    });
    if (does === 'is not there') {
      for (const cleanup of this.cleanups) cleanup();
      startClient(this);
    }
  },
);

Given(
  /^a message peer that (closes the connection|sends arbitrary bytes)$/,
  async function (this: MessageWorld, does: string) {
    await serveBytes(this, (socket) => {
      if (does === 'closes the connection') socket.destroy();
      else socket.write(Buffer.alloc(64, 0xff));
    });
  },
);

Given(
  'a message peer whose first connection never answers',
  async function (this: MessageWorld) {
    let connections = 0;
    const answering = MessageTransport.create({
      daemon: peerId,
      host,
      port: 0,
      clock,
    });
    await answering.start((_sender, request) =>
      Promise.resolve(toReply(getNumber(request))),
    );
    const {port} = new URL(answering.getAddress().address);
    await serveBytes(this, (socket, chunk, isFirst) => {
      if (isFirst) connections += 1;
      if (connections === 1) return;
      void forward(socket, chunk, Number(port));
    });
    this.cleanups.push(() => answering.stop());
  },
);

Given(
  'a message peer after whose reply the event loop is blocked for {int} ms',
  async function (this: MessageWorld, blockedMs: number) {
    await serve(this, (_sender, request) => {
      // Runs once the reply has been written, before it is read.
      setImmediate(() => {
        const endMs = Date.now() + blockedMs;
        while (Date.now() < endMs);
      });
      return Promise.resolve(toReply(getNumber(request)));
    });
  },
);

Given(
  'a message peer that replies with {int} bytes',
  async function (this: MessageWorld, bytes: number) {
    await serve(this, () => Promise.resolve(toReply(1, 'x'.repeat(bytes))));
  },
);

Given(
  'a message peer that answers after {int} ms',
  async function (this: MessageWorld, delayMs: number) {
    await serve(this, async (_sender, request) => {
      await clock.sleep(delayMs);
      return toReply(getNumber(request));
    });
  },
);

Given(
  'a message peer whose first reply has {int} bytes',
  async function (this: MessageWorld, bytes: number) {
    await serve(this, async (_sender, request) => {
      const number = getNumber(request);
      if (number === 0) return toReply(number, 'x'.repeat(bytes));
      await clock.sleep(100);
      return toReply(number);
    });
  },
);

Given(
  'a message peer whose first reply cannot be encoded',
  async function (this: MessageWorld) {
    await serve(this, async (_sender, request) => {
      const number = getNumber(request);
      if (number === 0) {
        const reply = {heldTokens: tooLargeNumber};
        return {case: 'reserve', value: create(ReserveReplySchema, reply)};
      }
      await clock.sleep(100);
      return toReply(number);
    });
  },
);

Given(
  /^a message peer whose replies of (\d+) bytes (?:take (\d+) ms|stop after (\d+))$/,
  async function (
    this: MessageWorld,
    bytes: string,
    takeMs: string | null,
    stopAfter: string | null,
  ) {
    const answering = MessageTransport.create({
      daemon: peerId,
      host,
      port: 0,
      clock,
    });
    await answering.start(() =>
      Promise.resolve(toReply(1, 'x'.repeat(Number(bytes)))),
    );
    const {port} = new URL(answering.getAddress().address);
    const parts = 12;
    const partBytes = Math.ceil(Number(bytes) / parts) + 100;
    await serveBytes(this, (socket, chunk) => {
      const upstream = connect({host, port: Number(port)});
      upstream.write(chunk);
      const received: Buffer[] = [];
      upstream.on('data', (part: Buffer) => received.push(part));
      // The whole reply has arrived from the other peer by then.
      setTimeout(() => {
        const reply = Buffer.concat(received);
        upstream.destroy();
        if (stopAfter !== null) {
          socket.write(reply.subarray(0, Number(stopAfter)));
          return;
        }
        for (let part = 0; part < parts; part++) {
          const start = part * partBytes;
          const slice = reply.subarray(start, start + partBytes);
          setTimeout(
            () => socket.write(slice),
            (part * Number(takeMs)) / parts,
          );
        }
      }, 150);
    });
    this.cleanups.push(() => answering.stop());
  },
);

Given(
  'a message peer to which the first {int} connection attempts are lost',
  async function (this: MessageWorld, lostCount: number) {
    await serve(this, (_sender, request) =>
      Promise.resolve(toReply(getNumber(request))),
    );
    this.attemptCount = 0;
    this.client = MessageTransport.create({
      daemon: toId<DaemonId>('client'),
      host,
      port: 0,
      clock,
      connect: (address) => {
        this.attemptCount += 1;
        if (this.attemptCount > lostCount) return connect(address);
        // Buffers what is written, as a socket whose attempt was lost.
        return Object.assign(new Socket(), {connecting: true});
      },
    });
    this.cleanups.push(() => this.client.stop());
  },
);

When(
  '{int} message requests are sent at once, with a time limit of {int} ms',
  async function (this: MessageWorld, count: number, timeoutMs: number) {
    this.replies = await Promise.all(
      Array.from({length: count}, (_none, index) =>
        ask(this, index, timeoutMs),
      ),
    );
  },
);

Then(
  '{int} connections were attempted',
  function (this: MessageWorld, count: number) {
    assert.equal(this.attemptCount, count);
  },
);

Then(
  'no connection is attempted in the next {int} ms',
  async function (this: MessageWorld, elapsedMs: number) {
    const {attemptCount} = this;
    await clock.sleep(elapsedMs);
    assert.equal(this.attemptCount, attemptCount);
  },
);

When(
  '{int} message requests are sent at once',
  async function (this: MessageWorld, count: number) {
    this.replies = await Promise.all(
      Array.from({length: count}, (_none, index) => ask(this, index, 2000)),
    );
  },
);

When(
  /^a message request (?:of (\d+) bytes|that cannot be encoded) and another one are sent at once$/,
  async function (this: MessageWorld, bytes: string | null) {
    const text = {operationJson: 'x'.repeat(Number(bytes))};
    const request: PeerRequestBody =
      bytes === null
        ? {
            case: 'reserveTokens',
            value: create(ReserveTokensSchema, {tokens: tooLargeNumber}),
          }
        : {case: 'relayOperation', value: create(RelayOperationSchema, text)};
    const other = ask(this, 1, 2000);
    const sent = this.client.ask(this.peer, request, 2000);
    this.results = await Promise.allSettled([sent, other]);
  },
);

When(
  '{int} message requests are sent at once and settle',
  async function (this: MessageWorld, count: number) {
    const asked = Array.from({length: count}, (_none, index) =>
      ask(this, index, 2000),
    );
    this.results = await Promise.allSettled(asked);
  },
);

When(
  /^(?:a|another) message request is sent with a time limit of (\d+) ms$/,
  async function (this: MessageWorld, timeoutMs: string) {
    const asked = ask(this, 1, Number(timeoutMs));
    const [result] = await Promise.allSettled([asked]);
    this.results = [...(this.results ?? []), result];
  },
);

Then('each message request has its own reply', function (this: MessageWorld) {
  for (const [index, reply] of this.replies.entries()) {
    assert.ok(reply.case === 'config');
    assert.equal(reply.value.version, BigInt(index));
  }
});

Then(
  'the message request fails with {word}',
  function (this: MessageWorld, kind: ErrorKind) {
    const [result] = this.results;
    assert.ok(result?.status === 'rejected');
    assert.ok(isErrorOfKind(result.reason, kind), String(result.reason));
  },
);

Then('the message request has its reply', function (this: MessageWorld) {
  const [result] = this.results;
  assert.equal(result?.status, 'fulfilled');
});

Then('the other message request has its reply', function (this: MessageWorld) {
  assert.equal(this.results[0]?.status, 'rejected');
  assert.equal(this.results[1]?.status, 'fulfilled');
});

Then(
  'the reply of the message peer has {int} bytes',
  function (this: MessageWorld, bytes: number) {
    const [result] = this.results;
    assert.ok(result?.status === 'fulfilled');
    assert.ok(result.value.case === 'config');
    assert.equal(result.value.value.objectJson.length, bytes);
  },
);

async function serve(
  world: MessageWorld,
  handler: MessageHandler,
): Promise<void> {
  const server = MessageTransport.create({
    daemon: peerId,
    host,
    port: 0,
    clock,
  });
  await server.start(handler);
  world.peer = server.getAddress();
  world.cleanups = [() => server.stop()];
  startClient(world);
}

async function serveBytes(
  world: MessageWorld,
  onData: (socket: Socket, chunk: Buffer, isFirst: boolean) => void,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let isFirst = true;
    socket.on('data', (chunk: Buffer) => {
      onData(socket, chunk, isFirst);
      isFirst = false;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const {port} = server.address() as AddressInfo;
  world.peer = {daemon: peerId, address: `http://${host}:${port}`};
  world.cleanups = [
    () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  ];
  startClient(world);
}

function startClient(world: MessageWorld): void {
  const daemon = toId<DaemonId>('client');
  world.client = MessageTransport.create({daemon, host, port: 0, clock});
  world.cleanups.push(() => world.client.stop());
}

/** Forwards one request to another port, and the reply back. */
async function forward(
  socket: Socket,
  chunk: Buffer,
  port: number,
): Promise<void> {
  const {connect} = await import('node:net');
  const upstream = connect(port, host);
  upstream.write(chunk);
  upstream.on('data', (reply: Buffer) => socket.write(reply));
  upstream.on('error', () => undefined);
  socket.once('close', () => upstream.destroy());
}

function ask(
  {client, peer}: MessageWorld,
  number: number,
  timeoutMs: number,
): Promise<PeerReplyBody> {
  const value = create(FetchConfigSchema, {aboveVersion: BigInt(number)});
  return client.ask(peer, {case: 'fetchConfig', value}, timeoutMs);
}

function getNumber(request: PeerRequestBody): number {
  assert.ok(request.case === 'fetchConfig');
  return Number(request.value.aboveVersion);
}

function toReply(number: number, objectJson = ''): PeerReplyBody {
  const version = BigInt(number);
  return {
    case: 'config',
    value: create(ConfigTextSchema, {version, objectJson}),
  };
}
