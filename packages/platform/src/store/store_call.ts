/** Calls to an object API over HTTP. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {HttpChannel} from '../http/http_channel.js';
import type {HttpResponse, HttpFailure} from '../http/http_types.js';
import {type FailedStoreCall, toStoreFailure} from './store_errors.js';

/** Request and timeout of one call to an object API. */
export interface StoreCall extends FailedStoreCall {
  readonly body?: object;
  /** Timeout of the call; the channel's timeout by default. */
  readonly timeoutMs?: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a call once. Without a response, throws `store_unavailable` when the
 * call certainly had no effect, `cancelled` for an aborted read, and
 * `store_ambiguous` otherwise.
 * @param channel - Connections to the object API.
 * @param call - Request and timeout.
 */
export async function sendStoreCall(
  channel: HttpChannel,
  call: StoreCall,
): Promise<HttpResponse> {
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
    const message = `${call.method} ${call.path} was aborted`;
    return MarigoldpostError.create('cancelled', message);
  }
  const isWrite = call.isWrite && failure.isSent;
  return toStoreFailure(failure.cause, {...call, isWrite});
}
