/** Estimates the content of a target's prompt cache from the prompts sent. */
import type {PromptPart, PromptPartId} from '@marigoldpost/sites';

/** Evicts the least recently used parts first, as the engine does. */
export class PromptCacheEstimate {
  private readonly tokensByPart = new Map<PromptPartId, number>();
  private totalTokens = 0;

  private constructor(private readonly capacityTokens: number) {}

  /**
   * Creates the estimate of an empty cache.
   * @param capacityTokens - Capacity of the target's cache, in tokens.
   */
  static create(capacityTokens: number): PromptCacheEstimate {
    return new PromptCacheEstimate(capacityTokens);
  }

  /**
   * Gets the number of leading prompt tokens that are probably cached.
   * @param prompt - Parts of the prompt, in order.
   */
  getCachedTokens(prompt: readonly PromptPart[]): number {
    let cached = 0;
    for (const {id, tokens} of prompt) {
      const kept = Math.min(tokens, this.tokensByPart.get(id) ?? 0);
      cached += kept;
      if (kept < tokens) break;
    }
    return cached;
  }

  /**
   * Records a prompt that was sent to the target.
   * @param prompt - Parts of the prompt, in order.
   */
  recordPrompt(prompt: readonly PromptPart[]): void {
    for (const {id, tokens} of prompt) {
      const known = this.tokensByPart.get(id) ?? 0;
      this.tokensByPart.delete(id);
      this.tokensByPart.set(id, Math.max(tokens, known));
      this.totalTokens += Math.max(0, tokens - known);
    }
    for (const [id, tokens] of this.tokensByPart) {
      if (this.totalTokens <= this.capacityTokens) return;
      this.tokensByPart.delete(id);
      this.totalTokens -= tokens;
    }
  }
}
