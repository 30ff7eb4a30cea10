/**
 * Requests of the compared routes: direct, bare relay, path through a daemon.
 */
import {Pool} from 'undici';
import {benchKey, benchModel} from './path_site.js';

/** Request for undici. */
export interface PathRequest {
  readonly path: string;
  readonly method: 'POST';
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Creates the requests of one route; the number makes each one unique. */
export interface PathRequests {
  readonly createPlain: (number: number) => PathRequest;
  readonly createStream: (number: number) => PathRequest;
}

/** Route to the engine and to the plain service. */
export interface CallRoute {
  readonly requests: PathRequests;
  readonly plainPool: Pool;
  readonly enginePool: Pool;
}

const method = 'POST';
const contentType = 'application/json';
const plainBody = JSON.stringify({crane: 7, crew: 'b'});
const prompt = 'Which berth takes the next vessel? '.repeat(20);
const messages = [{role: 'user', content: prompt}];
const maxTokens = 4096;

/** Requests in the targets' HTTP formats. */
export const targetRequests: PathRequests = {
  createPlain: (number) => ({
    path: '/bookings',
    method,
    headers: {'content-type': contentType, 'idempotency-key': `d-${number}`},
    body: plainBody,
  }),
  createStream: (number) => ({
    path: `/v1/streams/d-${number}`,
    method,
    headers: {'content-type': contentType},
    body: JSON.stringify({
      model: benchModel,
      program: `direct-${number}`,
      messages,
      maxTokens,
      offsetTokens: 0,
      isResumeOnly: false,
    }),
  }),
};

/** Requests in the format of the callers' HTTP API. */
export const callerRequests: PathRequests = {
  createPlain: (number) => ({
    path: '/v1/services/plain/bookings',
    method,
    headers: createCallerHeaders(`p-${number}`),
    body: plainBody,
  }),
  createStream: (number) => ({
    path: '/v1/chat/completions',
    method,
    headers: createCallerHeaders(`s-${number}`),
    body: JSON.stringify({
      model: benchModel,
      messages,
      max_tokens: maxTokens,
      stream: true,
    }),
  }),
};

function createCallerHeaders(key: string): Record<string, string> {
  return {
    'content-type': contentType,
    'idempotency-key': key,
    authorization: `Bearer ${benchKey}`,
  };
}

/**
 * Creates a route with connection pools.
 * @param plainAddress - Address for requests to the plain service.
 * @param engineAddress - Address for requests to the engine.
 * @param requests - Creates requests in the format of the addresses.
 */
export function createRoute(
  plainAddress: string,
  engineAddress: string,
  requests: PathRequests,
): CallRoute {
  const plainPool = new Pool(plainAddress);
  const enginePool = new Pool(engineAddress);
  return {requests, plainPool, enginePool};
}
