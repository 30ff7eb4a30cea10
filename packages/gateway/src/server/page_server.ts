/** HTTP server for the daemon's status pages: readiness, or metrics. */
import http from 'node:http';
import {GuardedConnections, type GuardOptions} from '@marigoldpost/common';
import type {NetworkAddress} from '@marigoldpost/sites';

/** Status and body of a page. */
export interface Page {
  readonly status: number;
  readonly body: string;
  /** Plain text by default. */
  readonly contentType?: string;
}

/**
 * Creates the page for a request.
 * @param url - Path and query of the request; the origin means nothing.
 */
export type GetPage = (url: URL) => Page;

const defaultContentType = 'text/plain; charset=utf-8';
/** Completes the paths of requests to URLs. */
const baseUrl = 'http://localhost';

/** Serves pages; the page function decides by the URL, or ignores it. */
export class PageServer {
  private readonly server: http.Server;

  private readonly guarded: GuardedConnections | undefined;

  private constructor(getPage: GetPage, guard: GuardOptions | undefined) {
    this.server = http.createServer((request, response) => {
      request.resume();
      if (this.guarded?.addRequest(request, response) === false) return;
      const page = getPage(toUrl(request.url));
      const {status, body, contentType = defaultContentType} = page;
      const headers = {'Content-Type': contentType};
      response.writeHead(status, headers);
      response.end(body);
    });
    const {server} = this;
    this.guarded = guard && GuardedConnections.create({...guard, server});
  }

  /**
   * Creates a server that does not listen yet.
   * @param getPage - Creates the page; called for each request.
   * @param guard - Limits on the connections; none if omitted.
   */
  static create(getPage: GetPage, guard?: GuardOptions): PageServer {
    return new PageServer(getPage, guard);
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
    this.guarded?.stop();
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Parses a request target; a malformed one counts as the root path. */
function toUrl(target = '/'): URL {
  return URL.canParse(target, baseUrl)
    ? new URL(target, baseUrl)
    : new URL(baseUrl);
}
