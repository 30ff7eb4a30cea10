/** Buffer for the unread chunks of a response body. */

/** Unread part of a response body, limited in bytes. */
export class ChunkBuffer {
  private chunks: Buffer[] = [];
  private byteLength = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty buffer.
   * @param maxBytes - Most unread bytes.
   */
  static create(maxBytes: number): ChunkBuffer {
    return new ChunkBuffer(maxBytes);
  }

  /** Number of unread bytes. */
  get size(): number {
    return this.byteLength;
  }

  /**
   * Appends a chunk; false when the buffer would exceed its limit.
   * @param chunk - Not copied.
   */
  add(chunk: Buffer): boolean {
    this.byteLength += chunk.byteLength;
    if (this.byteLength > this.maxBytes) return false;
    this.chunks.push(chunk);
    return true;
  }

  /** Removes and returns all unread chunks as one; undefined when empty. */
  take(): Buffer | undefined {
    if (this.chunks.length === 0) return undefined;
    const [first, ...others] = this.chunks;
    const all = others.length === 0 ? first : Buffer.concat(this.chunks);
    this.chunks = [];
    this.byteLength = 0;
    return all;
  }

  /** Removes all unread bytes and returns them as UTF-8 text. */
  takeText(): string {
    return this.take()?.toString('utf8') ?? '';
  }
}
