/** Tracks which connections of an HTTP server may be closed. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import net, {type Socket} from 'node:net';

/** State of a connection from a client. */
interface ConnectionState {
  /** Requests that have not been read and answered completely. */
  readonly openRequests: Set<IncomingMessage>;
  /** Whether it closes once the requests that have been read are answered. */
  isClosing: boolean;
  /** Response to the request that was read last, until it has been sent. */
  lastResponse: ServerResponse | undefined;
  /** Called when it closes while requests wait for earlier responses. */
  readonly waits: Set<() => void>;
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
  /** Response that is sent before the one to a request, by that request. */
  private readonly earlierResponses = new WeakMap<
    IncomingMessage,
    ServerResponse
  >();

  private constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => this.getState(socket));
    // With a listener, Node.js leaves the socket to it.
    server.on('timeout', (socket: Socket) => this.closeUnlessRead(socket));
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
   * request has begun to arrive, once the requests that have arrived are read.
   */
  closeIdle(): void {
    for (const socket of this.findIdle()) this.closeUnlessRead(socket);
  }

  /** Closes the idle connections at once, when the process ends. */
  destroyIdle(): void {
    for (const socket of this.findIdle()) socket.destroy();
  }

  /**
   * Keeps the connections that are idle now for a time from now.
   * @param timeoutMs - Time until they close, unless a request arrives.
   */
  keepIdle(timeoutMs: number): void {
    for (const socket of this.findIdle()) socket.setTimeout(timeoutMs);
  }

  /**
   * Closes a connection once the responses to the requests that have been read
   * from it are sent; false if there are none.
   * @param socket - Socket of the connection.
   */
  closeAfterResponses(socket: Socket): boolean {
    const state = this.getState(socket);
    if (!hasReadRequest(state)) return false;
    state.isClosing = true;
    return true;
  }

  /**
   * Whether no other request has been read from a request's connection after it.
   * Only the response to the last one may close the connection.
   * @param request - Request that has not been answered.
   */
  isLastRead(request: IncomingMessage): boolean {
    // A state that is added for a closed connection would never be removed.
    const state = this.states.get(request.socket);
    return state !== undefined && [...state.openRequests].at(-1) === request;
  }

  /**
   * Waits until the responses to earlier requests of a request's connection
   * have been sent. False if the connection closes instead: no response to the
   * request can be sent then.
   * @param request - Request that has not been answered.
   */
  async waitForEarlierResponses(request: IncomingMessage): Promise<boolean> {
    const {socket} = request;
    const earlier = this.earlierResponses.get(request);
    if (earlier?.closed === false && !socket.destroyed) {
      const {waits} = this.getState(socket);
      await new Promise<void>((resolve) => {
        earlier.once('close', resolve);
        // A response that waits itself is not closed with its connection.
        waits.add(resolve);
        earlier.once('close', () => waits.delete(resolve));
      });
    }
    return socket.writable;
  }

  /**
   * Closes a response together with its connection also while it waits for
   * earlier ones: Node.js closes only the one that is being sent.
   * @param request - Request that has not been answered.
   * @param response - Its response.
   */
  closeWithConnection(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {waits} = this.getState(request.socket);
    const close = () => {
      if (response.socket !== null || response.closed) return;
      response.destroy();
      response.emit('close');
    };
    waits.add(close);
    response.once('close', () => waits.delete(close));
  }

  /** Stops listening; resolves once all connections are closed. */
  stopListening(): Promise<void> {
    return new Promise((resolve) => {
      // `close` of the HTTP server would close connections as well.
      net.Server.prototype.close.call(this.server, () => resolve());
    });
  }

  /**
   * Closes a connection unless bytes that have arrived on it are read first.
   * Node.js calls timers before it reads: a process that did not run for a
   * moment would close connections whose next request has arrived.
   */
  private closeUnlessRead(socket: Socket): void {
    const {bytesRead} = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  }

  private findIdle(): Socket[] {
    const idle: Socket[] = [];
    for (const [socket, {openRequests, idleAtBytes}] of this.states) {
      const isIdle =
        openRequests.size === 0 && idleAtBytes === socket.bytesRead;
      if (isIdle) idle.push(socket);
    }
    return idle;
  }

  private getState(socket: Socket): ConnectionState {
    const known = this.states.get(socket);
    if (known !== undefined) return known;
    const added: ConnectionState = {
      openRequests: new Set(),
      isClosing: false,
      lastResponse: undefined,
      waits: new Set(),
      idleAtBytes: undefined,
    };
    this.states.set(socket, added);
    socket.once('close', () => {
      this.states.delete(socket);
      for (const endWait of added.waits) endWait();
    });
    return added;
  }

  private trackExchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {socket} = request;
    const state = this.getState(socket);
    state.openRequests.add(request);
    const {lastResponse} = state;
    if (lastResponse !== undefined) {
      this.earlierResponses.set(request, lastResponse);
    }
    state.lastResponse = response;
    const update = () => {
      state.idleAtBytes = socket.bytesRead;
      if (!response.closed) return;
      // Else each request would keep all that came before it in memory, as long
      // as a client sends ahead.
      this.earlierResponses.delete(request);
      if (state.lastResponse === response) state.lastResponse = undefined;
      // The rest of a body that nobody needs may follow the response.
      if (request.complete || request.closed) {
        state.openRequests.delete(request);
      }
      if (state.isClosing && !hasReadRequest(state)) socket.destroySoon();
    };
    request.once('end', update);
    request.once('close', update);
    response.once('close', update);
  }
}

function hasReadRequest({openRequests}: ConnectionState): boolean {
  return [...openRequests].some(({complete}) => complete);
}
