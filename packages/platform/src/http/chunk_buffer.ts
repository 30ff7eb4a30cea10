/** Buffer for the unread chunks of a response body. */
import type {BufferBudget} from './buffer_budget.js';

/** Unread part of a response body, limited in bytes. */
export class ChunkBuffer {
  private chunks: Buffer[] = [];
  private byteLength = 0;

  private constructor(
    private readonly maxBytes: number,
    private readonly budget: BufferBudget,
  ) {}

  /**
   * Creates an empty buffer.
   * @param maxBytes - Most unread bytes.
   * @param budget - Bytes that this and other buffers may hold together.
   */
  static create(maxBytes: number, budget: BufferBudget): ChunkBuffer {
    return new ChunkBuffer(maxBytes, budget);
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
    const {byteLength} = chunk;
    const hasRoom =
      this.byteLength + byteLength <= this.maxBytes &&
      this.budget.take(byteLength);
    if (!hasRoom) return false;
    this.byteLength += byteLength;
    this.chunks.push(chunk);
    return true;
  }

  /** Removes and returns all unread chunks as one; undefined when empty. */
  take(): Buffer | undefined {
    if (this.chunks.length === 0) return undefined;
    const [first, ...others] = this.chunks;
    const all = others.length === 0 ? first : Buffer.concat(this.chunks);
    this.clear();
    return all;
  }

  /** Drops all unread bytes. */
  clear(): void {
    this.budget.give(this.byteLength);
    this.chunks = [];
    this.byteLength = 0;
  }

  /** Removes all unread bytes and returns them as UTF-8 text. */
  takeText(): string {
    return this.take()?.toString('utf8') ?? '';
  }
}
