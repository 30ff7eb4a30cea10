/** Requests to the timing model, and the generated text. */
import {getDigest, type ModelId, type ProgramId} from '@marigoldpost/common';
import {
  charactersPerToken,
  countTokens,
  getBlockHashes,
  renderPrompt,
} from '@marigoldpost/scheduler';
import type {EngineEnd, EngineRequest} from '@marigoldpost/targets';

/** Generation whose length and blocks are known before it starts. */
export interface EngineModelRequest {
  readonly streamId: string;
  readonly program: ProgramId;
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly finishReason: EngineEnd['finishReason'];
  /** Hashes of the full blocks of prompt and answer together. */
  readonly blockHashes: readonly string[];
}

/** Listener of one stream; the engine model calls it, and it must not throw. */
export interface EngineStreamListener {
  /**
   * Called when further tokens have been generated.
   * @param readyTokens - Number of tokens generated so far.
   */
  onTokens(readyTokens: number): void;
  /**
   * Called once when the answer is complete.
   * @param end - Finish reason and token usage.
   */
  onEnd(end: EngineEnd): void;
}

const averageOutputTokens = 48;

/**
 * Gets the text of one token, which has `charactersPerToken` characters.
 * @param digest - Result of `getGenerationDigest`.
 * @param index - Zero-based position in the answer.
 */
export function getTokenText(digest: string, index: number): string {
  const start = (index * (charactersPerToken - 1)) % (digest.length - 2);
  return ` ${digest.slice(start, start + charactersPerToken - 1)}`;
}

/**
 * Gets the digest that determines a generation's tokens. Only the stream id and
 * the chat messages affect it.
 * @param request - Request of the generation.
 */
export function getGenerationDigest(request: EngineRequest): string {
  return getDigest(`${request.streamId}\n${renderPrompt(request.messages)}`);
}

/**
 * Gets the complete answer of a generation.
 * @param digest - Result of `getGenerationDigest`.
 * @param outputTokens - Length of the answer, in tokens.
 */
export function getAnswerText(digest: string, outputTokens: number): string {
  const texts = Array.from({length: outputTokens}, (_unused, index) =>
    getTokenText(digest, index),
  );
  return texts.join('');
}

/**
 * Converts a client's request to a request of the timing model.
 * @param request - Request of the generation.
 * @param outputTokens - Length of the answer before `maxTokens` limits it;
 *     default: derived from the digest.
 */
export function getModelRequest(
  request: EngineRequest,
  outputTokens?: number,
): EngineModelRequest {
  const prompt = renderPrompt(request.messages);
  const digest = getGenerationDigest(request);
  const wanted = outputTokens ?? getDefaultOutputTokens(digest);
  const length = Math.min(wanted, request.maxTokens);
  const text = `${prompt}${getAnswerText(digest, length)}`;
  return {
    streamId: request.streamId,
    program: request.program,
    model: request.model,
    promptTokens: countTokens(prompt),
    outputTokens: length,
    finishReason: wanted > length ? 'length' : 'stop',
    blockHashes: getBlockHashes(request.model, text),
  };
}

function getDefaultOutputTokens(digest: string): number {
  const spread = Number.parseInt(digest.slice(0, 4), 16) / 0x10000;
  return Math.max(1, Math.round(2 * averageOutputTokens * spread));
}
