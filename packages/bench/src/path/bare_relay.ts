/** Minimal HTTP relay for comparison: Node's server and undici's stream. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Pool} from 'undici';

const host = '127.0.0.1';

/** Running relay with its address. */
export interface BareRelay {
  readonly address: string;
  readonly stop: () => Promise<void>;
}

/**
 * Starts a relay on a free loopback port.
 * @param target - Address that every request is forwarded to.
 */
export async function startBareRelay(target: string): Promise<BareRelay> {
  const pool = new Pool(target);
  const server = createServer((incoming, response) => {
    forward(pool, incoming, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const {port} = server.address() as AddressInfo;
  const stop = async () => {
    server.closeAllConnections();
    await new Promise<void>((resolve) => server.close(() => resolve()));
    await pool.destroy();
  };
  return {address: `http://${host}:${port}`, stop};
}

async function forward(
  pool: Pool,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const contentType = incoming.headers['content-type'] ?? 'application/json';
  const options = {
    path: incoming.url ?? '/',
    method: incoming.method as 'POST',
    headers: {'content-type': contentType},
    body: incoming,
  };
  await pool.stream(options, ({statusCode, headers}) => {
    response.writeHead(statusCode, headers);
    return response;
  });
}
