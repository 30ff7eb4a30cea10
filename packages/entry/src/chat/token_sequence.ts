/** Validates the order of streamed tokens. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {CallToken, ChatAnswer} from '@marigoldpost/programs';

/** Ensures that a caller receives each token of one answer once, in order. */
export class TokenSequence {
  private constructor(private nextIndex: number) {}

  /**
   * Creates a sequence that expects the first token that the caller lacks.
   * @param offsetTokens - Tokens that the caller already has.
   */
  static create(offsetTokens: number): TokenSequence {
    return new TokenSequence(offsetTokens);
  }

  /**
   * Accepts the next token; false if the caller already has it. Throws
   * `stream_truncated` if a token before it is missing.
   * @param token - Next token of the stream.
   */
  acceptToken(token: CallToken): boolean {
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
   * Gets the tokens of the complete answer that have not been accepted yet.
   * Throws `invalid_request` if the caller claims to have more tokens than the
   * answer has.
   * @param answer - Complete answer of the call.
   */
  takeRemaining(answer: ChatAnswer): readonly CallToken[] {
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
