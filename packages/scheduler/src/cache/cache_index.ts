/**
 * Which targets hold which blocks, as far as this daemon can know. Engines tell
 * of births and deaths of blocks only, late and with gaps, and never of a hit.
 * So births also come from own dispatches, and recency from an own account: a
 * block that was last used before as many newer blocks came as the target's
 * memory holds must have been evicted.
 */
import {LinkedList, type ListNode, type ProgramId} from '@marigoldpost/common';
import type {CacheEvent} from '@marigoldpost/targets';

/** Sources and size of the index. */
export interface CacheIndexOptions {
  /** Most pairs of block and target. */
  readonly maxEntries: number;
  readonly usesOwnDispatches: boolean;
  readonly usesEvents: boolean;
  /** Judges by the own account whether blocks are still there. */
  readonly usesOwnRecency: boolean;
}

/** Settings for a daemon. */
export const defaultCacheIndexOptions: CacheIndexOptions = {
  maxEntries: 100_000,
  usesOwnDispatches: true,
  usesEvents: true,
  usesOwnRecency: true,
};

/**
 * Uses of one block. Most blocks are on one target, so that pair stands in the
 * entry itself; entries are recycled, since a full index would otherwise keep
 * the garbage collector busy.
 */
interface BlockEntry extends ListNode {
  hash: string;
  /** The one program that used the block, or nothing when several did. */
  program: ProgramId | undefined;
  slot: number;
  /** Position in the target's account of the last known use. */
  usedAt: number;
  /** Position of the last use by further slots. */
  others: Map<number, number> | undefined;
}

const maxSpareEntries = 4_096;

function createEntry(): BlockEntry {
  return {
    hash: '',
    program: undefined,
    slot: 0,
    usedAt: 0,
    others: undefined,
    previous: undefined,
    next: undefined,
  };
}

interface SlotAccount {
  /** Blocks that came to the target so far, as far as is known. */
  storedBlocks: number;
  capacityBlocks: number;
  lastSequence: number;
}

/** Bounded map from block to targets; the least recently used go first. */
export class CacheIndex {
  private readonly entries = new Map<string, BlockEntry>();
  private readonly recency = LinkedList.create<BlockEntry>();
  private readonly accounts: Array<SlotAccount | undefined> = [];
  private readonly spareEntries: BlockEntry[] = [];
  private pairs = 0;
  private foundSlots = 0;

  private constructor(private readonly options: CacheIndexOptions) {}

  /**
   * Creates an empty index.
   * @param options - What differs from `defaultCacheIndexOptions`.
   */
  static create(options: Partial<CacheIndexOptions> = {}): CacheIndex {
    return new CacheIndex({...defaultCacheIndexOptions, ...options});
  }

  /** Number of pairs of block and target. */
  get size(): number {
    return this.pairs;
  }

  /**
   * Sets the size of a target's memory.
   * @param slot - The target's number.
   * @param capacityBlocks - Size, in blocks.
   */
  setCapacity(slot: number, capacityBlocks: number): void {
    this.getAccount(slot).capacityBlocks = capacityBlocks;
  }

  /**
   * Notes that an own call uses blocks on a target.
   * @param slot - The target's number.
   * @param program - The program whose call it is.
   * @param hashes - Blocks of the prompt, first block first.
   */
  addOwnUse(slot: number, program: ProgramId, hashes: readonly string[]): void {
    if (!this.options.usesOwnDispatches) return;
    for (const hash of hashes) this.addUse(hash, slot, program);
    this.removeOldest();
  }

  /**
   * Notes that a program's cache was released on a target.
   * @param slot - The target's number.
   * @param program - The program.
   * @param hashes - Blocks of its last prompt; shared ones stay.
   */
  removeOwnUse(
    slot: number,
    program: ProgramId,
    hashes: readonly string[],
  ): void {
    for (const hash of hashes) {
      if (this.entries.get(hash)?.program === program) {
        this.removePair(hash, slot);
      }
    }
  }

  /**
   * Takes in a target's events.
   * @param slot - The target's number.
   * @param events - Events in order, perhaps with gaps or seen before.
   */
  addEvents(slot: number, events: readonly CacheEvent[]): void {
    if (!this.options.usesEvents) return;
    const account = this.getAccount(slot);
    for (const event of events) {
      if (event.sequence <= account.lastSequence) continue;
      account.lastSequence = event.sequence;
      this.addEvent(slot, event);
    }
    this.removeOldest();
  }

  /**
   * Removes all that is known of a target.
   * @param slot - The target's number.
   */
  removeSlot(slot: number): void {
    this.removePairsOf(slot);
    this.accounts[slot] = undefined;
  }

