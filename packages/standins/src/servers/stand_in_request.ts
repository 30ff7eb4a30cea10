/** Requests and answers of stand-ins over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A request, read whole. */
export interface StandInRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly url: string;
  /** Parts of the path, decoded. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Aborted when the client goes away. */
  readonly signal: AbortSignal;
}

/**
 * Reads a request whole.
 * @param incoming - The request.
 * @param response - Its answer; its end without an answer aborts the signal.
 */
export async function readRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<StandInRequest> {
  const controller = new AbortController();
  response.once('close', () => controller.abort(new Error('client went away')));
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
 * Sends an answer as JSON.
 * @param response - The answer.
 * @param status - HTTP status.
 * @param value - A value that JSON can hold; none sends no body.
 * @param headers - Further headers.
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
