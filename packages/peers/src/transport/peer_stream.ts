/** Requesting side of one stream between two daemons. */
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

/** Frames that may wait for a peer that does not read. */
const maxQueuedFrames = 8192;

/** Turns the frames sent into the frames received. */
export type OpenExchangeStream = (
  outgoing: AsyncIterable<PeerFrame>,
  signal: AbortSignal,
) => AsyncIterable<PeerFrame>;

/** One request and its replies. */
export interface PendingExchange {
  readonly number: bigint;
  readonly request: QueuedFrame;
  readonly replies: AsyncQueue<PeerReplyBody>;
  isEnded: boolean;
  /** Called at the first frame of the peer for this exchange. */
  readonly onAnswered: () => void;
}

/** Options of a new stream. */
export interface PeerStreamOptions {
  /** Daemon that sends the requests. */
  readonly sender: DaemonId;
  /** Name of the peer, for messages. */
  readonly peer: DaemonId;
  readonly open: OpenExchangeStream;
  /** Called once, when the stream has ended. */
  readonly onClosed: () => void;
}

/** Open stream to one peer. */
export class PeerStream {
  private readonly pending = new Map<bigint, PendingExchange>();
  private readonly outgoing = FrameQueue.create();
  private readonly controller = new AbortController();
  private nextNumber = 1n;
  private isClosed = false;

  private constructor(private readonly options: PeerStreamOptions) {}

  /**
   * Opens a stream.
   * @param options - Ends of the stream.
   */
  static create(options: PeerStreamOptions): PeerStream {
    const stream = new PeerStream(options);
    void stream.readFrames();
    return stream;
  }

  /**
   * Sends a request.
   * @param body - The request.
   * @param onAnswered - Called at the peer's first frame for it.
   */
  addExchange(body: PeerRequestBody, onAnswered: () => void): PendingExchange {
    if (this.outgoing.size >= maxQueuedFrames) this.close();
    const {sender} = this.options;
    const number = this.nextNumber++;
    const frame = create(PeerFrameSchema, {
      exchange: number,
      body: {case: 'request', value: {sender, body}},
    });
    const exchange: PendingExchange = {
      number,
      request: this.outgoing.add(frame),
      replies: AsyncQueue.create<PeerReplyBody>(),
      isEnded: false,
      onAnswered,
    };
    this.pending.set(number, exchange);
    if (this.isClosed) this.breakExchange(exchange);
    return exchange;
  }

  /**
   * Reads the replies of an exchange and lets the peer send more.
   * @param exchange - The exchange.
   */
  async *readReplies(exchange: PendingExchange): AsyncIterable<PeerReplyBody> {
    let unconfirmed = 0;
    try {
      for await (const reply of exchange.replies) {
        unconfirmed += 1;
        if (unconfirmed === replyCreditBatch) {
          this.addCredit(exchange.number, unconfirmed);
          unconfirmed = 0;
        }
        yield reply;
      }
    } finally {
      this.cancelExchange(exchange);
    }
  }

  /**
   * Ends an exchange early with an error for its reader.
   * @param exchange - The exchange.
   * @param error - What the reader gets.
   */
  failExchange(exchange: PendingExchange, error: MarigoldpostError): void {
    this.cancelExchange(exchange);
    exchange.replies.end(error);
  }

  /** Breaks the stream and every exchange on it. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.controller.abort();
    this.outgoing.end();
    for (const exchange of this.pending.values()) this.breakExchange(exchange);
    this.options.onClosed();
  }

  private cancelExchange(exchange: PendingExchange): void {
    if (exchange.isEnded) return;
    this.finishExchange(exchange);
    if (!exchange.request.isTaken) {
      this.outgoing.remove(exchange.request);
      return;
    }
    this.addFrame(exchange.number, {case: 'cancel', value: {}});
  }

  private finishExchange(exchange: PendingExchange): void {
    exchange.isEnded = true;
    this.pending.delete(exchange.number);
  }

  private breakExchange(exchange: PendingExchange): void {
    this.finishExchange(exchange);
    exchange.replies.end(this.createBrokenError(exchange));
  }

  private createBrokenError({request}: PendingExchange): MarigoldpostError {
    const {peer} = this.options;
    return request.isTaken
      ? MarigoldpostError.create('peer_lost', `lost stream to peer "${peer}"`)
      : MarigoldpostError.create('peer_unavailable', `no stream to "${peer}"`);
  }

  private addCredit(number: bigint, replies: number): void {
    if (!this.pending.has(number)) return;
    this.addFrame(number, {case: 'credit', value: {replies}});
  }

  private addFrame(
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
      for await (const frame of incoming) this.acceptFrame(frame);
    } catch {
      // Each exchange gets its own error from `close`.
    } finally {
      this.close();
    }
  }

  private acceptFrame({exchange: number, body}: PeerFrame): void {
    const exchange = this.pending.get(number);
    if (exchange === undefined) return;
    exchange.onAnswered();
    if (body.case === 'reply') exchange.replies.add(body.value.body);
    if (body.case !== 'end') return;
    this.finishExchange(exchange);
    const {error} = body.value;
    exchange.replies.end(error && fromPeerError(error));
  }
}
