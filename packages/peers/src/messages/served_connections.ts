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
import type {PeerRequestBody} from '../transport/peer_transport.js';
import {ReplyGate} from './reply_gate.js';

/**
 * Part of the held bytes that replies may take before peers with outstanding ones
 * get no others; the rest is left to requests and to peers without.
 */
const replyShare = 0.5;

/** Limits on the connections that peers open. */
export interface PeerPortLimits {
  readonly connections: ConnectionLimits;
  /** Bytes of all requests that arrive and unsent replies together. */
  readonly maxHeldBytes: number;
  /** Gets the most bytes of a reply that may be large; 0 for others. */
  readonly getReplyBytes?: (request: PeerRequestBody) => number;
  /** Tells operators of connections that were refused or ended. */
  readonly endLog: ConnectionEndLog | undefined;
}

/** Bytes that the process holds for a connection. */
export interface HeldBytes {
  /** Of the request that arrives, as far as it has announced them. */
  readonly arrivingBytes: number;
  readonly unsentBytes: number;
}

/** Open connections of a port, and the bytes that the process holds for them. */
export class ServedConnections {
  private readonly guard: ConnectionGuard<Socket>;
  private readonly gate: ReplyGate<Socket>;
  private readonly heldBytes = new Map<Socket, number>();
  private totalBytes = 0;
  private logTimer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly limits: PeerPortLimits,
  ) {
    this.guard = ConnectionGuard.create(clock, limits.connections);
    this.gate = ReplyGate.create(limits.maxHeldBytes * replyShare);
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
   * Begins a request that has been counted, once there is room for its reply; never
   * if its connection closes before.
   * @param socket - Connection of the request.
   * @param request - The request.
   * @param begin - Called at most once, with the function to call when the reply
   *   counts among the held bytes.
   */
  beginRequest(
    socket: Socket,
    request: PeerRequestBody,
    begin: (onEnded: () => void) => void,
  ): void {
    const replyBytes = this.limits.getReplyBytes?.(request) ?? 0;
    const onEnded = () => {
      this.guard.endRequest(socket);
      this.gate.end(socket, replyBytes);
    };
    if (replyBytes === 0) begin(onEnded);
    else this.gate.add(socket, replyBytes, () => begin(onEnded));
  }

  /**
   * Sets what is held for a connection. Resets the one for which most is held if
   * all together exceed the limit.
   * @param socket - Connection that has received or sent.
   * @param held - Bytes of the request that arrives and of unsent replies.
   */
  setHeldBytes(socket: Socket, {arrivingBytes, unsentBytes}: HeldBytes): void {
    if (socket.destroyed) return;
    const bytes = arrivingBytes + unsentBytes;
    this.totalBytes += bytes - (this.heldBytes.get(socket) ?? 0);
    if (bytes === 0) this.heldBytes.delete(socket);
    else this.heldBytes.set(socket, bytes);
    const isExceeded = this.totalBytes > this.limits.maxHeldBytes;
    // A single message finds room, however large it is.
    if (isExceeded && this.heldBytes.size > 1) {
      this.end(this.findLargest(socket), 'buffered');
    }
    if (!socket.destroyed) this.gate.setUnsentBytes(socket, unsentBytes);
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
    this.gate.remove(socket);
  }
}
