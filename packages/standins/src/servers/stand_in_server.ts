/** Base class of stand-ins that listen on a loopback socket. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readRequest, type StandInRequest} from './stand_in_request.js';

const host = '127.0.0.1';

/** HTTP server that can be killed and restarted at the same address. */
export abstract class StandInServer {
  private server: Server | undefined;
  private port = 0;
  private closing = Promise.resolve();

  /** Starts listening; the returned address stays the same after a restart. */
  async start(): Promise<string> {
    if (this.server !== undefined) return this.getAddress();
    await this.closing;
    const server = createServer((incoming, response) => {
      void this.serve(incoming, response);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, host, resolve);
    });
    this.server = server;
    this.port = (server.address() as AddressInfo).port;
    return this.getAddress();
  }

  /** Gets the address; its port is 0 before the first start. */
  getAddress(): string {
    return `http://${host}:${this.port}`;
  }

  /** Stops listening and waits for the requests in flight. */
  async stop(): Promise<void> {
    await this.close((server) => server.closeIdleConnections());
  }

  /**
   * Stops listening and closes all connections, as the end of a process does.
   */
  async kill(): Promise<void> {
    await this.close((server) => server.closeAllConnections());
  }

  /**
   * Handles one request. If it throws, the server closes the connection.
   * @param request - Request with its complete body.
   * @param response - Response to write and end.
   */
  protected abstract handle(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void>;

  private async serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.handle(await readRequest(incoming, response), response);
    } catch {
      // `destroySoon` still sends the data written before.
      response.socket?.destroySoon();
    }
  }

  private close(drop: (server: Server) => void): Promise<void> {
    const {server} = this;
    if (server === undefined) return this.closing;
    this.server = undefined;
    this.closing = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    drop(server);
    return this.closing;
  }
}
