/** Small HTTP server for pages of the daemon's own: readiness, metrics. */
import http from 'node:http';
import type {NetworkAddress} from '@marigoldpost/sites';

/** What a page answers. */
export interface Page {
  readonly status: number;
  readonly body: string;
}

/** Server of one page at every path. */
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
   * @param getPage - Gets the page as it is now.
   */
  static create(getPage: () => Page): PageServer {
    return new PageServer(getPage);
  }

  /**
   * Starts to listen.
   * @param address - Where.
   */
  listen({host, port}: NetworkAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
