/** Reads requests and sends JSON responses of stand-in servers. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** HTTP request whose body has been read completely. */
export interface StandInRequest {
  readonly method: string;
  /** Path and query string as sent. */
  readonly url: string;
  /** Decoded segments of the path. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Aborted when the response closes, such as when the client disconnects. */
  readonly signal: AbortSignal;
}

/**
 * Reads a request and its complete body.
 * @param incoming - Request of the HTTP server.
 * @param response - Response whose `close` event aborts the request's signal.
 */
export async function readRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<StandInRequest> {
  const controller = new AbortController();
  response.once('close', () =>
    controller.abort(new Error('client disconnected')),
  );
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  const url = incoming.url ?? '/';
  const {pathname, searchParams} = new URL(url, 'http://127.0.0.1');
  return {
    method: incoming.method ?? 'GET',
    url,
    segments: pathname.split('/').slice(1).map(decodeURIComponent),
    query: searchParams,
    headers: incoming.headers as Record<string, string>,
    body: Buffer.concat(chunks).toString('utf8'),
    signal: controller.signal,
  };
}

/**
 * Sends a JSON response; has no effect if the connection is closed.
 * @param response - Response to write and end.
 * @param status - HTTP status code.
 * @param value - Value to serialize; `undefined` sends an empty body.
 * @param headers - Headers in addition to the content type.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value?: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(value === undefined ? '' : JSON.stringify(value));
}
