/** Generations as the engine's timing model sees them. */
import {getDigest, type ModelId, type ProgramId} from '@marigoldpost/common';
import {
  charactersPerToken,
  countTokens,
  getBlockHashes,
  renderPrompt,
} from '@marigoldpost/scheduler';
import type {EngineEnd, EngineRequest} from '@marigoldpost/targets';

/** A generation whose length and blocks the stand-in knows beforehand. */
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

/** Hears of one stream; called from the engine model, must not throw. */
export interface EngineStreamListener {
  /**
   * Tokens up to a number are ready.
   * @param readyTokens - Number of tokens generated so far.
   */
  onTokens(readyTokens: number): void;
  /**
   * The answer is complete.
   * @param end - What it used.
   */
  onEnd(end: EngineEnd): void;
}

const averageOutputTokens = 48;

/**
 * Gets the text of one token; each has `charactersPerToken` characters.
 * @param digest - Digest of the generation.
 * @param index - Position in the answer, from 0.
 */
export function getTokenText(digest: string, index: number): string {
  const start = (index * (charactersPerToken - 1)) % (digest.length - 2);
  return ` ${digest.slice(start, start + charactersPerToken - 1)}`;
}

/**
 * Gets the digest that determines a generation's tokens.
 * @param request - The request; its stream id and chat count.
 */
export function getGenerationDigest(request: EngineRequest): string {
  return getDigest(`${request.streamId}\n${renderPrompt(request.messages)}`);
}

/**
 * Gets the whole answer of a generation.
 * @param digest - See `getGenerationDigest`.
 * @param outputTokens - Length of the answer.
 */
export function getAnswerText(digest: string, outputTokens: number): string {
  const texts = Array.from({length: outputTokens}, (_unused, index) =>
    getTokenText(digest, index),
  );
  return texts.join('');
}

/**
 * Gets a request for the timing model from one that came over the wire.
 * @param request - The request.
 * @param outputTokens - Length of the answer; by default the digest decides.
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
