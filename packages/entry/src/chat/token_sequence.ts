/** Holds a stream of tokens to its order. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {CallToken, ChatAnswer} from '@marigoldpost/programs';

/** Tokens of one answer, each once and in order. */
export class TokenSequence {
  private constructor(private nextIndex: number) {}

  /**
   * Creates a sequence.
   * @param offsetTokens - Tokens that the caller already has.
   */
  static create(offsetTokens: number): TokenSequence {
    return new TokenSequence(offsetTokens);
  }

  /**
   * Takes a token; false when the caller already has it. Throws
   * `stream_truncated` when one before it is missing.
   * @param token - The token.
   */
  take(token: CallToken): boolean {
    if (token.index < this.nextIndex) return false;
    if (token.index > this.nextIndex) {
      throw MarigoldpostError.create(
        'stream_truncated',
        `token ${this.nextIndex} is missing before token ${token.index}`,
      );
    }
    this.nextIndex += 1;
    return true;
  }

  /**
   * Takes the tokens of the complete answer that the caller does not have.
   * Throws `invalid_request` when the caller claims more than there are.
   * @param answer - The complete answer.
   */
  takeRest(answer: ChatAnswer): readonly CallToken[] {
    if (this.nextIndex > answer.tokens.length) {
      throw MarigoldpostError.create(
        'invalid_request',
        `the answer has ${answer.tokens.length} tokens, not ${this.nextIndex}`,
        {outcome: 'ran'},
      );
    }
    const firstIndex = this.nextIndex;
    this.nextIndex = answer.tokens.length;
    return answer.tokens.slice(firstIndex).map((text, offset) => ({
      kind: 'token',
      index: firstIndex + offset,
      text,
    }));
  }
}
