/** Buffer for the unread chunks of a response body. */
import type {BufferBudget} from './buffer_budget.js';

/**
 * Chunks below this size are copied together: each would otherwise keep an
 * object, and the buffer that it was read into.
 */
const minKeptBytes = 1024;
/** Size of the blocks that chunks are copied into. */
const blockBytes = 8 * 1024;

/** Unread part of a response body, limited in bytes. */
export class ChunkBuffer {
  private chunks: Buffer[] = [];
  private byteLength = 0;
  /** Block that small chunks are copied into. */
  private block = Buffer.alloc(0);
  /** Where the part of the block begins that is the last chunk. */
  private partStart = 0;
  private blockEnd = 0;
  private isBlockLast = false;

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
   * @param chunk - Next bytes of the body.
   */
  add(chunk: Buffer): boolean {
    const {byteLength} = chunk;
    const hasRoom =
      this.byteLength + byteLength <= this.maxBytes &&
      this.budget.take(byteLength);
    if (!hasRoom) return false;
    this.byteLength += byteLength;
    // A reader that keeps up takes each chunk before the next one.
    const isNext = this.chunks.length > 0;
    if (isNext && byteLength < minKeptBytes) this.copy(chunk);
    else {
      this.chunks.push(chunk);
      this.isBlockLast = false;
    }
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
    // What was taken may refer to the block.
    this.block = Buffer.alloc(0);
    this.blockEnd = 0;
    this.isBlockLast = false;
  }

  /** Removes all unread bytes and returns them as UTF-8 text. */
  takeText(): string {
    return this.take()?.toString('utf8') ?? '';
  }

  private copy(chunk: Buffer): void {
    if (this.blockEnd + chunk.byteLength > this.block.byteLength) {
      this.block = Buffer.allocUnsafeSlow(blockBytes);
      this.blockEnd = 0;
      this.isBlockLast = false;
    }
    if (this.isBlockLast) this.chunks.pop();
    else this.partStart = this.blockEnd;
    this.block.set(chunk, this.blockEnd);
    this.blockEnd += chunk.byteLength;
    this.chunks.push(this.block.subarray(this.partStart, this.blockEnd));
    this.isBlockLast = true;
  }
}
