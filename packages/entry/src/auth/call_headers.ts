/** Headers of a call that mean something to the system. */
import {
  type IdempotencyKey,
  isProgramId,
  MarigoldpostError,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {Exchange} from '../http/exchange.js';

/** Header that names a program, in requests and answers. */
export const programHeader = 'Marigoldpost-Program';

const keyPattern = /^[\x20-\x7e]{1,255}$/;
const numberPattern = /^\d{1,9}$/;

function createInvalid(message: string): MarigoldpostError {
  return MarigoldpostError.create('invalid_request', message);
}

/**
 * Checks a program's id; throws `unknown_program` when none can have it.
 * @param text - Untrusted text.
 */
export function toProgramIdOrThrow(text: string): ProgramId {
  if (isProgramId(text)) return text;
  throw MarigoldpostError.create(
    'unknown_program',
    `program "${text}" does not exist`,
  );
}

/**
 * Gets the program that a call belongs to, or nothing when it opens one.
 * @param exchange - The request.
 */
export function getProgram(exchange: Exchange): ProgramId | undefined {
  const text = exchange.getHeader(programHeader.toLowerCase());
  return text === undefined ? undefined : toProgramIdOrThrow(text);
}

/**
 * Gets the caller's key for re-sends.
 * @param exchange - The request.
 */
export function getIdempotencyKey(
  exchange: Exchange,
): IdempotencyKey | undefined {
  const text = exchange.getHeader('idempotency-key');
  if (text === undefined) return undefined;
  if (keyPattern.test(text)) return toId<IdempotencyKey>(text);
  throw createInvalid('Idempotency-Key must be 1 to 255 printable characters');
}

/**
 * Gets how many tokens a caller that resumes a stream already has.
 * @param exchange - The request.
 */
export function getOffsetTokens(exchange: Exchange): number {
  const text = exchange.getHeader('last-event-id');
  if (text === undefined) return 0;
  if (!numberPattern.test(text)) {
    throw createInvalid('Last-Event-ID must be the id of an event');
  }
  if (exchange.getHeader('idempotency-key') === undefined) {
    throw createInvalid('Last-Event-ID needs the Idempotency-Key of the call');
  }
  return Number(text) + 1;
}

/**
 * Gets the time left for a call, in milliseconds.
 * @param exchange - The request.
 * @param maxMs - The service's own limit.
 */
export function getTimeoutMs(exchange: Exchange, maxMs: number): number {
  const text = exchange.getHeader('marigoldpost-timeout-ms');
  if (text === undefined) return maxMs;
  if (numberPattern.test(text) && Number(text) > 0) {
    return Math.min(maxMs, Number(text));
  }
  throw createInvalid('Marigoldpost-Timeout-Ms must be a whole number above 0');
}
