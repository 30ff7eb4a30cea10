/** Calls of the clients of object APIs. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {HttpChannel} from '../http/http_channel.js';
import type {HttpAnswer, HttpFailure} from '../http/http_types.js';
import {type FailedStoreCall, toStoreFailure} from './store_errors.js';

/** One call to an object API. */
export interface StoreCall extends FailedStoreCall {
  readonly body?: object;
  /** Longest time for the call; the channel's own by default. */
  readonly timeoutMs?: number;
  /** Gives the call up. */
  readonly signal?: AbortSignal;
}

/**
 * Makes a call once. Throws `store_unavailable` when it surely had no effect,
 * `store_ambiguous` otherwise, `cancelled` for a read that was given up.
 * @param channel - Connections to the API.
 * @param call - The call.
 */
export async function sendStoreCall(
  channel: HttpChannel,
  call: StoreCall,
): Promise<HttpAnswer> {
  const {method, path, timeoutMs, signal} = call;
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  const headers =
    body === undefined ? undefined : {'content-type': 'application/json'};
  const request = {method, path, headers, body, timeoutMs};
  const outcome = await channel.send(request, signal);
  if (outcome.kind === 'answer') return outcome;
  throw toFailure(outcome, call);
}

function toFailure(failure: HttpFailure, call: StoreCall): Error {
  if (call.signal?.aborted && !call.isWrite) {
    const message = `${call.method} ${call.path} was given up`;
    return MarigoldpostError.create('cancelled', message);
  }
  const isWrite = call.isWrite && failure.isSent;
  return toStoreFailure(failure.cause, {...call, isWrite});
}
