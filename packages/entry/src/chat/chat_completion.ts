/** Answers of chat completions, as OpenAI's interface has them. */
import {
  type CallId,
  MarigoldpostError,
  type ModelId,
} from '@marigoldpost/common';
import type {CallFinished, ChatAnswer, Usage} from '@marigoldpost/programs';

/** What all chunks of one answer share. */
export interface CompletionHead {
  readonly callId: CallId;
  readonly model: ModelId;
  /** Seconds since 1970. */
  readonly createdSeconds: number;
}

/** Creates the error of an answer that stopped before its end. */
export function createIncompleteAnswer(): MarigoldpostError {
  return MarigoldpostError.create(
    'stream_truncated',
    'the answer ended before it was complete',
  );
}

/**
 * Gets the answer of a chat call; throws `stream_truncated` for any other.
 * @param finished - The call's last event.
 */
export function getChatAnswerOrThrow({answer}: CallFinished): ChatAnswer {
  if (answer.kind === 'chat') return answer;
  throw createIncompleteAnswer();
}

function toUsage(usage: Usage) {
  const {promptTokens, cachedTokens, completionTokens} = usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: {cached_tokens: cachedTokens},
  };
}

function toHead(head: CompletionHead, object: string) {
  const {callId, model, createdSeconds} = head;
  return {id: `chatcmpl-${callId}`, object, created: createdSeconds, model};
}

/**
 * Gets the body of a plain answer.
 * @param head - What identifies the answer.
 * @param finished - Its last event.
 */
export function toCompletion(head: CompletionHead, finished: CallFinished) {
  const answer = getChatAnswerOrThrow(finished);
  const message = {role: 'assistant', content: answer.tokens.join('')};
  return {
    ...toHead(head, 'chat.completion'),
    choices: [{index: 0, message, finish_reason: answer.finishReason}],
    usage: toUsage(answer.usage),
    marigoldpost: {is_durable: finished.isDurable},
  };
}

/**
 * Gets the chunk that opens a stream.
 * @param head - What identifies the answer.
 */
export function toFirstChunk(head: CompletionHead) {
  return toChunk(head, {role: 'assistant', content: ''}, null);
}

/**
 * Gets the chunk of one token.
 * @param head - What identifies the answer.
 * @param text - The token.
 */
export function toTokenChunk(head: CompletionHead, text: string) {
  return toChunk(head, {content: text}, null);
}

/**
 * Gets the chunk that ends a complete answer.
 * @param head - What identifies the answer.
 * @param finished - Its last event.
 */
export function toLastChunk(head: CompletionHead, finished: CallFinished) {
  const answer = getChatAnswerOrThrow(finished);
  const marigoldpost = {is_durable: finished.isDurable};
  return {...toChunk(head, {}, answer.finishReason), marigoldpost};
}

/**
 * Gets the chunk that carries the usage.
 * @param head - What identifies the answer.
 * @param usage - Tokens used.
 */
export function toUsageChunk(head: CompletionHead, usage: Usage) {
  const base = toHead(head, 'chat.completion.chunk');
  return {...base, choices: [], usage: toUsage(usage)};
}

function toChunk(
  head: CompletionHead,
  delta: object,
  finishReason: string | null,
) {
  return {
    ...toHead(head, 'chat.completion.chunk'),
    choices: [{index: 0, delta, finish_reason: finishReason}],
  };
}
