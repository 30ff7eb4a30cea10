/** Writes buffered responses, and logs rejected requests. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {MarigoldpostError} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';

/**
 * Time in which the rest of a request is read and discarded once its response
 * has been sent. Closing the connection with unread bytes would reset it, and
 * the client could lose the response.
 */
export const maxDiscardMs = 1000;

/** Connections on which a response has told the client that they close. */
const closingSockets = new WeakSet<Socket>();

/** A response whose complete body is in memory. */
export interface BufferedResponse {
  readonly status: number;
  /** Alternating names and values, without `Content-Length`. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /**
   * Whether only the end of the connection delimits the body, because it is not
   * known to be complete. False by default.
   */
  readonly isUndelimited?: boolean;
}

/** What is logged about a rejected request. */
export interface RejectedRequest {
  /** Name of the request's route; empty if none matched. */
  readonly route: string;
  readonly status: number;
  readonly error: MarigoldpostError;
  readonly elapsedMs: number;
}

/**
 * Writes a buffered response and ends it; if the connection is to close, once
 * the request has been read.
 * @param response - Response to write to; its head has not been sent.
 * @param answer - Status, headers and body.
 * @param isClosing - Whether to send `Connection: close`.
 */
export function writeResponse(
  response: ServerResponse,
  {status, headers, body, isUndelimited = false}: BufferedResponse,
  isClosing: boolean,
): void {
  if (isUndelimited) response.useChunkedEncodingByDefault = false;
  const length = isUndelimited
    ? []
    : ['Content-Length', String(body.byteLength)];
  const allHeaders = [
    ...headers,
    ...length,
    ...getConnectionHeaders(response, isClosing || isUndelimited),
  ];
  response.writeHead(status, allHeaders);
  if (!isClosing || response.req.complete) response.end(body);
  else endAfterRequest(response, body);
}

/** Node.js closes the connection as soon as such a response ends. */
function endAfterRequest(response: ServerResponse, body: Uint8Array): void {
  response.write(body);
  const timer = setTimeout(() => response.end(), maxDiscardMs);
  response.once('close', () => clearTimeout(timer));
  response.req.once('end', () => response.end());
  response.req.resume();
}

/**
 * Gets the headers that tell a client whether its connection stays open.
 * @param response - Response that has the headers.
 * @param isClosing - Whether the connection closes after the response.
 */
export function getConnectionHeaders(
  response: ServerResponse,
  isClosing: boolean,
): string[] {
  if (!isClosing) return [];
  closingSockets.add(response.req.socket);
  return ['Connection', 'close'];
}

/**
 * Whether a connection closes after a response whose head has been written. A
 * request that is read after that gets no response, so it must not run.
 * @param socket - Socket of the connection.
 */
export function isConnectionClosing(socket: Socket): boolean {
  return closingSockets.has(socket);
}

/**
 * Logs a rejected request as `call_turned_away`.
 * @param logger - Logger whose context has the request's id.
 * @param call - The request and the error that it got.
 */
export function logRejection(
  logger: EventLogger,
  {route, status, error, elapsedMs}: RejectedRequest,
): void {
  const {kind, message, retryAfterMs} = error;
  const fields = {route, kind, status, message, elapsedMs, retryAfterMs};
  logger.log('call_turned_away', fields);
}
