/** TCP connection to one peer for requests with exactly one reply. */
import type {Socket} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  MarigoldpostError,
  type Timer,
} from '@marigoldpost/common';
import {
  type PeerFrame,
  PeerRequestSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {fromPeerError} from '../transport/peer_error_codec.js';
import type {
  PeerAddress,
  PeerReplyBody,
  PeerRequestBody,
} from '../transport/peer_transport.js';
import {MessageFramer} from './message_framer.js';

/**
 * Time after which a connection that has not opened is replaced. TCP repeats a
 * lost attempt after 1 s only, and another one succeeds at once when the network
 * works again.
 */
const connectTimeoutMs = 150;
/**
 * Rate at which messages arrive at least, below that of the slowest link of a VM
 * (21 Mbit/s). Large ones have more time in proportion.
 */
const minBytesPerMs = 1250;
/** Shortest time between two checks for timed-out requests. */
const minTimeoutCheckMs = 50;

interface PendingRequest {
  readonly body: PeerRequestBody;
  readonly sentAtMs: number;
  readonly dueAtMs: number;
  readonly resolve: (reply: PeerReplyBody) => void;
  readonly reject: (error: MarigoldpostError) => void;
}

/** Timer that fails the requests that are due. */
interface TimeoutCheck {
  readonly atMs: number;
  readonly timer: Timer;
}

/** Opens a connection to a host and port. */
export type ConnectPeer = (address: {host: string; port: number}) => Socket;

/** Endpoints and clock of a link. */
export interface MessageLinkOptions {
  readonly sender: DaemonId;
  readonly peer: PeerAddress;
  readonly clock: Clock;
  readonly connect: ConnectPeer;
}

/**
 * Link to one peer. Connects on the first request and reconnects on the next
 * request after a failure.
 */
export class MessageLink {
  private readonly pending = new Map<bigint, PendingRequest>();
  private socket: Socket | undefined;
  private framer: MessageFramer | undefined;
  private nextExchangeNumber = 1n;
  private lastReceivedMs = 0;
  private timeoutCheck: TimeoutCheck | undefined;

  private constructor(private readonly options: MessageLinkOptions) {}

  /**
   * Creates a link; the first request connects it.
   * @param options - Endpoints and clock.
   */
  static create(options: MessageLinkOptions): MessageLink {
    return new MessageLink(options);
  }

  /**
   * Sends a request and waits for its reply. Throws `peer_lost` if no reply
   * arrives; the peer may still have handled the request. Throws
   * `invalid_request` for a request that cannot be encoded or is too large.
   * @param body - Request to send.
   * @param timeoutMs - Maximum wait for the reply, apart from the time that the
   *   bytes of a large request or reply take.
   */
  ask(body: PeerRequestBody, timeoutMs: number): Promise<PeerReplyBody> {
    return new Promise((resolve, reject) => {
      const framer = this.framer ?? this.open();
      const number = this.nextExchangeNumber;
      this.nextExchangeNumber += 1n;
      const sentAtMs = this.options.clock.nowMs();
      const transferMs = this.send(framer, number, body) / minBytesPerMs;
      const dueAtMs = sentAtMs + timeoutMs + Math.floor(transferMs);
      this.pending.set(number, {body, sentAtMs, dueAtMs, resolve, reject});
      this.scheduleTimeoutCheck(dueAtMs);
    });
  }

  /** Closes the connection; pending requests fail. */
  close(): void {
    this.disconnect();
  }

  /** Closes the connection; the next request reconnects. */
  private disconnect(): void {
    const {socket} = this;
    if (socket === undefined) return;
    this.handleDisconnect(socket, undefined);
    socket.destroy();
  }

  private send(
    framer: MessageFramer,
    number: bigint,
    body: PeerRequestBody,
  ): number {
    const {sender} = this.options;
    const value = create(PeerRequestSchema, {sender, body});
    return framer.send(number, {case: 'request', value});
  }

  private open(): MessageFramer {
    const {peer, clock, connect} = this.options;
    const {hostname, port} = new URL(peer.address);
    const socket = connect({host: hostname, port: Number(port)});
    const timer = clock.setTimer(connectTimeoutMs, () => {
      // After a stall of the event loop, the connection may just have opened.
      setImmediate(() => this.reopen(socket));
    });
    socket.once('connect', () => timer.cancel());
    socket.once('close', () => timer.cancel());
    const framer = MessageFramer.attach(socket, (frame) =>
      this.handleFrame(frame),
    );
    let cause: Error | undefined;
    socket.on('error', (error) => {
      cause = error;
    });
    socket.once('close', () => this.handleDisconnect(socket, cause));
    this.socket = socket;
    this.framer = framer;
    return framer;
  }

  /** Sends the requests over another connection, as none has left this one. */
  private reopen(socket: Socket): void {
    if (this.socket !== socket || !socket.connecting) return;
    const framer = this.open();
    socket.destroy();
    for (const [number, {body}] of this.pending) {
      this.send(framer, number, body);
    }
  }

  private handleFrame({exchange, body}: PeerFrame): void {
    this.lastReceivedMs = this.options.clock.nowMs();
    const pending = this.pending.get(exchange);
    if (pending === undefined) return;
    this.pending.delete(exchange);
    if (body.case === 'reply') pending.resolve(body.value.body);
    else if (body.case === 'end' && body.value.error !== undefined) {
      pending.reject(fromPeerError(body.value.error));
    } else pending.reject(this.createPeerLostError('sent no reply'));
  }

  /** Checks for timed-out requests at a time, or earlier. */
  private scheduleTimeoutCheck(dueAtMs: number): void {
    if (this.timeoutCheck !== undefined) {
      if (this.timeoutCheck.atMs <= dueAtMs) return;
      this.timeoutCheck.timer.cancel();
    }
    const {clock} = this.options;
    const nowMs = clock.nowMs();
    const atMs = Math.max(dueAtMs, nowMs + minTimeoutCheckMs);
    const timer = clock.setTimer(Math.ceil(atMs - nowMs), () => {
      // After a stall of the event loop, replies may have arrived unread.
      setImmediate(() => this.checkTimeouts());
    });
    this.timeoutCheck = {atMs, timer};
  }

  private checkTimeouts(): void {
    this.timeoutCheck = undefined;
    this.failTimedOutRequests();
    const dueTimes = [...this.pending.values()].map(
      (request) => request.dueAtMs,
    );
    if (dueTimes.length > 0) this.scheduleTimeoutCheck(Math.min(...dueTimes));
  }

  private failTimedOutRequests(): void {
    const nowMs = this.options.clock.nowMs();
    // A large reply that is arriving is waited for.
    const arrivedBytes = this.framer?.incompleteBytes ?? 0;
    const arrivalMs = Math.floor(arrivedBytes / minBytesPerMs);
    let isConnectionSilent = false;
    for (const [number, pending] of this.pending) {
      if (pending.dueAtMs + arrivalMs > nowMs) continue;
      this.pending.delete(number);
      isConnectionSilent ||= this.lastReceivedMs < pending.sentAtMs;
      pending.reject(
        this.createPeerLostError('did not reply before the timeout'),
      );
    }
    // No frame arrived since the request: the connection may be half-open.
    if (isConnectionSilent) this.disconnect();
  }

  private handleDisconnect(socket: Socket, cause: Error | undefined): void {
    if (this.socket !== socket) return;
    this.socket = undefined;
    this.framer = undefined;
    for (const pending of this.pending.values()) {
      pending.reject(this.createPeerLostError('closed the connection', cause));
    }
    this.pending.clear();
  }

  private createPeerLostError(
    problem: string,
    cause?: Error,
  ): MarigoldpostError {
    const {daemon, address} = this.options.peer;
    const message = `peer "${daemon}" at ${address} ${problem}`;
    return MarigoldpostError.create('peer_lost', message, {cause});
  }
}
