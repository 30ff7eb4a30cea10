/** Prefix cache of an engine, with pinned blocks and LRU eviction. */
import {
  type Clock,
  LinkedList,
  type ListNode,
  type ProgramId,
} from '@marigoldpost/common';
import type {CacheEventLog} from './cache_event_log.js';

/** Usage of an engine's cache memory, in blocks and block-milliseconds. */
export interface CacheAccount {
  readonly usedBlocks: number;
  readonly freeBlocks: number;
  readonly totalBlocks: number;
  /** Integral of the number of used blocks over time. */
  readonly heldBlockMs: number;
  /**
   * Total time that blocks were idle between their last use and their removal.
   * Time in which a running request pins a block does not count.
   */
  readonly wastedBlockMs: number;
}

interface Block extends ListNode {
  readonly hash: string;
  readonly programs: Set<ProgramId>;
  readonly storedAtMs: number;
  /** Number of running requests that use the block. */
  pins: number;
  idleSinceMs: number;
}

/** Prefix cache of limited size that evicts the least recently used blocks. */
export class BlockCache {
  private readonly blocks = new Map<string, Block>();
  /** Unpinned blocks in eviction order. */
  private readonly idle = LinkedList.create<Block>();
  private readonly hashesOfProgram = new Map<ProgramId, Set<string>>();
  private removedHeldBlockMs = 0;
  private wastedBlockMs = 0;
  private accountStartMs = 0;
  private accountEndMs = Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly log: CacheEventLog,
    private readonly totalBlocks: number,
  ) {}

  /**
   * Creates an empty cache.
   * @param clock - Source of time.
   * @param log - Records stored and removed blocks.
   * @param totalBlocks - Capacity, in blocks.
   */
  static create(
    clock: Clock,
    log: CacheEventLog,
    totalBlocks: number,
  ): BlockCache {
    return new BlockCache(clock, log, totalBlocks);
  }

  /** Number of cached blocks, pinned or idle. */
  get usedBlocks(): number {
    return this.blocks.size;
  }

  /**
   * Counts the leading blocks that are cached.
   * @param hashes - Chained hashes, first block first.
   */
  countCached(hashes: readonly string[]): number {
    let count = 0;
    while (count < hashes.length && this.blocks.has(hashes[count] as string)) {
      count += 1;
    }
    return count;
  }

  /**
   * Pins blocks for a request and evicts idle blocks to make room. Returns
   * `false` without any change if the memory is insufficient.
   * @param program - Program that the blocks belong to.
   * @param hashes - Every block that the request reads or fills.
   */
  addPins(program: ProgramId, hashes: readonly string[]): boolean {
    const missing = hashes.filter((hash) => !this.blocks.has(hash));
    const idleNeeded = hashes.filter((hash) => this.isIdle(hash)).length;
    const free = this.totalBlocks - this.blocks.size;
    if (missing.length > free + this.idle.size - idleNeeded) return false;
    for (const hash of hashes) this.addPin(hash);
    this.evictIdle(missing.length - free);
    for (const hash of missing) this.addBlock(hash, 1);
    for (const hash of hashes) this.addProgram(program, hash);
    if (missing.length > 0) this.log.addEvent('stored', missing);
    return true;
  }

  /**
   * Unpins the blocks of a request; they stay cached until evicted.
   * @param hashes - The blocks passed to `addPins`.
   */
  removePins(hashes: readonly string[]): void {
    const nowMs = this.clock.nowMs();
    // Blocks become idle from last to first, so that shared prefixes are
    // evicted last.
    for (let i = hashes.length - 1; i >= 0; i -= 1) {
      const block = this.blocks.get(hashes[i] as string);
      if (block === undefined) continue;
      block.pins -= 1;
      if (block.pins > 0) continue;
      block.idleSinceMs = nowMs;
      this.idle.add(block);
    }
  }

  /**
   * Removes those of the blocks that are idle. Used for blocks whose content
   * was not computed.
   * @param hashes - Blocks of a finished or cancelled request.
   */
  removeUnfilled(hashes: readonly string[]): void {
    const removed = hashes.filter((hash) => this.isIdle(hash));
    for (const hash of removed) {
      this.removeBlock(this.blocks.get(hash) as Block);
    }
    if (removed.length > 0) this.log.addEvent('removed', removed);
  }

  /**
   * Removes a program's idle blocks unless another program uses them.
   * @param program - Program that no longer needs its cache.
   */
  removeProgram(program: ProgramId): void {
    const hashes = this.hashesOfProgram.get(program) ?? [];
    const removed: string[] = [];
    for (const hash of [...hashes]) {
      const block = this.blocks.get(hash);
      if (block === undefined || block.pins > 0) continue;
      block.programs.delete(program);
      this.hashesOfProgram.get(program)?.delete(hash);
      if (block.programs.size > 0) continue;
      this.removeBlock(block);
      removed.push(hash);
    }
    if (this.hashesOfProgram.get(program)?.size === 0) {
      this.hashesOfProgram.delete(program);
    }
    if (removed.length > 0) this.log.addEvent('removed', removed);
  }

  /**
   * Gets the hashes of a program's cached blocks in insertion order.
   * @param program - Program that the blocks belong to.
   */
  getBlocksOfProgram(program: ProgramId): readonly string[] {
    return [...(this.hashesOfProgram.get(program) ?? [])];
  }

  /**
   * Stores as many leading blocks of another engine as fit.
   * @param program - Program that the blocks belong to.
   * @param hashes - Chained hashes, first block first.
   */
  importBlocks(program: ProgramId, hashes: readonly string[]): void {
    const room = this.totalBlocks - this.blocks.size + this.idle.size;
    const imported = hashes.slice(0, room);
    if (this.addPins(program, imported)) this.removePins(imported);
  }

  /**
   * Removes every idle block. The log gets `cleared`, then `stored` for the
   * pinned blocks that remain.
   */
  clear(): void {
    for (;;) {
      const block = this.idle.first;
      if (block === undefined) break;
      this.removeBlock(block);
    }
    this.log.addEvent('cleared', []);
    const pinned = [...this.blocks.keys()];
    if (pinned.length > 0) this.log.addEvent('stored', pinned);
  }

  /**
   * Limits the account to an interval. Idle time before the end of the interval
   * is not wasted if a request uses the block after the interval.
   * @param startMs - Start of the interval, as given by the clock.
   * @param endMs - End of the interval, as given by the clock.
   */
  setAccountSpan(startMs: number, endMs: number): void {
    this.accountStartMs = startMs;
    this.accountEndMs = endMs;
  }

  /**
   * Gets the memory usage so far. The idle time of currently idle blocks counts
   * as wasted.
   */
  getAccount(): CacheAccount {
    let heldBlockMs = this.removedHeldBlockMs;
    let wastedBlockMs = this.wastedBlockMs;
    for (const block of this.blocks.values()) {
      heldBlockMs += this.getAccountedMs(block.storedAtMs);
      if (block.pins === 0) {
        wastedBlockMs += this.getAccountedMs(block.idleSinceMs);
      }
    }
    return {
      usedBlocks: this.blocks.size,
      freeBlocks: this.totalBlocks - this.blocks.size,
      totalBlocks: this.totalBlocks,
      heldBlockMs,
      wastedBlockMs,
    };
  }

  /** Gets the time since `sinceMs` that lies in the accounted interval. */
  private getAccountedMs(sinceMs: number): number {
    const startMs = Math.max(sinceMs, this.accountStartMs);
    const endMs = Math.min(this.clock.nowMs(), this.accountEndMs);
    return Math.max(0, endMs - startMs);
  }

  private isIdle(hash: string): boolean {
    return this.blocks.get(hash)?.pins === 0;
  }

  private addPin(hash: string): void {
    const block = this.blocks.get(hash);
    if (block === undefined) return;
    if (block.pins === 0) this.idle.remove(block);
    block.pins += 1;
  }

  private addBlock(hash: string, pins: number): void {
    const nowMs = this.clock.nowMs();
    this.blocks.set(hash, {
      hash,
      programs: new Set(),
      storedAtMs: nowMs,
      pins,
      idleSinceMs: nowMs,
      previous: undefined,
      next: undefined,
    });
  }

  private addProgram(program: ProgramId, hash: string): void {
    this.blocks.get(hash)?.programs.add(program);
    let hashes = this.hashesOfProgram.get(program);
    if (hashes === undefined) {
      hashes = new Set();
      this.hashesOfProgram.set(program, hashes);
    }
    hashes.add(hash);
  }

  private evictIdle(count: number): void {
    const removed: string[] = [];
    while (removed.length < count) {
      const block = this.idle.first;
      if (block === undefined) break;
      this.removeBlock(block);
      removed.push(block.hash);
    }
    if (removed.length > 0) this.log.addEvent('removed', removed);
  }

  private removeBlock(block: Block): void {
    this.removedHeldBlockMs += this.getAccountedMs(block.storedAtMs);
    this.wastedBlockMs += this.getAccountedMs(block.idleSinceMs);
    this.blocks.delete(block.hash);
    if (block.pins === 0) this.idle.remove(block);
    for (const program of block.programs) this.removeHash(program, block.hash);
  }

  private removeHash(program: ProgramId, hash: string): void {
    const hashes = this.hashesOfProgram.get(program);
    hashes?.delete(hash);
    if (hashes?.size === 0) this.hashesOfProgram.delete(program);
  }
}
