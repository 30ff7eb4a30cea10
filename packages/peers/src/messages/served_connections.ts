/** Connections that peers have opened, within the limits of the process. */
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
  type ConnectionEndLog,
  connectionEndLogIntervalMs,
} from '@marigoldpost/telemetry';

/** Limits on the connections that peers open. */
export interface PeerPortLimits {
  readonly connections: ConnectionLimits;
  /** Bytes of all requests that arrive and unsent replies together. */
  readonly maxHeldBytes: number;
  /** Tells operators of connections that were refused or ended. */
  readonly endLog: ConnectionEndLog | undefined;
}

/** Open connections of a port, and the bytes that the process holds for them. */
export class ServedConnections {
  private readonly guard: ConnectionGuard<Socket>;
  private readonly heldBytes = new Map<Socket, number>();
  private totalBytes = 0;
  private logTimer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly limits: PeerPortLimits,
  ) {
    this.guard = ConnectionGuard.create(clock, limits.connections);
  }

  /**
   * Creates an empty set.
   * @param clock - Clock of the idle times.
   * @param limits - Limits on the connections.
   */
  static create(clock: Clock, limits: PeerPortLimits): ServedConnections {
    return new ServedConnections(clock, limits);
  }

  /**
   * Adds a connection; false if there is no room and it has been reset.
   * @param socket - Connection that has just been accepted.
   */
  add(socket: Socket): boolean {
    const {isAccepted, replaced} = this.guard.open(socket);
    if (replaced !== undefined) this.end(replaced, 'replaced');
    if (!isAccepted) {
      this.end(socket, 'full');
      return false;
    }
    socket.once('close', () => this.remove(socket));
    return true;
  }

  /**
   * Counts a request that has been read; false if its connection has been reset,
   * since too many have not been answered.
   * @param socket - Connection of the request.
   */
  addRequest(socket: Socket): boolean {
    if (socket.destroyed) return false;
    if (this.guard.addRequest(socket)) return true;
    this.end(socket, 'pipelined');
    return false;
  }

  /**
   * Counts a request that has been answered.
   * @param socket - Connection of the request.
   */
  endRequest(socket: Socket): void {
    this.guard.endRequest(socket);
  }

  /**
   * Sets what is held for a connection. Resets the one for which most is held if
   * all together exceed the limit.
   * @param socket - Connection that has received or sent.
   * @param bytes - Bytes of the request that arrives and of unsent replies.
   */
  setHeldBytes(socket: Socket, bytes: number): void {
    if (socket.destroyed) return;
    this.totalBytes += bytes - (this.heldBytes.get(socket) ?? 0);
    if (bytes === 0) this.heldBytes.delete(socket);
    else this.heldBytes.set(socket, bytes);
    if (this.totalBytes <= this.limits.maxHeldBytes) return;
    // A single message finds room, however large it is.
    if (this.heldBytes.size < 2) return;
    this.end(this.findLargest(socket), 'buffered');
  }

  /** Closes every connection. */
  close(): void {
    this.logTimer?.cancel();
    for (const socket of this.guard.keys()) socket.destroy();
  }

  private findLargest(fallback: Socket): Socket {
    let largest = fallback;
    let most = 0;
    for (const [socket, bytes] of this.heldBytes) {
      // Among equals, the one that came last has sent least.
      if (bytes < most) continue;
      largest = socket;
      most = bytes;
    }
    return largest;
  }

  private end(socket: Socket, reason: ConnectionEnd): void {
    this.limits.endLog?.record(reason);
    this.scheduleLog();
    this.remove(socket);
    resetSocket(socket);
  }

  private scheduleLog(): void {
    if (this.logTimer !== undefined) return;
    this.logTimer = this.clock.setTimer(connectionEndLogIntervalMs, () => {
      this.logTimer = undefined;
      this.limits.endLog?.flush(this.guard);
    });
  }

  private remove(socket: Socket): void {
    this.guard.remove(socket);
    this.totalBytes -= this.heldBytes.get(socket) ?? 0;
    this.heldBytes.delete(socket);
  }
}
