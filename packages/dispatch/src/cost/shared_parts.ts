/**
 * Tells which parts of prompts many programs share. Load pattern: nearly all
 * prompts begin with one of a few long parts, which every target has read soon
 * after its start, also those that this daemon has never sent it to.
 */
import type {PromptPart, PromptPartId} from '@marigoldpost/sites';

/** Chains that begin with a part before it counts as shared. */
const minChains = 3;
/** Parts whose chains are counted. */
const maxParts = 500;
/**
 * Part of a shared part's tokens that a target is expected to have cached if
 * this daemon does not know better.
 */
const expectedHitShare = 0.3;

/** Counts the chains that begin with each part. */
export class SharedParts {
  private readonly chainsByPart = new Map<PromptPartId, number>();

  private constructor() {}

  /** Creates a count without parts. */
  static create(): SharedParts {
    return new SharedParts();
  }

  /**
   * Records a chain's first prompt.
   * @param prompt - Parts of the prompt, in order; the last one is its own.
   */
  recordChain(prompt: readonly PromptPart[]): void {
    // A part that one prompt repeats is not shared with others.
    for (const id of new Set(prompt.slice(0, -1).map((part) => part.id))) {
      const chains = (this.chainsByPart.get(id) ?? 0) + 1;
      this.chainsByPart.delete(id);
      this.chainsByPart.set(id, chains);
    }
    for (const id of this.chainsByPart.keys()) {
      if (this.chainsByPart.size <= maxParts) return;
      this.chainsByPart.delete(id);
    }
  }

  /**
   * Estimates the leading tokens that a target has cached.
   * @param prompt - Parts of the prompt, in order.
   * @param knownTokens - Leading tokens that this daemon knows to be cached.
   */
  estimateCachedTokens(
    prompt: readonly PromptPart[],
    knownTokens: number,
  ): number {
    let sharedTokens = 0;
    for (const {id, tokens} of prompt) {
      if ((this.chainsByPart.get(id) ?? 0) < minChains) break;
      sharedTokens += tokens;
    }
    return Math.max(knownTokens, sharedTokens * expectedHitShare);
  }
}
