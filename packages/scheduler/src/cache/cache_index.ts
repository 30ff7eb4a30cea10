/**
 * Estimate of which targets have which blocks cached. Engines report only that
 * blocks are stored or removed, late and with gaps; they never report a hit.
 * So the index also adds the blocks of this daemon's dispatches, and estimates
 * evictions itself: a block counts as evicted once as many newer blocks were
 * stored after its last use as the target's cache holds.
 */
import {LinkedList, type ListNode, type ProgramId} from '@marigoldpost/common';
import type {CacheEvent} from '@marigoldpost/targets';

/** Capacity and information sources of the index. */
export interface CacheIndexOptions {
  /** Maximum number of pairs of block and target. */
  readonly maxEntries: number;
  readonly usesOwnDispatches: boolean;
  readonly usesEvents: boolean;
  /** Whether to estimate evictions from each target's stored blocks. */
  readonly estimatesEvictions: boolean;
}

/** Options that the daemons use. */
export const defaultCacheIndexOptions: CacheIndexOptions = {
  maxEntries: 100_000,
  usesOwnDispatches: true,
  usesEvents: true,
  estimatesEvictions: true,
};

/**
 * Last uses of one block, by target. Most blocks are on a single target, so the
 * first pair is stored in the entry itself. Entries are pooled, since a full
 * index would otherwise keep the garbage collector busy.
 */
interface BlockEntry extends ListNode {
  hash: string;
  /** Only program that used the block; undefined if several did. */
  program: ProgramId | undefined;
  slot: number;
  /** Value of the target's `storedBlocks` at the last known use. */
  usedAt: number;
  /** Same value for each further slot. */
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

interface SlotState {
  /** Number of blocks known to have been stored on the target so far. */
  storedBlocks: number;
  capacityBlocks: number;
  lastSequence: number;
}

/** Bounded map from blocks to targets, with LRU eviction of entries. */
export class CacheIndex {
  private readonly entries = new Map<string, BlockEntry>();
  private readonly recency = LinkedList.create<BlockEntry>();
  private readonly slotStates: Array<SlotState | undefined> = [];
  private readonly spareEntries: BlockEntry[] = [];
  private pairs = 0;
  private foundSlots = 0;

  private constructor(private readonly options: CacheIndexOptions) {}

  /**
   * Creates an empty index.
   * @param options - Overrides of `defaultCacheIndexOptions`.
   */
  static create(options: Partial<CacheIndexOptions> = {}): CacheIndex {
    return new CacheIndex({...defaultCacheIndexOptions, ...options});
  }

  /** Number of pairs of block and target. */
  get size(): number {
    return this.pairs;
  }

  /**
   * Sets the cache capacity of a target.
   * @param slot - Slot of the target.
   * @param capacityBlocks - Capacity, in blocks; unlimited until it is set.
   */
  setCapacity(slot: number, capacityBlocks: number): void {
    this.getSlotState(slot).capacityBlocks = capacityBlocks;
  }

  /**
   * Adds the blocks of a call that this daemon dispatched to a target.
   * @param slot - Slot of the target.
   * @param program - Program of the call.
   * @param hashes - Hashes of the prompt's blocks, first block first.
   */
  addDispatchedBlocks(
    slot: number,
    program: ProgramId,
    hashes: readonly string[],
  ): void {
    if (!this.options.usesOwnDispatches) return;
    for (const hash of hashes) this.addUse(hash, slot, program);
    this.removeOldest();
  }

  /**
   * Removes the blocks of a program whose cache was released on a target.
   * @param slot - Slot of the target.
   * @param program - Program that used the blocks.
   * @param hashes - Blocks of its last prompt; those that other programs used
   *   stay.
   */
  removeReleasedBlocks(
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
   * Applies the cache events of a target.
   * @param slot - Slot of the target.
   * @param events - Events in order; gaps and repeated events are allowed.
   */
  addEvents(slot: number, events: readonly CacheEvent[]): void {
    if (!this.options.usesEvents) return;
    const state = this.getSlotState(slot);
    for (const event of events) {
      if (event.sequence <= state.lastSequence) continue;
      state.lastSequence = event.sequence;
      this.addEvent(slot, event);
    }
    this.removeOldest();
  }

  /**
   * Removes all blocks and the state of a target.
   * @param slot - Slot of the target; another target may reuse it.
   */
  removeSlot(slot: number): void {
    this.removePairsOfSlot(slot);
    this.slotStates[slot] = undefined;
  }

  /**
   * Gets the number of cached leading blocks on each target.
   * @param hashes - Hashes of a prompt's blocks, first block first.
   * @param counts - Receives the numbers by slot; zeroed first.
   */
  countCachedBlocks(hashes: readonly string[], counts: Uint32Array): void {
    counts.fill(0);
    this.foundSlots = 0;
    // Each target that has a later block cached also has the first one.
    const slotCount = this.countSlots(hashes[0]);
    for (let depth = this.findKnownDepth(hashes); depth > 0; depth -= 1) {
      if (this.foundSlots >= slotCount) return;
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
    if (counts[slot] !== 0 || !this.isProbablyCached(slot, usedAt)) return;
    counts[slot] = depth;
    this.foundSlots += 1;
  }

  /** Counts the known leading blocks, as a block implies those before it. */
  private findKnownDepth(hashes: readonly string[]): number {
    let low = 0;
    let high = hashes.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.entries.has(hashes[middle - 1] as string)) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  private isProbablyCached(slot: number, usedAt: number): boolean {
    if (!this.options.estimatesEvictions) return true;
    const {storedBlocks, capacityBlocks} = this.getSlotState(slot);
    return storedBlocks - usedAt < capacityBlocks;
  }

  private addEvent(slot: number, event: CacheEvent): void {
    const {kind, blockHashes} = event;
    if (kind === 'cleared') this.removePairsOfSlot(slot);
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
      entry.usedAt = this.getSlotState(slot).storedBlocks;
      return;
    }
    entry.others ??= new Map();
    if (!entry.others.has(slot)) this.countPair(slot);
    entry.others.set(slot, this.getSlotState(slot).storedBlocks);
  }

  private countPair(slot: number): void {
    this.pairs += 1;
    this.getSlotState(slot).storedBlocks += 1;
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
    entry.usedAt = this.getSlotState(slot).storedBlocks;
    this.entries.set(hash, entry);
    this.recency.add(entry);
  }

  private removePairsOfSlot(slot: number): void {
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

  private getSlotState(slot: number): SlotState {
    let state = this.slotStates[slot];
    if (state === undefined) {
      state = {storedBlocks: 0, capacityBlocks: Infinity, lastSequence: 0};
      this.slotStates[slot] = state;
    }
    return state;
  }
}
