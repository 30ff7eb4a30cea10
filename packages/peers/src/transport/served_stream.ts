/** Server side of one stream between two daemons. */
import {create} from '@bufbuild/protobuf';
import {
  type DaemonId,
  Deferred,
  MarigoldpostError,
  toId,
} from '@marigoldpost/common';
import {
  type PeerFrame,
  PeerFrameSchema,
  type PeerRequest,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {FrameQueue} from '../utils/frame_queue.js';
import {toPeerError} from './peer_error_codec.js';
import type {PeerHandler, PeerReplyBody} from './peer_transport.js';
import {replyWindow} from './reply_window.js';

/** Maximum number of concurrent exchanges of one stream. */
const maxExchanges = 4096;

/** Frames that wait for the peer to read from which no more of its are read. */
const maxQueuedFrames = 256;

/** Counts exchanges, which may be those of many streams. */
export interface ExchangeCounter {
  /** Counts an exchange that begins; throws `overloaded` if there are too many. */
  begin(): void;
  /** Counts the end of an exchange that began. */
  end(): void;
  /** Called for each frame that has been read. */
  onFrame(): void;
}

/** An exchange in progress: cancellation and reply credit. */
class ServedExchange {
  readonly controller = new AbortController();
  private credit = replyWindow;
  private waiting: Deferred<void> | undefined;

  addCredit(replies: number): void {
    this.credit += replies;
    this.wakeSender();
  }

  cancel(): void {
    this.controller.abort();
    this.wakeSender();
  }

  /** Waits for credit to send one reply; false if the exchange is cancelled. */
  async acquireCredit(): Promise<boolean> {
    while (this.credit === 0 && !this.controller.signal.aborted) {
      this.waiting = Deferred.create<void>();
      await this.waiting.promise;
    }
    this.credit -= 1;
    return !this.controller.signal.aborted;
  }

  private wakeSender(): void {
    this.waiting?.resolve();
    this.waiting = undefined;
  }
}

/** Runs the handler for each request and sends replies as credit allows. */
export class ServedStream {
  private readonly exchanges = new Map<bigint, ServedExchange>();
  private readonly outgoing = FrameQueue.create();

  private constructor(
    private readonly handler: PeerHandler,
    private readonly counter: ExchangeCounter,
  ) {}

  /**
   * Creates the server side of a stream.
   * @param handler - Answers each request with a series of replies.
   * @param counter - Counts the exchanges.
   */
  static create(handler: PeerHandler, counter: ExchangeCounter): ServedStream {
    return new ServedStream(handler, counter);
  }

  /**
   * Serves requests until the peer ends the stream; yields outgoing frames.
   * @param incoming - Frames that the peer sends.
   */
  async *serve(incoming: AsyncIterable<PeerFrame>): AsyncIterable<PeerFrame> {
    const reading = this.readFrames(incoming);
    try {
      yield* this.outgoing;
    } finally {
      this.stop();
    }
    await reading;
  }

  /** Cancels every exchange and ends the stream. */
  stop(): void {
    for (const exchange of this.exchanges.values()) exchange.cancel();
    this.outgoing.end();
  }

  private async readFrames(incoming: AsyncIterable<PeerFrame>): Promise<void> {
    try {
      for await (const frame of incoming) {
        this.counter.onFrame();
        this.handleFrame(frame);
        // A peer that does not read sends no more requests either.
        await this.outgoing.waitUntilBelow(maxQueuedFrames);
      }
    } catch {
      // The stream failed; the requester detects that itself.
    } finally {
      this.stop();
    }
  }

  private handleFrame({exchange, body}: PeerFrame): void {
    switch (body.case) {
      case 'request':
        void this.answer(exchange, body.value);
        break;
      case 'cancel':
        this.exchanges.get(exchange)?.cancel();
        break;
      case 'credit':
        this.exchanges.get(exchange)?.addCredit(body.value.replies);
        break;
      default:
        break;
    }
  }

  private async answer(number: bigint, request: PeerRequest): Promise<void> {
    try {
      this.counter.begin();
    } catch (error) {
      this.enqueueEnd(number, error);
      return;
    }
    const exchange = new ServedExchange();
    try {
      this.addExchange(number, exchange);
      await this.sendReplies(number, exchange, request);
      this.enqueueEnd(number);
    } catch (error) {
      this.enqueueEnd(number, error);
    } finally {
      this.exchanges.delete(number);
      this.counter.end();
    }
  }

  private addExchange(number: bigint, exchange: ServedExchange): void {
    if (this.exchanges.size >= maxExchanges) {
      throw MarigoldpostError.create(
        'overloaded',
        `peer already has ${maxExchanges} exchanges in progress on this stream`,
      );
    }
    this.exchanges.set(number, exchange);
  }

  private async sendReplies(
    number: bigint,
    exchange: ServedExchange,
    {sender, body}: PeerRequest,
  ): Promise<void> {
    const {signal} = exchange.controller;
    const replies = this.handler(toId<DaemonId>(sender), body, signal);
    for await (const reply of replies) {
      if (!(await exchange.acquireCredit())) return;
      await this.enqueueReply(number, reply);
    }
  }

  private enqueueReply(number: bigint, reply: PeerReplyBody): Promise<void> {
    const frame = create(PeerFrameSchema, {
      exchange: number,
      body: {case: 'reply', value: {body: reply}},
    });
    return this.outgoing.add(frame).settled;
  }

  private enqueueEnd(number: bigint, error?: unknown): void {
    const value = error === undefined ? {} : {error: toPeerError(error)};
    const frame = create(PeerFrameSchema, {
      exchange: number,
      body: {case: 'end', value},
    });
    this.outgoing.add(frame);
  }
}
