/**
 * Collects bytes that arrive in parts. Load pattern: parts of one byte, of
 * which each would otherwise keep an object and the buffer that it was read
 * into.
 */

import {type BlockPool, pooledBlockBytes} from './block_pool.js';

const minBlockBytes = 1024;

/** Bytes in blocks of memory that hold nothing else. */
export class ByteBlocks {
  private blocks: Buffer[] = [];
  /** Bytes of the last block that are in use. */
  private lastUsed = 0;
  private capacity = 0;
  private size = 0;

  private constructor(private readonly pool: BlockPool) {}

  /**
   * Creates blocks without bytes.
   * @param pool - Pool of the largest blocks.
   */
  static create(pool: BlockPool): ByteBlocks {
    return new ByteBlocks(pool);
  }

  /** Number of bytes. */
  get byteLength(): number {
    return this.size;
  }

  /** Bytes that the blocks occupy in memory. */
  get heldBytes(): number {
    return this.capacity;
  }

  /**
   * Copies bytes to the end.
   * @param bytes - Bytes, which are not kept.
   */
  append(bytes: Uint8Array): void {
    let start = 0;
    while (start < bytes.byteLength) {
      const block = this.getBlockWithRoom(bytes.byteLength - start);
      const end = Math.min(
        bytes.byteLength,
        start + block.byteLength - this.lastUsed,
      );
      block.set(bytes.subarray(start, end), this.lastUsed);
      this.lastUsed += end - start;
      start = end;
    }
    this.size += bytes.byteLength;
  }

  /** Removes all bytes and gives back the blocks. */
  clear(): void {
    for (const block of this.blocks) this.pool.giveBack(block);
    this.blocks = [];
    this.lastUsed = 0;
    this.capacity = 0;
    this.size = 0;
  }

  /**
   * Gets the first bytes.
   * @param byteLength - Number of bytes, all by default.
   */
  concat(byteLength = this.size): Buffer {
    return Buffer.concat(this.blocks, byteLength);
  }

  private getBlockWithRoom(neededBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.lastUsed < last.byteLength) return last;
    const wanted = Math.max(minBlockBytes, this.capacity, neededBytes);
    const block =
      wanted < pooledBlockBytes
        ? Buffer.allocUnsafeSlow(wanted)
        : this.pool.take();
    this.blocks.push(block);
    this.lastUsed = 0;
    this.capacity += block.byteLength;
    return block;
  }
}
