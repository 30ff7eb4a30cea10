/** Applies the limits on clients' connections to an HTTP server. */
import type http from 'node:http';
import type {Socket} from 'node:net';
import {Server as TlsServer} from 'node:tls';
import type {Clock, Timer} from '../time/clock.js';
import {
  type ConnectionEnd,
  ConnectionGuard,
  type ConnectionLimits,
} from './connection_guard.js';
import {InputPacer} from './input_pacer.js';
import {resetSocket} from './reset_socket.js';
import {type OutputState, StalledWrites} from './stalled_writes.js';

/** Interval at which the output of connections is checked. */
const checkIntervalMs = 5000;

/** State of a server's connections, and what was ended since the last one. */
export interface ConnectionReport {
  readonly open: number;
  readonly pendingRequests: number;
  readonly ended: ReadonlyMap<ConnectionEnd, number>;
}

/** Is told which connections are refused or ended. */
export interface ConnectionObserver {
  /** Called for each connection. */
  onEnded(reason: ConnectionEnd): void;
  /** Called now and then while connections are ended. */
  onReport(report: ConnectionReport): void;
}

/** Server and limits. */
export interface GuardedConnectionsOptions {
  readonly server: http.Server;
  readonly limits: ConnectionLimits;
  readonly clock: Clock;
  readonly observer: ConnectionObserver;
  /**
   * Time from which a request that still arrives may be ended to make room for a
   * new connection; never if omitted.
   */
  readonly slowArrivalMs?: number;
}

/** Limits on the connections of a server, and where their effect is told. */
export type GuardOptions = Omit<GuardedConnectionsOptions, 'server'>;

/** Request whose body may still arrive. */
interface Arrival {
  readonly request: http.IncomingMessage;
  readonly sinceMs: number;
}

/** Connections of clients within the limits of the process. */
export class GuardedConnections {
  private readonly guard: ConnectionGuard<Socket>;
  private readonly stalls = StalledWrites.create<Socket>();
  /**
   * Accepted connections, and the sockets that are written to; a server with TLS
   * wraps each.
   */
  private readonly outputs = new Map<Socket, Socket>();
  /** Accepted connections by those that wrap them. */
  private readonly accepted = new WeakMap<Socket, Socket>();
  /** Accepted connections by address, until TLS has wrapped them. */
  private readonly unwrapped = new Map<string, Socket>();
  /** In the order in which their heads were read. */
  private readonly arrivals = new Map<Socket, Arrival>();
  /** Connections that were ended since the last report. */
  private readonly ended = new Map<ConnectionEnd, number>();
  private timer: Timer | undefined;

  private constructor(private readonly options: GuardedConnectionsOptions) {
    const {server, clock, limits} = options;
    this.guard = ConnectionGuard.create(clock, limits);
    server.prependListener('connection', (socket: Socket) =>
      this.accept(socket),
    );
    if (server instanceof TlsServer) {
      server.prependListener('secureConnection', (socket) => this.wrap(socket));
    }
    InputPacer.attach(server, (socket) =>
      this.end(this.getAccepted(socket), 'costly'),
    );
  }

  /**
   * Starts to limit the connections of a server.
   * @param options - Server that has not accepted connections yet.
   */
  static create(options: GuardedConnectionsOptions): GuardedConnections {
    return new GuardedConnections(options);
  }

  /**
   * Counts a request; false if its connection is closed instead. What has been
   * read from it has not run, but for the request that is being served.
   * @param request - Request whose head has been read.
   * @param response - Its response.
   */
  addRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): boolean {
    const socket = this.getAccepted(request.socket);
    // The rest of what has arrived on a connection that has been ended.
    if (socket.destroyed) return false;
    response.once('close', () => {
      this.guard.endRequest(socket);
      if (this.arrivals.get(socket)?.request !== request) return;
      this.arrivals.delete(socket);
    });
    const sinceMs = this.options.clock.nowMs();
    this.arrivals.delete(socket);
    this.arrivals.set(socket, {request, sinceMs});
    if (this.guard.addRequest(socket)) return true;
    this.end(socket, 'pipelined');
    return false;
  }

  /** Stops the checks. */
  stop(): void {
    this.timer?.cancel();
  }

  private accept(socket: Socket): void {
    if (!this.open(socket) && !(this.endSlowArrival() && this.open(socket))) {
      this.end(socket, 'full');
      return;
    }
    this.outputs.set(socket, socket);
    const address = getAddress(socket);
    if (this.options.server instanceof TlsServer) {
      this.unwrapped.set(address, socket);
    }
    socket.once('close', () => {
      this.guard.remove(socket);
      this.outputs.delete(socket);
      this.arrivals.delete(socket);
      if (this.unwrapped.get(address) === socket) {
        this.unwrapped.delete(address);
      }
    });
    this.scheduleCheck();
  }

  private open(socket: Socket): boolean {
    const {isAccepted, replaced} = this.guard.open(socket);
    if (replaced !== undefined) this.end(replaced, 'replaced');
    return isAccepted;
  }

  /** Ends the request that has been arriving for longest, if for too long. */
  private endSlowArrival(): boolean {
    const {clock, slowArrivalMs = Infinity} = this.options;
    for (const [socket, {request, sinceMs}] of this.arrivals) {
      if (request.complete) {
        this.arrivals.delete(socket);
        continue;
      }
      if (clock.nowMs() - sinceMs < slowArrivalMs) return false;
      this.guard.remove(socket);
      this.arrivals.delete(socket);
      this.end(socket, 'replaced');
      return true;
    }
    return false;
  }

  private wrap(socket: Socket): void {
    const address = getAddress(socket);
    const accepted = this.unwrapped.get(address);
    if (accepted === undefined) return;
    this.unwrapped.delete(address);
    this.accepted.set(socket, accepted);
    this.outputs.set(accepted, socket);
  }

  private getAccepted(socket: Socket): Socket {
    return this.accepted.get(socket) ?? socket;
  }

  private end(socket: Socket, reason: ConnectionEnd): void {
    this.ended.set(reason, (this.ended.get(reason) ?? 0) + 1);
    this.options.observer.onEnded(reason);
    this.scheduleCheck();
    // A reset frees what the kernel holds for the connection at once.
    resetSocket(socket);
  }

  private scheduleCheck(): void {
    if (this.timer !== undefined) return;
    this.timer = this.options.clock.setTimer(checkIntervalMs, () => {
      this.timer = undefined;
      this.check();
    });
  }

  /** Ends what has stalled, and reports what was ended since the last check. */
  private check(): void {
    const outputs = new Map<Socket, OutputState>();
    for (const [socket, output] of this.outputs) {
      const {bytesWritten, writableLength: waitingBytes} = output;
      const writtenBytes = bytesWritten - waitingBytes;
      outputs.set(socket, {writtenBytes, waitingBytes});
    }
    const nowMs = this.options.clock.nowMs();
    const stalled = this.stalls.find(outputs, nowMs);
    // What a client reads of a large write shows late, so a slow one may be among
    // them; it is spared while there is room.
    if (this.guard.isScarce) {
      for (const socket of stalled) this.end(socket, 'stalled');
    }
    if (this.ended.size > 0) this.report();
    if (this.outputs.size > 0) this.scheduleCheck();
  }

  private report(): void {
    this.options.observer.onReport({
      open: this.guard.connectionCount,
      pendingRequests: this.guard.pendingCount,
      ended: new Map(this.ended),
    });
    this.ended.clear();
  }
}

function getAddress({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress} ${remotePort}`;
}
