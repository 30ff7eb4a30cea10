/**
 * Keeps blocks of memory for further use. Load pattern: responses without end
 * fill and release blocks faster than the garbage collector frees them.
 */

/** Size of the blocks that are kept. */
export const pooledBlockBytes = 64 * 1024;

/** Blocks of one size that are free. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  private constructor(private readonly maxBlocks: number) {}

  /**
   * Creates a pool without blocks.
   * @param maxBytes - Most bytes of free blocks.
   */
  static create(maxBytes: number): BlockPool {
    return new BlockPool(Math.floor(maxBytes / pooledBlockBytes));
  }

  /** Takes a block, or allocates one; its bytes are arbitrary. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(pooledBlockBytes);
  }

  /**
   * Gives back a block that nothing refers to any more.
   * @param block - Block; kept only if it has the pool's size.
   */
  giveBack(block: Buffer): void {
    if (block.byteLength !== pooledBlockBytes) return;
    if (this.free.length < this.maxBlocks) this.free.push(block);
  }
}
