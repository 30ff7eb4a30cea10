/** Requester side of one stream between two daemons. */
import {create} from '@bufbuild/protobuf';
import {
  AsyncQueue,
  type DaemonId,
  MarigoldpostError,
} from '@marigoldpost/common';
import {
  type PeerFrame,
  PeerFrameSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {FrameQueue, type QueuedFrame} from '../utils/frame_queue.js';
import {fromPeerError} from './peer_error_codec.js';
import type {PeerReplyBody, PeerRequestBody} from './peer_transport.js';
import {replyCreditBatch} from './reply_window.js';

/** Maximum number of queued frames; more mean that the peer does not read. */
const maxQueuedFrames = 8192;

/** Opens a bidirectional stream: sends `outgoing`, returns received frames. */
export type OpenExchangeStream = (
  outgoing: AsyncIterable<PeerFrame>,
  signal: AbortSignal,
) => AsyncIterable<PeerFrame>;

/** A request in progress and its received replies. */
export interface PendingExchange {
  readonly number: bigint;
  readonly request: QueuedFrame;
  readonly replies: AsyncQueue<PeerReplyBody>;
  isEnded: boolean;
  /** Called for each frame of the peer for this exchange; idempotent. */
  readonly onResponseFrame: () => void;
}

/** Endpoints and callbacks of a stream. */
export interface PeerStreamOptions {
  /** This daemon, named as the sender of each request. */
  readonly sender: DaemonId;
  /** Peer, for error messages. */
  readonly peer: DaemonId;
  readonly open: OpenExchangeStream;
  /** Called once when the stream has closed. */
  readonly onClosed: () => void;
}

/** Sends requests over an open stream and matches replies by number. */
export class PeerStream {
  private readonly pending = new Map<bigint, PendingExchange>();
  private readonly outgoing = FrameQueue.create();
  private readonly controller = new AbortController();
  private nextExchangeNumber = 1n;
  private isClosed = false;

  private constructor(private readonly options: PeerStreamOptions) {}

  /**
   * Opens a stream and starts reading it.
   * @param options - Endpoints and callbacks.
   */
  static create(options: PeerStreamOptions): PeerStream {
    const stream = new PeerStream(options);
    void stream.readFrames();
    return stream;
  }

  /**
   * Enqueues a request. Closes the stream if too many frames are queued.
   * @param body - Request to send.
   * @param onResponseFrame - Called for each frame of the peer for it.
   */
  startExchange(
    body: PeerRequestBody,
    onResponseFrame: () => void,
  ): PendingExchange {
    if (this.outgoing.size >= maxQueuedFrames) this.close();
    const {sender} = this.options;
    const number = this.nextExchangeNumber++;
    const frame = create(PeerFrameSchema, {
      exchange: number,
      body: {case: 'request', value: {sender, body}},
    });
    const exchange: PendingExchange = {
      number,
      request: this.outgoing.add(frame),
      replies: AsyncQueue.create<PeerReplyBody>(),
      isEnded: false,
      onResponseFrame: onResponseFrame,
    };
    this.pending.set(number, exchange);
    if (this.isClosed) this.failOnClosed(exchange);
    return exchange;
  }

  /**
   * Reads the replies of an exchange and grants credit for more. Cancels the
   * exchange when the reader stops early.
   * @param exchange - Exchange that `startExchange` returned.
   */
  async *readReplies(exchange: PendingExchange): AsyncIterable<PeerReplyBody> {
    let repliesSinceCredit = 0;
    try {
      for await (const reply of exchange.replies) {
        repliesSinceCredit += 1;
        if (repliesSinceCredit === replyCreditBatch) {
          this.sendCredit(exchange.number, repliesSinceCredit);
          repliesSinceCredit = 0;
        }
        yield reply;
      }
    } finally {
      this.cancelExchange(exchange);
    }
  }

  /**
   * Cancels an exchange and makes its reader fail.
   * @param exchange - Exchange that `startExchange` returned.
   * @param error - Error that the reader throws.
   */
  failExchange(exchange: PendingExchange, error: MarigoldpostError): void {
    this.cancelExchange(exchange);
    exchange.replies.end(error);
  }

  /** Closes the stream and fails every pending exchange. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.controller.abort();
    this.outgoing.end();
    for (const exchange of this.pending.values()) this.failOnClosed(exchange);
    this.options.onClosed();
  }

  private cancelExchange(exchange: PendingExchange): void {
    if (exchange.isEnded) return;
    this.removeExchange(exchange);
    if (!exchange.request.isDequeued) {
      this.outgoing.remove(exchange.request);
      return;
    }
    this.enqueueFrame(exchange.number, {case: 'cancel', value: {}});
  }

  private removeExchange(exchange: PendingExchange): void {
    exchange.isEnded = true;
    this.pending.delete(exchange.number);
  }

  private failOnClosed(exchange: PendingExchange): void {
    this.removeExchange(exchange);
    exchange.replies.end(this.createStreamClosedError(exchange));
  }

  private createStreamClosedError({
    request,
  }: PendingExchange): MarigoldpostError {
    const {peer} = this.options;
    return request.isDequeued
      ? MarigoldpostError.create('peer_lost', `stream to peer "${peer}" closed`)
      : MarigoldpostError.create(
          'peer_unavailable',
          `no stream to peer "${peer}"`,
        );
  }

  private sendCredit(number: bigint, replies: number): void {
    if (!this.pending.has(number)) return;
    this.enqueueFrame(number, {case: 'credit', value: {replies}});
  }

  private enqueueFrame(
    exchange: bigint,
    body:
      | {case: 'cancel'; value: object}
      | {case: 'credit'; value: {replies: number}},
  ): void {
    this.outgoing.add(create(PeerFrameSchema, {exchange, body}));
  }

  private async readFrames(): Promise<void> {
    const {signal} = this.controller;
    try {
      const incoming = this.options.open(this.outgoing, signal);
      for await (const frame of incoming) this.handleFrame(frame);
    } catch {
      // `close` fails each pending exchange with its own error.
    } finally {
      this.close();
    }
  }

  private handleFrame({exchange: number, body}: PeerFrame): void {
    const exchange = this.pending.get(number);
    if (exchange === undefined) return;
    exchange.onResponseFrame();
    if (body.case === 'reply') exchange.replies.add(body.value.body);
    if (body.case !== 'end') return;
    this.removeExchange(exchange);
    const {error} = body.value;
    exchange.replies.end(error && fromPeerError(error));
  }
}
