/** HTTP server for clients, with timeouts for slow and idle connections. */
import http from 'node:http';
import type {Socket} from 'node:net';
import {ClientConnections, resetSocket} from '@marigoldpost/common';
import type {CallerLimits, NetworkAddress} from '@marigoldpost/sites';
import type {CallHandler} from '../calls/call_handler.js';
import {
  isConnectionClosing,
  maxDiscardMs,
} from '../responses/write_response.js';
import {GuardedConnections, type GuardOptions} from './guarded_connections.js';

/** Limit of the HTTP parser while no configuration is known. */
const maxHeaderBytes = 64 * 1024;
/**
 * Limit of the HTTP parser in multiples of that of the configuration, which does
 * not count the request line.
 */
const parserHeaderFactor = 2;
/** Interval at which the server checks for header timeouts. */
const connectionCheckIntervalMs = 500;
/** Response status lines for malformed requests, by Node's error code. */
const rejectionStatuses: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};
/** The client has closed its connection within a request. */
const endOfInputCode = 'HPE_INVALID_EOF_STATE';
const defaultRejectionStatus = '400 Bad Request';

/** Accepts client connections and passes requests to the handler. */
export class GatewayServer {
  private readonly server: http.Server;
  private readonly connections: ClientConnections;
  private readonly guarded: GuardedConnections | undefined;

  private constructor(
    private readonly handler: CallHandler,
    guard: GuardOptions | undefined,
  ) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: connectionCheckIntervalMs,
      noDelay: true,
    });
    // The call's deadline, at most the route's timeout, bounds the body.
    this.server.requestTimeout = 0;
    const {server} = this;
    this.guarded = guard && GuardedConnections.create({...guard, server});
    this.server.on('request', (request, response) => {
      if (this.guarded?.addRequest(request, response) === false) return;
      if (isConnectionClosing(request.socket)) {
        // Bytes that are not read would reset the connection when it closes.
        request.resume();
        return;
      }
      void handler.handle(request, response, {
        isLastRead: () => this.connections.isLastRead(request),
        waitForEarlierResponses: () =>
          this.connections.waitForEarlierResponses(request),
      });
    });
    this.connections = ClientConnections.create(this.server);
    this.server.on(
      'clientError',
      (error: NodeJS.ErrnoException, socket: Socket) =>
        this.handleClientError(error, socket),
    );
  }

  /**
   * Creates a server that does not listen yet.
   * @param handler - Receives every request.
   * @param guard - Limits on the connections; none if omitted.
   */
  static create(handler: CallHandler, guard?: GuardOptions): GatewayServer {
    return new GatewayServer(handler, guard);
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.handler.inFlight;
  }

  /** Number of open connections, idle ones included. */
  get connectionCount(): number {
    return this.connections.count;
  }

  /**
   * Sets the timeouts for request headers and idle connections. Connections
   * that are idle keep a longer time that they had, since their clients may
   * rely on it, and get a longer one.
   * @param limits - Limits of the configuration in force.
   */
  setLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    // Each connection reads it when it is accepted.
    const parserBytes = limits.maxHeaderBytes * parserHeaderFactor;
    const maxHeaderSize = Math.min(maxHeaderBytes, parserBytes);
    Object.assign(this.server, {maxHeaderSize});
    const {idleTimeoutMs} = limits;
    if (idleTimeoutMs > this.server.keepAliveTimeout) {
      this.connections.keepIdle(idleTimeoutMs);
    }
    this.server.keepAliveTimeout = idleTimeoutMs;
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

  /**
   * Makes each connection close after its current response, and rejects calls
   * that may not end in time.
   * @param endMs - Until when calls may last, on the daemon's clock.
   */
  drain(endMs: number): void {
    this.handler.drain(endMs);
  }

  /** Aborts all calls and rejects new ones. Each ends shortly after. */
  stopCalls(): void {
    this.handler.stopCalls();
  }

  /** Ends the calls that have not ended since `stopCalls`. */
  failStoppedCalls(): void {
    this.handler.failStoppedCalls();
  }

  /** Closes connections without a request or response in flight. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /**
   * Stops listening and closes idle connections. Resets the others: a normal
   * end would complete a response that only its connection delimits.
   */
  close(): void {
    this.guarded?.stop();
    void this.connections.stopListening();
    this.connections.destroyIdle();
    for (const socket of this.connections.sockets) resetSocket(socket);
  }

  /**
   * Rejects a malformed or late request. While responses to earlier requests of
   * its connection are in progress, it is not answered: its response would be
   * taken for theirs, or for a part of it.
   */
  private handleClientError(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): void {
    if (socket.destroyed || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    // The rest of a request that has been rejected.
    if (socket.writableEnded) return;
    const isAnswering = this.connections.closeAfterResponses(socket);
    if (!isAnswering) rejectMalformedRequest(error, socket);
    else if (error.code === endOfInputCode) socket.destroy();
  }
}

function rejectMalformedRequest(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const status = rejectionStatuses[error.code ?? ''] ?? defaultRejectionStatus;
  const lines = [`HTTP/1.1 ${status}`, 'Connection: close'];
  socket.end([...lines, 'Content-Length: 0', '', ''].join('\r\n'));
  const timer = setTimeout(() => socket.destroy(), maxDiscardMs);
  socket.once('close', () => clearTimeout(timer));
}
