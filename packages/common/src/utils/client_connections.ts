/** Tracks which connections of an HTTP server may be closed. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import net, {type Socket} from 'node:net';

/** State of a connection from a client. */
interface ConnectionState {
  /** Responses that have not been sent completely. */
  openResponses: number;
  /** Bytes that had been read when the last exchange ended. */
  idleAtBytes: number | undefined;
}

/**
 * Open connections of a server. Unlike `closeIdleConnections` and `close` of
 * Node.js, which truncate responses that have been written but not sent yet,
 * this closes no connection before its response has been sent.
 */
export class ClientConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  private constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => this.getState(socket));
    server.prependListener('request', (request, response) =>
      this.trackExchange(request, response),
    );
  }

  /**
   * Starts to track the connections of a server.
   * @param server - Server that has not accepted connections yet.
   */
  static create(server: Server): ClientConnections {
    return new ClientConnections(server);
  }

  /** Number of open connections. */
  get count(): number {
    return this.states.size;
  }

  /** Sockets of all open connections. */
  get sockets(): readonly Socket[] {
    return [...this.states.keys()];
  }

  /**
   * Closes the connections on which a response has been sent and no further
   * request has begun to arrive.
   */
  closeIdle(): void {
    for (const [socket, {openResponses, idleAtBytes}] of this.states) {
      const isIdle = openResponses === 0 && idleAtBytes === socket.bytesRead;
      if (isIdle) socket.destroy();
    }
  }

  /** Stops listening; resolves once all connections are closed. */
  stopListening(): Promise<void> {
    return new Promise((resolve) => {
      // `close` of the HTTP server would close connections as well.
      net.Server.prototype.close.call(this.server, () => resolve());
    });
  }

  private getState(socket: Socket): ConnectionState {
    const known = this.states.get(socket);
    if (known !== undefined) return known;
    const added = {openResponses: 0, idleAtBytes: undefined};
    this.states.set(socket, added);
    socket.once('close', () => this.states.delete(socket));
    return added;
  }

  private trackExchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {socket} = request;
    const state = this.getState(socket);
    state.openResponses += 1;
    const recordBytes = () => {
      state.idleAtBytes = socket.bytesRead;
    };
    // The rest of a body that nobody needs may follow the response.
    request.once('end', recordBytes);
    response.once('close', () => {
      state.openResponses -= 1;
      recordBytes();
    });
  }
}
