/** Digests of what calls ask for and of what programs have done. */
import {getDigest, toCanonicalJson} from '@marigoldpost/common';
import type {Call, CallAnswer} from '../calls/call.js';

/**
 * Gets the digest of what a call asks for; a re-sent call has the same.
 * @param call - The call.
 */
export function getCallDigest(call: Call): string {
  const {service} = call;
  if (call.kind === 'plain') {
    const {method, path, body} = call.request;
    return getDigest(toCanonicalJson({service, method, path, body}));
  }
  const {maxTokens, messages, model} = call;
  return getDigest(toCanonicalJson({service, model, messages, maxTokens}));
}

/**
 * Gets the digest of a history with one more turn.
 * @param before - Digest of the history before.
 * @param callDigest - Digest of the turn's call.
 * @param answer - The turn's answer.
 */
export function getHistoryDigest(
  before: string,
  callDigest: string,
  answer: CallAnswer | undefined,
): string {
  const content = answer?.kind === 'chat' ? answer.tokens.join('') : '';
  return getDigest(JSON.stringify([before, callDigest, content]));
}
