/** What a target's cache probably holds, from what was sent to it. */
import type {PromptPart, PromptPartId} from '@marigoldpost/sites';

/** Least recently used parts leave first, as in the engine itself. */
export class PromptCache {
  private readonly tokensByPart = new Map<PromptPartId, number>();
  private totalTokens = 0;

  private constructor(private readonly capacityTokens: number) {}

  /**
   * Creates an empty cache.
   * @param capacityTokens - Tokens that the target can keep.
   */
  static create(capacityTokens: number): PromptCache {
    return new PromptCache(capacityTokens);
  }

  /**
   * Gets how many tokens of a prompt need not be read again.
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
   * Notes a prompt that the target has read.
   * @param prompt - Parts of the prompt, in order.
   */
  notePrompt(prompt: readonly PromptPart[]): void {
    for (const {id, tokens} of prompt) {
      const before = this.tokensByPart.get(id) ?? 0;
      this.tokensByPart.delete(id);
      this.tokensByPart.set(id, Math.max(tokens, before));
      this.totalTokens += Math.max(0, tokens - before);
    }
    for (const [id, tokens] of this.tokensByPart) {
      if (this.totalTokens <= this.capacityTokens) return;
      this.tokensByPart.delete(id);
      this.totalTokens -= tokens;
    }
  }
}
