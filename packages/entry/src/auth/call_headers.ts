/** Parses and validates the request headers that control a call. */
import {
  type IdempotencyKey,
  isProgramId,
  MarigoldpostError,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {Exchange} from '../http/exchange.js';

/** Header with the program's id, in requests and responses. */
export const programHeader = 'Marigoldpost-Program';

const idempotencyKeyPattern = /^[\x20-\x7e]{1,255}$/;
const numberPattern = /^\d{1,9}$/;

function createInvalidRequestError(message: string): MarigoldpostError {
  return MarigoldpostError.create('invalid_request', message);
}

/**
 * Converts text to a program's id. Throws `unknown_program` if it is malformed,
 * since no program can have such an id.
 * @param text - Untrusted text.
 */
export function parseProgramIdOrThrow(text: string): ProgramId {
  if (isProgramId(text)) return text;
  throw MarigoldpostError.create(
    'unknown_program',
    `program "${text}" does not exist`,
  );
}

/**
 * Gets the id of the program that a call belongs to; `undefined` if the call
 * opens a new program. Throws `unknown_program` for a malformed id.
 * @param exchange - Request of the call.
 */
export function getProgramId(exchange: Exchange): ProgramId | undefined {
  const text = exchange.getHeader(programHeader.toLowerCase());
  return text === undefined ? undefined : parseProgramIdOrThrow(text);
}

/**
 * Gets the idempotency key, which is the same for all retries of a call;
 * `undefined` if the caller sent none. Throws `invalid_request` for a malformed
 * key.
 * @param exchange - Request of the call.
 */
export function getIdempotencyKey(
  exchange: Exchange,
): IdempotencyKey | undefined {
  const text = exchange.getHeader('idempotency-key');
  if (text === undefined) return undefined;
  if (idempotencyKeyPattern.test(text)) return toId<IdempotencyKey>(text);
  throw createInvalidRequestError(
    'Idempotency-Key must be 1 to 255 printable characters',
  );
}

/**
 * Gets how many tokens the caller already has: 0 unless it resumes a stream.
 * Throws `invalid_request` if `Last-Event-ID` is malformed or comes without an
 * `Idempotency-Key`.
 * @param exchange - Request of the call.
 */
export function getOffsetTokens(exchange: Exchange): number {
  const text = exchange.getHeader('last-event-id');
  if (text === undefined) return 0;
  if (!numberPattern.test(text)) {
    throw createInvalidRequestError(
      'Last-Event-ID must be the id of a received event',
    );
  }
  if (exchange.getHeader('idempotency-key') === undefined) {
    throw createInvalidRequestError(
      'Last-Event-ID requires the Idempotency-Key of the call',
    );
  }
  return Number(text) + 1;
}

/**
 * Gets the timeout of a call, in milliseconds: the caller's, but at most that
 * of the service. Throws `invalid_request` for a malformed header.
 * @param exchange - Request of the call.
 * @param maxMs - Timeout of the service.
 */
export function getTimeoutMs(exchange: Exchange, maxMs: number): number {
  const text = exchange.getHeader('marigoldpost-timeout-ms');
  if (text === undefined) return maxMs;
  if (numberPattern.test(text) && Number(text) > 0) {
    return Math.min(maxMs, Number(text));
  }
  throw createInvalidRequestError(
    'Marigoldpost-Timeout-Ms must be a whole number above 0',
  );
}
