/**
 * Decides when requests with large replies begin. Load pattern: many peers ask at
 * once for more than the links take, as after a restart of their caches; the replies
 * wait in memory until they are written. Requests are small and can wait instead.
 */

interface WaitingRequest<Key> {
  readonly key: Key;
  readonly replyBytes: number;
  readonly begin: () => void;
}

/** Replies of one connection that have not been written. */
interface OutstandingReplies {
  /** Most bytes of the replies to requests that have begun. */
  expectedBytes: number;
  unsentBytes: number;
}

/** Requests that begin at once or once there is room for their replies. */
export class ReplyGate<Key> {
  private waiting: Array<WaitingRequest<Key>> = [];
  private readonly outstanding = new Map<Key, OutstandingReplies>();
  private outstandingBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a gate without requests.
   * @param maxBytes - Bytes of replies above which a connection with outstanding
   *   ones begins no other.
   */
  static create<Key>(maxBytes: number): ReplyGate<Key> {
    return new ReplyGate<Key>(maxBytes);
  }

  /**
   * Begins a request, now or later; never if its connection closes before.
   * @param key - Connection of the request.
   * @param replyBytes - Most bytes that its reply may have.
   * @param begin - Called at most once.
   */
  add(key: Key, replyBytes: number, begin: () => void): void {
    this.waiting.push({key, replyBytes, begin});
    this.beginWaiting();
  }

  /**
   * Records that a request has its reply, whose bytes count among the unsent ones.
   * @param key - Connection of the request.
   * @param replyBytes - As when it was added.
   */
  end(key: Key, replyBytes: number): void {
    if (!this.outstanding.has(key)) return;
    this.change(key, {expected: -replyBytes});
    this.beginWaiting();
  }

  /**
   * Sets the bytes of replies that wait to be written.
   * @param key - Connection of the replies.
   * @param bytes - Bytes of all of them.
   */
  setUnsentBytes(key: Key, bytes: number): void {
    const unsentBytes = this.outstanding.get(key)?.unsentBytes ?? 0;
    if (bytes === unsentBytes) return;
    this.change(key, {unsent: bytes - unsentBytes});
    this.beginWaiting();
  }

  /**
   * Forgets a connection that has closed.
   * @param key - The connection.
   */
  remove(key: Key): void {
    const known = this.outstanding.get(key);
    if (known !== undefined) {
      this.outstandingBytes -= known.expectedBytes + known.unsentBytes;
      this.outstanding.delete(key);
    }
    this.waiting = this.waiting.filter((request) => request.key !== key);
    this.beginWaiting();
  }

  private beginWaiting(): void {
    for (;;) {
      const index = this.waiting.findIndex((request) => this.mayBegin(request));
      const [request] = index < 0 ? [] : this.waiting.splice(index, 1);
      if (request === undefined) return;
      this.change(request.key, {expected: request.replyBytes});
      request.begin();
    }
  }

  /** A peer that does not read its replies does not delay those of others. */
  private mayBegin({key, replyBytes}: WaitingRequest<Key>): boolean {
    const bytes = this.outstandingBytes + replyBytes;
    return bytes <= this.maxBytes || !this.outstanding.has(key);
  }

  private change(key: Key, {expected = 0, unsent = 0}): void {
    const known = this.outstanding.get(key);
    const expectedBytes = (known?.expectedBytes ?? 0) + expected;
    const unsentBytes = (known?.unsentBytes ?? 0) + unsent;
    this.outstandingBytes += expected + unsent;
    if (expectedBytes + unsentBytes === 0) this.outstanding.delete(key);
    else this.outstanding.set(key, {expectedBytes, unsentBytes});
  }
}