  /**
   * Gets the number of cached leading blocks on each target.
   * @param hashes - Blocks of a prompt, first block first.
   * @param counts - Gets the numbers by slot; zeroed first.
   */
  countCachedBlocks(hashes: readonly string[], counts: Uint32Array): void {
    counts.fill(0);
    this.foundSlots = 0;
    // The first block is on every target that has any of the others.
    const most = this.countSlots(hashes[0]);
    for (let depth = this.findDepth(hashes); depth > 0; depth -= 1) {
      if (this.foundSlots >= most) return;
      const entry = this.entries.get(hashes[depth - 1] as string);
      if (entry === undefined) continue;
      this.setCount(counts, entry.slot, entry.usedAt, depth);
      if (entry.others === undefined) continue;
      for (const [slot, usedAt] of entry.others) {
        this.setCount(counts, slot, usedAt, depth);
      }
    }
  }

  private countSlots(hash: string | undefined): number {
    const entry = hash === undefined ? undefined : this.entries.get(hash);
    return entry === undefined ? Infinity : 1 + (entry.others?.size ?? 0);
  }

  private setCount(
    counts: Uint32Array,
    slot: number,
    usedAt: number,
    depth: number,
  ): void {
    if (counts[slot] !== 0 || !this.isLive(slot, usedAt)) return;
    counts[slot] = depth;
    this.foundSlots += 1;
  }

  /** Finds the deepest known block; a block implies those before it. */
  private findDepth(hashes: readonly string[]): number {
    let low = 0;
    let high = hashes.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.entries.has(hashes[middle - 1] as string)) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  private isLive(slot: number, usedAt: number): boolean {
    if (!this.options.usesOwnRecency) return true;
    const {storedBlocks, capacityBlocks} = this.getAccount(slot);
    return storedBlocks - usedAt < capacityBlocks;
  }

  private addEvent(slot: number, event: CacheEvent): void {
    const {kind, blockHashes} = event;
    if (kind === 'cleared') this.removePairsOf(slot);
    if (kind === 'removed') {
      for (const hash of blockHashes) this.removePair(hash, slot);
    }
    if (kind !== 'stored') return;
    for (const hash of blockHashes) this.addUse(hash, slot, undefined);
  }

  private addUse(
    hash: string,
    slot: number,
    program: ProgramId | undefined,
  ): void {
    const known = this.entries.get(hash);
    if (known === undefined) {
      this.addEntry(hash, slot, program);
      return;
    }
    if (program !== undefined && known.program !== program) {
      known.program = undefined;
    }
    this.setUse(known, slot);
    this.recency.remove(known);
    this.recency.add(known);
  }

  private setUse(entry: BlockEntry, slot: number): void {
    if (entry.slot === slot) {
      entry.usedAt = this.getAccount(slot).storedBlocks;
      return;
    }
    entry.others ??= new Map();
    if (!entry.others.has(slot)) this.countPair(slot);
    entry.others.set(slot, this.getAccount(slot).storedBlocks);
  }

  private countPair(slot: number): void {
    this.pairs += 1;
    this.getAccount(slot).storedBlocks += 1;
  }

  private addEntry(
    hash: string,
    slot: number,
    program: ProgramId | undefined,
  ): void {
    this.countPair(slot);
    const entry = this.spareEntries.pop() ?? createEntry();
    entry.hash = hash;
    entry.program = program;
    entry.slot = slot;
    entry.usedAt = this.getAccount(slot).storedBlocks;
    this.entries.set(hash, entry);
    this.recency.add(entry);
  }

  private removePairsOf(slot: number): void {
    for (const hash of [...this.entries.keys()]) this.removePair(hash, slot);
  }

  private removePair(hash: string, slot: number): void {
    const entry = this.entries.get(hash);
    if (entry === undefined) return;
    if (entry.others?.delete(slot)) {
      this.pairs -= 1;
      return;
    }
    if (entry.slot !== slot) return;
    const next = entry.others?.entries().next().value;
    if (next === undefined) {
      this.removeEntry(entry);
      return;
    }
    this.pairs -= 1;
    [entry.slot, entry.usedAt] = next;
    entry.others?.delete(entry.slot);
  }

  private removeOldest(): void {
    while (this.pairs > this.options.maxEntries) {
      const oldest = this.recency.first;
      if (oldest === undefined) return;
      this.removeEntry(oldest);
    }
  }

  private removeEntry(entry: BlockEntry): void {
    this.pairs -= 1 + (entry.others?.size ?? 0);
    this.entries.delete(entry.hash);
    this.recency.remove(entry);
    entry.others = undefined;
    if (this.spareEntries.length < maxSpareEntries) {
      this.spareEntries.push(entry);
    }
  }

  private getAccount(slot: number): SlotAccount {
    let account = this.accounts[slot];
    if (account === undefined) {
      account = {storedBlocks: 0, capacityBlocks: Infinity, lastSequence: 0};
      this.accounts[slot] = account;
    }
    return account;
  }
}
