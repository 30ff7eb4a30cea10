/** Validates chat completion requests in the format of OpenAI's API. */
import type {ChatMessage} from '@marigoldpost/targets';
import * as z from 'zod';
import {parseValue} from '../http/validation.js';

const defaultMaxTokens = 1024;
const maxMaxTokens = 1_000_000;
const maxMessages = 10_000;

const textPart = z.strictObject({type: z.literal('text'), text: z.string()});
const content = z.union([
  z.string(),
  z.array(textPart).transform((parts) => parts.map(({text}) => text).join('')),
]);

const message = z.object({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content,
});

const tokenCount = z.int().min(1).max(maxMaxTokens);

/**
 * Fields that the engines do not support are rejected if they would change the
 * format of the response, and ignored if they only tune the generation.
 */
const chatBody = z.object({
  model: z.string().min(1).max(256),
  messages: z.array(message).min(1).max(maxMessages),
  max_tokens: tokenCount.optional(),
  max_completion_tokens: tokenCount.optional(),
  stream: z.boolean().default(false),
  stream_options: z.object({include_usage: z.boolean().optional()}).optional(),
  n: z.literal(1).optional(),
  tools: z.never('is not supported').optional(),
  response_format: z.never('is not supported').optional(),
  logprobs: z.literal(false).optional(),
});

/** A validated request body. */
export interface ChatRequest {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly isStream: boolean;
  /** Whether a stream ends with a chunk that has the token usage. */
  readonly includesUsage: boolean;
}

/**
 * Validates a request body. Throws `invalid_request` with the invalid fields.
 * @param body - Untrusted JSON.
 */
export function parseChatRequest(body: unknown): ChatRequest {
  const parsed = parseValue(chatBody, body);
  return {
    model: parsed.model,
    messages: parsed.messages,
    maxTokens:
      parsed.max_completion_tokens ?? parsed.max_tokens ?? defaultMaxTokens,
    isStream: parsed.stream,
    includesUsage: parsed.stream_options?.include_usage ?? false,
  };
}
