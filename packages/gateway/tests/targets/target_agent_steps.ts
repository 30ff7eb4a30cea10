/** Steps for kept connections to a target. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Then, When, type World} from '@cucumber/cucumber';
import {TargetAgent} from '@marigoldpost/gateway';

interface AgentWorld extends World {
  connections: number;
  socket: net.Socket;
  destroyCalls: number;
}

const host = '127.0.0.1';
/** The idle timeout of `timeout=2`, and a margin. */
const longestIdleMs = 800;

When(
  'a target that states {string} gets two requests {int} ms apart',
  async function (this: AgentWorld, keepAlive: string, pauseMs: number) {
    this.connections = 0;
    const server = await listen(keepAlive, () => (this.connections += 1));
    const {port} = server.address() as AddressInfo;
    const agent = TargetAgent.create();
    await send(agent, port);
    await pause(pauseMs);
    await send(agent, port);
    agent.retire();
    server.close();
  },
);

When(
  'a target that states {string} closes an idle connection',
  async function (this: AgentWorld, keepAlive: string) {
    const accepted: net.Socket[] = [];
    const server = await listen(keepAlive, (socket) => accepted.push(socket));
    const {port} = server.address() as AddressInfo;
    const agent = TargetAgent.create((options) => {
      this.socket = net.connect(options);
      return this.socket;
    });
    await send(agent, port);
    accepted[0]?.end();
    await once(this.socket, 'close');
    this.destroyCalls = 0;
    this.socket.destroy = () => {
      this.destroyCalls += 1;
      return this.socket;
    };
    server.close();
  },
);

Then('its idle timeout does not run out', async function (this: AgentWorld) {
  await pause(longestIdleMs);
  assert.equal(this.destroyCalls, 0);
});

Then(
  /^the second one came on the (same|new) connection$/,
  function (this: AgentWorld, connection: string) {
    assert.equal(this.connections, connection === 'same' ? 1 : 2);
  },
);

/** Starts a target that answers each request and states `keepAlive`. */
async function listen(
  keepAlive: string,
  onConnection: (socket: net.Socket) => void,
): Promise<net.Server> {
  const server = net.createServer((socket) => {
    onConnection(socket);
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
  server.listen(0, host);
  await once(server, 'listening');
  return server;
}

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
