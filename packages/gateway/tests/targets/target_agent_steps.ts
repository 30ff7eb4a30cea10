/** Steps for kept connections to a target. */
import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Then, When, type World} from '@cucumber/cucumber';
import {TargetAgent} from '@marigoldpost/gateway';

interface AgentWorld extends World {
  connections: number;
}

const host = '127.0.0.1';

When(
  'a target that states {string} gets two requests {int} ms apart',
  async function (this: AgentWorld, keepAlive: string, pauseMs: number) {
    this.connections = 0;
    const server = net.createServer((socket) => {
      this.connections += 1;
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const head = [
          'HTTP/1.1 200 OK',
          'Content-Length: 0',
          'Connection: keep-alive',
          `Keep-Alive: ${keepAlive}`,
        ];
        socket.write([...head, '', ''].join('\r\n'));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, host, resolve);
    });
    const {port} = server.address() as AddressInfo;
    const agent = TargetAgent.create();
    await send(agent, port);
    await pause(pauseMs);
    await send(agent, port);
    agent.retire();
    server.close();
  },
);

Then(
  /^the second one came on the (same|new) connection$/,
  function (this: AgentWorld, connection: string) {
    assert.equal(this.connections, connection === 'same' ? 1 : 2);
  },
);

function send(agent: TargetAgent, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const sent = http.get({agent, host, port, path: '/'});
    sent.once('error', reject);
    sent.once('response', (response) => {
      response.resume();
      response.once('end', () => resolve());
    });
  });
}
