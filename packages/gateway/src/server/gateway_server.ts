/** HTTP server for clients, with limits on slow and idle ones. */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits, NetworkAddress} from '@marigoldpost/sites';
import type {CallHandler} from '../calls/call_handler.js';

/** Hard limit before a configuration is known; the text's own is lower. */
const maxHeaderBytes = 64 * 1024;
/** How often the server looks for headers that take too long. */
const checkIntervalMs = 500;
/** Status lines for bytes that are no acceptable request, by Node's error. */
const rejections: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};
const defaultRejection = '400 Bad Request';

/** Server for clients. */
export class GatewayServer {
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly handler: CallHandler) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: checkIntervalMs,
      noDelay: true,
    });
    // The body's time is bounded by the route's own time-out.
    this.server.requestTimeout = 0;
    this.server.on('request', (request, response) => {
      void handler.handle(request, response);
    });
    this.server.on('clientError', rejectBytes);
    this.server.on('connection', (socket) => this.addSocket(socket));
  }

  /**
   * Creates a server that does not listen yet.
   * @param handler - Handles the requests.
   */
  static create(handler: CallHandler): GatewayServer {
    return new GatewayServer(handler);
  }

  /** Requests under way. */
  get inFlight(): number {
    return this.handler.inFlight;
  }

  /** Open connections. */
  get connectionCount(): number {
    return this.sockets.size;
  }

  /**
   * Sets how long clients may take.
   * @param limits - Limits in force.
   */
  setLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
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

  /** Closes each connection after the answer under way on it. */
  drain(): void {
    this.handler.drain();
  }

  /** Closes connections on which no request is under way. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private addSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }
}

function rejectBytes(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = rejections[error.code ?? ''] ?? defaultRejection;
  const lines = [`HTTP/1.1 ${status}`, 'Connection: close'];
  socket.end([...lines, 'Content-Length: 0', '', ''].join('\r\n'));
}
