/** Connection to one peer for requests with one reply each. */
import {connect, type Socket} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  MarigoldpostError,
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

/** How often replies that are due are looked for. */
const checkIntervalMs = 50;

interface PendingReply {
  readonly sentAtMs: number;
  readonly dueAtMs: number;
  readonly resolve: (reply: PeerReplyBody) => void;
  readonly reject: (error: MarigoldpostError) => void;
}

/** Options of a link. */
export interface MessageLinkOptions {
  readonly sender: DaemonId;
  readonly peer: PeerAddress;
  readonly clock: Clock;
}

/** Link that connects with its first request, and again after a failure. */
export class MessageLink {
  private readonly pending = new Map<bigint, PendingReply>();
  private socket: Socket | undefined;
  private framer: MessageFramer | undefined;
  private nextNumber = 1n;
  private lastReceivedMs = 0;
  private isChecking = false;

  private constructor(private readonly options: MessageLinkOptions) {}

  /**
   * Creates a link that is not connected.
   * @param options - Ends of the link.
   */
  static create(options: MessageLinkOptions): MessageLink {
    return new MessageLink(options);
  }

  /**
   * Sends a request and waits for its reply. Throws `peer_lost` when none came;
   * the peer may have handled the request then.
   * @param body - The request.
   * @param timeoutMs - Longest wait.
   */
  ask(body: PeerRequestBody, timeoutMs: number): Promise<PeerReplyBody> {
    return new Promise((resolve, reject) => {
      const framer = this.framer ?? this.open();
      const number = this.nextNumber;
      this.nextNumber += 1n;
      const sentAtMs = this.options.clock.nowMs();
      const dueAtMs = sentAtMs + timeoutMs;
      this.pending.set(number, {sentAtMs, dueAtMs, resolve, reject});
      const {sender} = this.options;
      const value = create(PeerRequestSchema, {sender, body});
      framer.send(number, {case: 'request', value});
      this.check();
    });
  }

  /** Closes the connection; requests under way fail. */
  close(): void {
    this.drop();
  }

  /** Lets the next request connect anew. */
  private drop(): void {
    const {socket} = this;
    if (socket === undefined) return;
    this.fail(socket, undefined);
    socket.destroy();
  }

  private open(): MessageFramer {
    const {hostname, port} = new URL(this.options.peer.address);
    const socket = connect({host: hostname, port: Number(port)});
    const framer = MessageFramer.attach(socket, (frame) => this.accept(frame));
    let cause: Error | undefined;
    socket.on('error', (error) => {
      cause = error;
    });
    socket.once('close', () => this.fail(socket, cause));
    this.socket = socket;
    this.framer = framer;
    return framer;
  }

  private accept({exchange, body}: PeerFrame): void {
    this.lastReceivedMs = this.options.clock.nowMs();
    const pending = this.pending.get(exchange);
    if (pending === undefined) return;
    this.pending.delete(exchange);
    if (body.case === 'reply') pending.resolve(body.value.body);
    else if (body.case === 'end' && body.value.error !== undefined) {
      pending.reject(fromPeerError(body.value.error));
    } else pending.reject(this.createLost('sent no reply'));
  }

  private check(): void {
    if (this.isChecking) return;
    this.isChecking = true;
    this.options.clock.setTimer(checkIntervalMs, () => {
      this.isChecking = false;
      this.failOverdue();
      if (this.pending.size > 0) this.check();
    });
  }

  private failOverdue(): void {
    const nowMs = this.options.clock.nowMs();
    let isSilent = false;
    for (const [number, pending] of this.pending) {
      if (pending.dueAtMs > nowMs) continue;
      this.pending.delete(number);
      isSilent ||= this.lastReceivedMs < pending.sentAtMs;
      pending.reject(this.createLost('did not reply in time'));
    }
    // Nothing came since the request: the connection may be dead for good.
    if (isSilent) this.drop();
  }

  private fail(socket: Socket, cause: Error | undefined): void {
    if (this.socket !== socket) return;
    this.socket = undefined;
    this.framer = undefined;
    for (const pending of this.pending.values()) {
      pending.reject(this.createLost('closed the connection', cause));
    }
    this.pending.clear();
  }

  private createLost(problem: string, cause?: Error): MarigoldpostError {
    const {daemon, address} = this.options.peer;
    const message = `peer "${daemon}" at ${address} ${problem}`;
    return MarigoldpostError.create('peer_lost', message, {cause});
  }
}
