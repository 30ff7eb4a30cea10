/** Finds connections whose clients do not read. */

/**
 * Time without a byte read by the client after which its connection is reset;
 * above the time-out of any request, so that a slow client is not taken for one
 * that has stopped.
 */
const stallTimeoutMs = 15_000;

/** What is known of the output of a connection. */
export interface OutputState {
  /** Bytes handed to the kernel so far. */
  readonly writtenBytes: number;
  /** Bytes that wait in this process. */
  readonly waitingBytes: number;
}

interface Progress {
  readonly writtenBytes: number;
  readonly sinceMs: number;
}

/** Progress of the output of connections. */
export class StalledWrites<Key> {
  private readonly progress = new Map<Key, Progress>();

  private constructor() {}

  /** Creates a record without connections. */
  static create<Key>(): StalledWrites<Key> {
    return new StalledWrites<Key>();
  }

  /**
   * Finds the connections whose output has waited without progress.
   * @param outputs - Output of all open connections.
   * @param nowMs - Time on the daemon's clock.
   */
  find(outputs: ReadonlyMap<Key, OutputState>, nowMs: number): Key[] {
    const stalled: Key[] = [];
    for (const key of this.progress.keys()) {
      if (!outputs.has(key)) this.progress.delete(key);
    }
    for (const [key, {writtenBytes, waitingBytes}] of outputs) {
      const known = this.progress.get(key);
      if (waitingBytes === 0) this.progress.delete(key);
      else if (known?.writtenBytes !== writtenBytes) {
        this.progress.set(key, {writtenBytes, sinceMs: nowMs});
      } else if (nowMs - known.sinceMs >= stallTimeoutMs) stalled.push(key);
    }
    return stalled;
  }
}
