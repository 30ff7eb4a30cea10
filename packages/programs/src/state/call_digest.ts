/** Digests of call contents and of program histories. */
import {getDigest, toCanonicalJson} from '@marigoldpost/common';
import type {Call, CallAnswer} from '../calls/call.js';

/**
 * Gets the digest of a call's content: service and request, without ids. A
 * re-sent call has the same digest.
 * @param call - Call of any kind.
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
 * Gets the digest of a history after one more turn.
 * @param before - Digest of the history before the turn; '' for an empty one.
 * @param callDigest - Digest of the turn's call.
 * @param answer - The turn's answer; only the text of a chat answer counts.
 */
export function getHistoryDigest(
  before: string,
  callDigest: string,
  answer: CallAnswer | undefined,
): string {
  const content = answer?.kind === 'chat' ? answer.tokens.join('') : '';
  return getDigest(JSON.stringify([before, callDigest, content]));
}
