/** Minimal HTTP servers for measuring target clients. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Running server with its address. */
export interface BenchServer {
  readonly address: string;
  readonly stop: () => Promise<void>;
}

const host = '127.0.0.1';
const responseBody = JSON.stringify({booked: true, crane: 7});

/**
 * Starts a server that streams tokens as server-sent events, one per write.
 * @param tokens - Tokens per stream.
 */
export function startTokenServer(tokens: number): Promise<BenchServer> {
  return startServer((_incoming, response) => {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    void writeTokens(response, tokens);
  });
}

/** Starts a server that sends the same small body in each response. */
export function startEchoServer(): Promise<BenchServer> {
  return startServer((_incoming, response) => {
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(responseBody);
  });
}

async function writeTokens(
  response: ServerResponse,
  tokens: number,
): Promise<void> {
  for (let index = 0; index < tokens; index++) {
    const data = JSON.stringify({index, text: ' pier'});
    response.write(`data: ${data}\n\n`);
    // Engines send each token in a separate write.
    await new Promise((resolve) => setImmediate(resolve));
  }
  const end = {
    finishReason: 'stop',
    promptTokens: 1,
    cachedTokens: 0,
    completionTokens: tokens,
  };
  response.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`);
}

async function startServer(
  respond: (incoming: IncomingMessage, response: ServerResponse) => void,
): Promise<BenchServer> {
  const server: Server = createServer((incoming, response) => {
    incoming.resume();
    incoming.once('end', () => respond(incoming, response));
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const {port} = server.address() as AddressInfo;
  const stop = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return {address: `http://${host}:${port}`, stop};
}
