/** Chunks of an answer that nobody has read yet. */

/** Unread part of an answer's body, up to a bound. */
export class HttpBody {
  private chunks: Buffer[] = [];
  private byteLength = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates an empty body.
   * @param maxBytes - Most unread bytes.
   */
  static create(maxBytes: number): HttpBody {
    return new HttpBody(maxBytes);
  }

  /** Unread bytes. */
  get size(): number {
    return this.byteLength;
  }

  /**
   * Adds a chunk; false when the body would exceed its bound.
   * @param chunk - The chunk.
   */
  add(chunk: Buffer): boolean {
    this.byteLength += chunk.byteLength;
    if (this.byteLength > this.maxBytes) return false;
    this.chunks.push(chunk);
    return true;
  }

  /** Takes all unread chunks as one; nothing when there are none. */
  take(): Buffer | undefined {
    if (this.chunks.length === 0) return undefined;
    const [first, ...others] = this.chunks;
    const all = others.length === 0 ? first : Buffer.concat(this.chunks);
    this.chunks = [];
    this.byteLength = 0;
    return all;
  }

  /** Takes all unread bytes as UTF-8 text. */
  getText(): string {
    return this.take()?.toString('utf8') ?? '';
  }
}
