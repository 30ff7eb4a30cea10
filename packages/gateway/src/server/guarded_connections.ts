/** Applies the limits on clients' connections to an HTTP server. */
import type http from 'node:http';
import type {Socket} from 'node:net';
import {
  type Clock,
  type ConnectionEnd,
  ConnectionGuard,
  type ConnectionLimits,
  resetSocket,
  type Timer,
} from '@marigoldpost/common';
import {
  ConnectionEndLog,
  connectionEndLogIntervalMs,
  type EventLogger,
  type Metrics,
} from '@marigoldpost/telemetry';
import {InputPacer} from './input_pacer.js';
import {type OutputState, StalledWrites} from './stalled_writes.js';

/** Server, limits and log. */
export interface GuardedConnectionsOptions {
  readonly server: http.Server;
  /** Name of the port in the log and the metrics. */
  readonly port: string;
  readonly limits: ConnectionLimits;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}

/** Limits on the connections of a server, and where their effect is told. */
export type GuardOptions = Omit<GuardedConnectionsOptions, 'server'>;

/** Connections of clients within the limits of the process. */
export class GuardedConnections {
  private readonly guard: ConnectionGuard<Socket>;
  private readonly stalls = StalledWrites.create<Socket>();
  private readonly sockets = new Set<Socket>();
  private readonly endLog: ConnectionEndLog;
  private timer: Timer | undefined;

  private constructor(private readonly options: GuardedConnectionsOptions) {
    const {server, clock, limits} = options;
    this.guard = ConnectionGuard.create(clock, limits);
    this.endLog = ConnectionEndLog.create(options);
    server.prependListener('connection', (socket: Socket) =>
      this.accept(socket),
    );
    InputPacer.attach(server, (socket) => this.end(socket, 'costly'));
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
    const {socket} = request;
    // The rest of what has arrived on a connection that has been ended.
    if (socket.destroyed) return false;
    response.once('close', () => this.guard.endRequest(socket));
    if (this.guard.addRequest(socket)) return true;
    this.end(socket, 'pipelined');
    return false;
  }

  /** Stops the checks. */
  stop(): void {
    this.timer?.cancel();
  }

  private accept(socket: Socket): void {
    const {isAccepted, replaced} = this.guard.open(socket);
    if (replaced !== undefined) this.end(replaced, 'replaced');
    if (!isAccepted) {
      this.end(socket, 'full');
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => {
      this.guard.remove(socket);
      this.sockets.delete(socket);
    });
    this.scheduleCheck();
  }

  private end(socket: Socket, reason: ConnectionEnd): void {
    this.endLog.record(reason);
    this.scheduleCheck();
    // A reset frees what the kernel holds for the connection at once.
    resetSocket(socket);
  }

  private scheduleCheck(): void {
    if (this.timer !== undefined) return;
    this.timer = this.options.clock.setTimer(connectionEndLogIntervalMs, () => {
      this.timer = undefined;
      this.check();
    });
  }

  /** Ends what has stalled, and logs what was ended since the last check. */
  private check(): void {
    const outputs = new Map<Socket, OutputState>();
    for (const socket of this.sockets) {
      const {bytesWritten, writableLength: waitingBytes} = socket;
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
    this.endLog.flush(this.guard);
    if (this.sockets.size > 0) this.scheduleCheck();
  }
}
