/** Writes answers of known length, and the log line of a refusal. */
import type {ServerResponse} from 'node:http';
import type {MarigoldpostError} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';

/** An answer of known length. */
export interface WholeAnswer {
  readonly status: number;
  /** Names and values in turn, without those of length. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** A request that was turned away. */
export interface TurnedAwayCall {
  /** Name of its route; empty where it has none. */
  readonly route: string;
  readonly status: number;
  readonly error: MarigoldpostError;
  readonly elapsedMs: number;
}

/**
 * Writes a whole answer.
 * @param response - Where to.
 * @param answer - The answer.
 * @param isClosing - Whether the connection is closed after it.
 */
export function writeAnswer(
  response: ServerResponse,
  {status, headers, body}: WholeAnswer,
  isClosing: boolean,
): void {
  const length = ['Content-Length', String(body.byteLength)];
  const all = [...headers, ...length, ...getConnectionHeaders(isClosing)];
  response.writeHead(status, all);
  response.end(body);
}

/**
 * Gets the headers that tell a client whether its connection stays open.
 * @param isClosing - Whether it is closed after the answer.
 */
export function getConnectionHeaders(isClosing: boolean): string[] {
  return isClosing ? ['Connection', 'close'] : [];
}

/**
 * Logs that a request was turned away.
 * @param logger - Names the request.
 * @param call - The request and why.
 */
export function logTurnedAway(
  logger: EventLogger,
  {route, status, error, elapsedMs}: TurnedAwayCall,
): void {
  const {kind, message, retryAfterMs} = error;
  const fields = {route, kind, status, message, elapsedMs, retryAfterMs};
  logger.log('call_turned_away', fields);
}
