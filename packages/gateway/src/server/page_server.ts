/** HTTP server for one of the daemon's status pages: readiness or metrics. */
import http from 'node:http';
import type {NetworkAddress} from '@marigoldpost/sites';

/** Status and plain-text body of a page. */
export interface Page {
  readonly status: number;
  readonly body: string;
}

/** Serves the same page on every path. */
export class PageServer {
  private readonly server: http.Server;

  private constructor(getPage: () => Page) {
    this.server = http.createServer((request, response) => {
      request.resume();
      const {status, body} = getPage();
      const headers = {'Content-Type': 'text/plain; charset=utf-8'};
      response.writeHead(status, headers);
      response.end(body);
    });
  }

  /**
   * Creates a server that does not listen yet.
   * @param getPage - Creates the page; called for each request.
   */
  static create(getPage: () => Page): PageServer {
    return new PageServer(getPage);
  }

  /**
   * Starts to listen; rejects if the address cannot be bound.
   * @param address - Host and port.
   */
  listen({host, port}: NetworkAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
