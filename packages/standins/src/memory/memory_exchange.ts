/** Request in flight on the in-memory peer network, with its replies. */
import {
  AsyncQueue,
  type DaemonId,
  Deferred,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import {
  fromPeerError,
  type PeerReplyBody,
  replyWindow,
  toPeerError,
} from '@marigoldpost/peers';

/** State of one exchange, shared by the sender and the peer. */
export class MemoryExchange {
  /** Whether the request was sent, so that it may have reached the peer. */
  isSent = false;
  private readonly controller = new AbortController();
  private readonly replies = AsyncQueue.create<PeerReplyBody>();
  private credit = replyWindow;
  private creditAdded: Deferred<void> | undefined;

  private constructor(
    readonly sender: DaemonId,
    readonly peer: DaemonId,
  ) {}

  /**
   * Creates an exchange whose request has not been sent.
   * @param sender - Daemon that sends the request.
   * @param peer - Daemon that handles the request.
   */
  static create(sender: DaemonId, peer: DaemonId): MemoryExchange {
    return new MemoryExchange(sender, peer);
  }

  /** Aborted when the sender no longer reads replies. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Checks whether the exchange is between two daemons, in either direction.
   * @param left - One of the daemons.
   * @param right - Other daemon.
   */
  isBetween(left: DaemonId, right: DaemonId): boolean {
    return this.involves(left) && this.involves(right);
  }

  /**
   * Checks whether a daemon is the sender or the peer.
   * @param daemon - Daemon to compare.
   */
  involves(daemon: DaemonId): boolean {
    return this.sender === daemon || this.peer === daemon;
  }

  /** Yields the replies; each one read adds a credit for the peer. */
  async *read(): AsyncIterable<PeerReplyBody> {
    try {
      for await (const reply of this.replies) {
        this.credit += 1;
        this.notifyCreditWaiter();
        yield reply;
      }
    } finally {
      this.abort();
    }
  }

  /**
   * Waits for a credit to send a reply and consumes it. Returns `false` if the
   * exchange is aborted.
   */
  async consumeCredit(): Promise<boolean> {
    while (this.credit === 0 && !this.signal.aborted) {
      this.creditAdded = Deferred.create<void>();
      await this.creditAdded.promise;
    }
    this.credit -= 1;
    return !this.signal.aborted;
  }

  /**
   * Enqueues a reply for the sender.
   * @param reply - Reply that has arrived.
   */
  addReply(reply: PeerReplyBody): void {
    this.replies.add(reply);
  }

  /** Completes the exchange after the replies already enqueued. */
  end(): void {
    this.replies.end();
  }

  /**
   * Fails the exchange with an error of the handler, converted as on the wire.
   * @param error - Value that the handler threw.
   */
  fail(error: unknown): void {
    this.replies.end(fromPeerError(toPeerError(toMarigoldpostError(error))));
  }

  /** Fails the exchange because the stream to the peer closed. */
  failAsLost(): void {
    this.failWith(`stream to peer "${this.peer}" closed`);
  }

  /** Fails the exchange because no reply arrived before the timeout. */
  failAsTimedOut(): void {
    this.failWith(`peer "${this.peer}" did not reply before the timeout`);
  }

  /** Fails the exchange because the sender aborted it. */
  cancel(): void {
    const outcome = this.isSent ? 'unknown' : 'not_run';
    const message = `request to peer "${this.peer}" was cancelled`;
    this.replies.end(MarigoldpostError.create('cancelled', message, {outcome}));
    this.abort();
  }

  private failWith(message: string): void {
    const kind = this.isSent ? 'peer_lost' : 'peer_unavailable';
    this.replies.end(MarigoldpostError.create(kind, message));
    this.abort();
  }

  private abort(): void {
    this.controller.abort();
    this.notifyCreditWaiter();
  }

  private notifyCreditWaiter(): void {
    this.creditAdded?.resolve();
    this.creditAdded = undefined;
  }
}
