/** One request in flight on the in-memory network. */
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

/** Both ends of one exchange. */
export class MemoryExchange {
  /** Whether the request may have reached the peer. */
  isHandedOver = false;
  private readonly controller = new AbortController();
  private readonly replies = AsyncQueue.create<PeerReplyBody>();
  private credit = replyWindow;
  private credited: Deferred<void> | undefined;

  private constructor(
    readonly sender: DaemonId,
    readonly peer: DaemonId,
  ) {}

  /**
   * Creates an exchange whose request has not been sent.
   * @param sender - Daemon that asks.
   * @param peer - Daemon that answers.
   */
  static create(sender: DaemonId, peer: DaemonId): MemoryExchange {
    return new MemoryExchange(sender, peer);
  }

  /** Aborted when nobody wants replies any more. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Checks whether the exchange is between two daemons.
   * @param left - One daemon.
   * @param right - The other.
   */
  joins(left: DaemonId, right: DaemonId): boolean {
    return this.involves(left) && this.involves(right);
  }

  /**
   * Checks whether a daemon takes part.
   * @param daemon - The daemon.
   */
  involves(daemon: DaemonId): boolean {
    return this.sender === daemon || this.peer === daemon;
  }

  /** Reads the replies; each read lets the peer send one more. */
  async *read(): AsyncIterable<PeerReplyBody> {
    try {
      for await (const reply of this.replies) {
        this.credit += 1;
        this.wake();
        yield reply;
      }
    } finally {
      this.abort();
    }
  }

  /** Waits until one more reply may be sent; false when none is wanted. */
  async takeCredit(): Promise<boolean> {
    while (this.credit === 0 && !this.signal.aborted) {
      this.credited = Deferred.create<void>();
      await this.credited.promise;
    }
    this.credit -= 1;
    return !this.signal.aborted;
  }

  /**
   * Hands a reply to the reader.
   * @param reply - The reply.
   */
  addReply(reply: PeerReplyBody): void {
    this.replies.add(reply);
  }

  /** Ends the exchange after its last reply. */
  end(): void {
    this.replies.end();
  }

  /**
   * Ends the exchange with the error that the handler threw.
   * @param error - Anything thrown.
   */
  fail(error: unknown): void {
    this.replies.end(fromPeerError(toPeerError(toMarigoldpostError(error))));
  }

  /** Ends the exchange as a broken stream does. */
  breakOff(): void {
    this.giveUp(`lost stream to peer "${this.peer}"`);
  }

  /** Ends the exchange because no reply came in time. */
  timeOut(): void {
    this.giveUp(`peer "${this.peer}" did not reply in time`);
  }

  /** Ends the exchange because the requester gave up. */
  cancel(): void {
    const outcome = this.isHandedOver ? 'unknown' : 'not_run';
    const message = `request to peer "${this.peer}" was cancelled`;
    this.replies.end(MarigoldpostError.create('cancelled', message, {outcome}));
    this.abort();
  }

  private giveUp(message: string): void {
    const kind = this.isHandedOver ? 'peer_lost' : 'peer_unavailable';
    this.replies.end(MarigoldpostError.create(kind, message));
    this.abort();
  }

  private abort(): void {
    this.controller.abort();
    this.wake();
  }

  private wake(): void {
    this.credited?.resolve();
    this.credited = undefined;
  }
}
