/** Steps for responses that end inside their heads. */
import assert from 'node:assert/strict';
import {type AddressInfo, createServer} from 'node:net';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {HttpChannel, type HttpOutcome} from '@marigoldpost/platform';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface CutHeadWorld extends World {
  channel: HttpChannel;
  outcomes: HttpOutcome[];
}

const head = 'HTTP/1.1 200 OK\r\nX-Kind: whole\r\nContent-Length: 0\r\n\r\n';
const request = {method: 'GET', path: '/'};

Given(
  /^an HTTP server that ends each response by a (close|reset) one byte later in its head$/,
  async function (this: CutHeadWorld, end: string) {
    let sentBytes = 0;
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(head.slice(0, sentBytes), () => {
          if (end === 'reset') socket.resetAndDestroy();
          else socket.end();
        });
        sentBytes += 1;
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const address = `http://127.0.0.1:${port}`;
    this.channel = HttpChannel.create({address, timeoutMs: 1000});
    addCleanup(this, async () => {
      server.close();
      await this.channel.destroy();
    });
  },
);

When(
  'the HTTP channel sends a request for each byte of the head',
  {timeout: 20_000},
  async function (this: CutHeadWorld) {
    this.outcomes = [];
    for (let sent = 0; sent < head.length; sent++) {
      this.outcomes.push(await this.channel.send(request));
    }
  },
);

Then('each of these requests has failed', function (this: CutHeadWorld) {
  assert.equal(this.outcomes.length, head.length);
  for (const [bytes, {kind}] of this.outcomes.entries()) {
    assert.equal(kind, 'failure', `head cut after ${bytes} bytes`);
  }
});
