/** A stand-in that listens on a loopback socket. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readRequest, type StandInRequest} from './stand_in_request.js';

const host = '127.0.0.1';

/** HTTP server that can die and come back at the same address. */
export abstract class StandInServer {
  private server: Server | undefined;
  private port = 0;
  private closing = Promise.resolve();

  /** Listens; gets the address, which stays the same over restarts. */
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

  /** Gets the address; it has a port after the first start. */
  getAddress(): string {
    return `http://${host}:${this.port}`;
  }

  /** Stops listening once the requests in flight are done. */
  async stop(): Promise<void> {
    await this.close((server) => server.closeIdleConnections());
  }

  /** Drops every connection and refuses new ones, as a dead process does. */
  async kill(): Promise<void> {
    await this.close((server) => server.closeAllConnections());
  }

  /**
   * Serves one request. An error thrown drops the connection.
   * @param request - The request.
   * @param response - Its answer.
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
      // What was written before still reaches the client.
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
