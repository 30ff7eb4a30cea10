/** Steps for the end of a response that another entry VM relays. */
import assert from 'node:assert/strict';
import net, {type AddressInfo, type Socket} from 'node:net';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, type TargetId, toId} from '@marigoldpost/common';
import {
  type BodyFraming,
  type BodyProof,
  encodeRelayFraming,
  PeerExchange,
} from '@marigoldpost/gateway';
import type {CallCodec, ResponseAttributes} from '@marigoldpost/sites';

interface PeerWorld extends World {
  proof: BodyProof;
}

const host = '127.0.0.1';
const headTimeoutMs = 5000;
const lastChunk = '0\r\n\r\n';

When(
  /^the relay of a response with framing "(close|chunked)" (ends it|closes the connection before it ends|resets the connection before it ends)$/,
  async function (this: PeerWorld, framing: BodyFraming, end: string) {
    const server = net.createServer((socket) => {
      socket.once('data', () => {
        answer(socket, framing, end);
      });
      socket.on('error', () => undefined);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, host, resolve);
    });
    const {port} = server.address() as AddressInfo;
    const outcome = await PeerExchange.send({
      sender: toId<DaemonId>('entry-0'),
      peer: {
        daemon: toId<DaemonId>('entry-1'),
        relayAddress: `http://${host}:${port}`,
      },
      target: toId<TargetId>('target-0'),
      codec: createCodec(),
      request: {
        method: 'GET',
        path: '/',
        headers: ['Host', 'site.example'],
        body: undefined,
        requestId: 'r1',
      },
      headTimeoutMs,
      signal: new AbortController().signal,
    });
    assert.ok(outcome.kind === 'answer');
    this.proof = (await outcome.body.read(() => undefined)).proof;
    server.close();
  },
);

Then(
  /^the body of the response is (unknown|complete|truncated)$/,
  function (this: PeerWorld, proof: BodyProof) {
    assert.equal(this.proof, proof);
  },
);

function answer(socket: Socket, framing: BodyFraming, end: string): void {
  const [name, value] = encodeRelayFraming(framing);
  const head = [
    'HTTP/1.1 200 OK',
    `${name}: ${value}`,
    'Transfer-Encoding: chunked',
    'Connection: close',
  ];
  const body = ['5', 'bytes', ''];
  const text = [...head, '', ...body].join('\r\n');
  if (end === 'ends it') {
    socket.end(text + lastChunk);
    return;
  }
  socket.write(text, () => {
    if (end.startsWith('closes')) socket.end();
    // Lets the head arrive before the reset discards it.
    else setTimeout(() => socket.resetAndDestroy(), 50);
  });
}

function createCodec(): CallCodec {
  const attributes: Partial<ResponseAttributes> = {isNotRun: false};
  return {decodeResponse: () => attributes} as unknown as CallCodec;
}
