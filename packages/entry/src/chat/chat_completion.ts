/** Builds chat completion responses in the format of OpenAI's API. */
import {
  type CallId,
  MarigoldpostError,
  type ModelId,
} from '@marigoldpost/common';
import type {CallFinished, ChatAnswer, Usage} from '@marigoldpost/programs';

/** Fields that all chunks of one completion share. */
export interface CompletionHead {
  readonly callId: CallId;
  readonly model: ModelId;
  /** Creation time, in seconds since 1970. */
  readonly createdSeconds: number;
}

/** Creates the error for a completion that ended before its last event. */
export function createTruncatedError(): MarigoldpostError {
  return MarigoldpostError.create(
    'stream_truncated',
    'the completion ended before its finished event',
  );
}

/**
 * Gets the answer of a chat call. Throws `stream_truncated` if the event holds
 * the answer of a plain call.
 * @param finished - Last event of the call.
 */
export function getChatAnswerOrThrow({answer}: CallFinished): ChatAnswer {
  if (answer.kind === 'chat') return answer;
  throw createTruncatedError();
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

function toCommonFields(head: CompletionHead, object: string) {
  const {callId, model, createdSeconds} = head;
  return {id: `chatcmpl-${callId}`, object, created: createdSeconds, model};
}

/**
 * Creates the body of a response that is not streamed. Throws
 * `stream_truncated` if the event holds no chat answer.
 * @param head - Fields shared by all chunks.
 * @param finished - Last event of the call.
 */
export function toCompletion(head: CompletionHead, finished: CallFinished) {
  const answer = getChatAnswerOrThrow(finished);
  const message = {role: 'assistant', content: answer.tokens.join('')};
  return {
    ...toCommonFields(head, 'chat.completion'),
    choices: [{index: 0, message, finish_reason: answer.finishReason}],
    usage: toUsage(answer.usage),
    marigoldpost: {is_durable: finished.isDurable},
  };
}

/**
 * Creates the first chunk of a stream, which has the role and no content.
 * @param head - Fields shared by all chunks.
 */
export function toFirstChunk(head: CompletionHead) {
  return toChunk(head, {role: 'assistant', content: ''}, null);
}

/**
 * Creates the chunk of one token.
 * @param head - Fields shared by all chunks.
 * @param text - Text of the token.
 */
export function toTokenChunk(head: CompletionHead, text: string) {
  return toChunk(head, {content: text}, null);
}

/**
 * Creates the chunk with the finish reason of a complete answer. Throws
 * `stream_truncated` if the event holds no chat answer.
 * @param head - Fields shared by all chunks.
 * @param finished - Last event of the call.
 */
export function toLastChunk(head: CompletionHead, finished: CallFinished) {
  const answer = getChatAnswerOrThrow(finished);
  const marigoldpost = {is_durable: finished.isDurable};
  return {...toChunk(head, {}, answer.finishReason), marigoldpost};
}

/**
 * Creates the chunk with the token usage and without choices.
 * @param head - Fields shared by all chunks.
 * @param usage - Token counts of the call.
 */
export function toUsageChunk(head: CompletionHead, usage: Usage) {
  const base = toCommonFields(head, 'chat.completion.chunk');
  return {...base, choices: [], usage: toUsage(usage)};
}

function toChunk(
  head: CompletionHead,
  delta: object,
  finishReason: string | null,
) {
  return {
    ...toCommonFields(head, 'chat.completion.chunk'),
    choices: [{index: 0, delta, finish_reason: finishReason}],
  };
}
