/** HTTP/2 sessions that peers have opened, within the limits of the process. */
import type {IncomingMessage} from 'node:http';
import type {Http2ServerRequest} from 'node:http2';
import type {Server, Socket} from 'node:net';
import {type Clock, MarigoldpostError} from '@marigoldpost/common';
import {
  type PeerPortLimits,
  ServedConnections,
} from '../messages/served_connections.js';
import type {ExchangeCounter} from './served_stream.js';

/** A request whose data is read by asynchronous iteration. */
type ReadRequest = (IncomingMessage | Http2ServerRequest) &
  AsyncIterable<Buffer>;

/** Connections of a port, the exchanges and the bytes of their streams. */
export class ServedSessions {
  private readonly served: ServedConnections;
  /** Connections by address, which a session with TLS has as well. */
  private readonly connections = new Map<string, Socket>();
  private readonly heldBytes = new WeakMap<Socket, number>();
  private exchanges = 0;

  private constructor(
    clock: Clock,
    private readonly limits: PeerPortLimits,
  ) {
    const {maxConnections} = limits.connections;
    // A peer's exchanges are refused; a reset would leave their outcome unknown.
    const connections = {
      maxConnections,
      maxPipelined: Infinity,
      maxPending: Infinity,
    };
    this.served = ServedConnections.create(clock, {...limits, connections});
  }

  /**
   * Creates an empty set.
   * @param clock - Clock of the idle times.
   * @param limits - Limits on the connections.
   */
  static create(clock: Clock, limits: PeerPortLimits): ServedSessions {
    return new ServedSessions(clock, limits);
  }

  /**
   * Starts to limit the connections of a server.
   * @param server - HTTP/2 server that has not accepted connections yet.
   */
  attach(server: Server): void {
    // A session on a connection that has been reset would fail.
    const listeners = server.listeners('connection');
    server.removeAllListeners('connection');
    server.on('connection', (socket: Socket) => {
      if (!this.served.add(socket)) return;
      const address = getAddress(socket);
      this.connections.set(address, socket);
      socket.once('close', () => {
        if (this.connections.get(address) !== socket) return;
        this.connections.delete(address);
      });
      for (const listener of listeners) listener.call(server, socket);
    });
  }

  /**
   * Counts what a stream reads until its frames are complete, and its exchanges.
   * @param request - Request of the stream.
   */
  track(request: IncomingMessage | Http2ServerRequest): ExchangeCounter {
    const connection = this.connections.get(getAddress(request.socket));
    const readable = request as ReadRequest;
    const read = readable[Symbol.asyncIterator].bind(readable);
    const hold = (bytes: number) => {
      if (connection !== undefined) this.hold(connection, bytes);
    };
    let held = 0;
    readable[Symbol.asyncIterator] = async function* () {
      for await (const chunk of {[Symbol.asyncIterator]: read}) {
        held += chunk.byteLength;
        hold(chunk.byteLength);
        yield chunk;
      }
    };
    const release = () => {
      hold(-held);
      held = 0;
    };
    request.once('close', release);
    return {
      begin: () => this.beginExchange(connection),
      end: () => this.endExchange(connection),
      onFrame: release,
    };
  }

  /** Closes every connection. */
  close(): void {
    this.served.close();
  }

  private hold(connection: Socket, bytes: number): void {
    const held = (this.heldBytes.get(connection) ?? 0) + bytes;
    this.heldBytes.set(connection, held);
    this.served.setHeldBytes(connection, held);
  }

  private beginExchange(connection: Socket | undefined): void {
    if (this.exchanges >= this.limits.connections.maxPending) {
      const message = 'the daemon has too many exchanges with its peers';
      throw MarigoldpostError.create('overloaded', message);
    }
    this.exchanges += 1;
    if (connection !== undefined) this.served.addRequest(connection);
  }

  private endExchange(connection: Socket | undefined): void {
    this.exchanges -= 1;
    if (connection !== undefined) this.served.endRequest(connection);
  }
}

function getAddress({
  remoteAddress,
  remotePort,
}: Pick<Socket, 'remoteAddress' | 'remotePort'>): string {
  return `${remoteAddress} ${remotePort}`;
}
