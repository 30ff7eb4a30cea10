/** Measures what a stream cost its target. */
import type {ServiceId} from '@marigoldpost/common';
import type {StreamRun} from '@marigoldpost/dispatch';
import type {StreamResult} from '../responses/stream_relay.js';
import type {IncomingCall} from './incoming_call.js';

/**
 * Measures a stream; `undefined` if it had no events, or their size is not
 * configured.
 * @param call - Call of the stream.
 * @param service - Service that generated it.
 * @param sentAtMs - When the request was sent, on the call's clock.
 * @param result - How the stream ended.
 */
export function measureRun(
  {config}: IncomingCall,
  service: ServiceId,
  sentAtMs: number,
  {events, firstEventAtMs, gapMs}: StreamResult,
): StreamRun | undefined {
  const {engine} = config.services.get(service) ?? {};
  if (engine === undefined || firstEventAtMs === undefined) return undefined;
  const {tokensPerEvent} = engine;
  return {
    firstEventMs: firstEventAtMs - sentAtMs,
    outputTokens: events * tokensPerEvent,
    tokenMs: gapMs === undefined ? undefined : gapMs / tokensPerEvent,
  };
}
