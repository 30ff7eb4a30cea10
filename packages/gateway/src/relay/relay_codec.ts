/** Headers with which one entry VM relays a request for another. */
import type {IncomingHttpHeaders} from 'node:http';
import {
  type DaemonId,
  maxTimerDelayMs,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import type {BodyFraming} from '../responses/body_end.js';
import type {FailureReason} from '../targets/http_exchange.js';

const names = {
  sender: 'marigoldpost-relay-sender',
  target: 'marigoldpost-relay-target',
  timeout: 'marigoldpost-relay-timeout-ms',
  framing: 'marigoldpost-relay-framing',
  failure: 'marigoldpost-relay-failure',
  sent: 'marigoldpost-relay-sent',
  fault: 'marigoldpost-relay-fault',
  leaving: 'marigoldpost-relay-leaving',
  startedAt: 'marigoldpost-relay-target-started-ms',
} as const;
/** Prefix of all headers of the relay, also of those that a later build adds. */
const namePrefix = 'marigoldpost-relay-';

const framings: readonly string[] = ['none', 'length', 'chunked', 'close'];
const reasons: readonly string[] = [
  'unreachable',
  'broken',
  'silent',
  'cancelled',
];

/** What the relaying entry VM needs to know beside the target's request. */
export interface RelayParameters {
  readonly sender: DaemonId;
  readonly target: TargetId;
  /** Timeout for the head of the target's response. */
  readonly headTimeoutMs: number;
}

/** Failure of a relayed exchange, as the relaying entry VM reports it. */
export interface RelayFailure {
  readonly reason: FailureReason;
  /** Whether the target may have received the request. */
  readonly isSent: boolean;
  /** Whether the relaying entry VM is at fault, not the target. */
  readonly isPeerFault: boolean;
  /** Whether the request was not relayed because the target is leaving. */
  readonly isLeaving: boolean;
}

/**
 * Encodes the parameters of a request, as alternating names and values.
 * @param parameters - Target and time-out.
 */
export function encodeRelayParameters({
  sender,
  target,
  headTimeoutMs,
}: RelayParameters): string[] {
  return [
    names.sender,
    sender,
    names.target,
    target,
    names.timeout,
    String(Math.ceil(headTimeoutMs)),
  ];
}

/**
 * Decodes the parameters of a request; `undefined` if they are malformed.
 * @param headers - Headers of the request.
 */
export function decodeRelayParameters(
  headers: IncomingHttpHeaders,
): RelayParameters | undefined {
  const sender = headers[names.sender];
  const target = headers[names.target];
  const headTimeoutMs = Number(headers[names.timeout] ?? Number.NaN);
  const isValid =
    typeof sender === 'string' &&
    typeof target === 'string' &&
    headTimeoutMs > 0;
  if (!isValid) return undefined;
  return {
    sender: toId<DaemonId>(sender),
    target: toId<TargetId>(target),
    headTimeoutMs: Math.min(headTimeoutMs, maxTimerDelayMs),
  };
}

/**
 * Omits the headers of the relay.
 * @param rawHeaders - Alternating names and values.
 */
export function omitRelayHeaders(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (name.toLowerCase().startsWith(namePrefix)) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

/**
 * Encodes how the target's response delimits its body.
 * @param framing - Framing of the target's response.
 */
export function encodeRelayFraming(framing: BodyFraming): string[] {
  return [names.framing, framing];
}

/**
 * Decodes how the target's response delimits its body; `undefined` if the
 * response is none of a target.
 * @param headers - Headers of the response.
 */
export function decodeRelayFraming(
  headers: IncomingHttpHeaders,
): BodyFraming | undefined {
  const framing = String(headers[names.framing]);
  return framings.includes(framing) ? (framing as BodyFraming) : undefined;
}

/**
 * Encodes which instance of a target received a request.
 * @param startedAtMs - When the instance started, by its list entry.
 */
export function encodeRelayInstance(startedAtMs: number): string[] {
  return [names.startedAt, String(startedAtMs)];
}

/**
 * Decodes when the instance that received a request started; `undefined` if the
 * response does not state it, as those of earlier builds.
 * @param headers - Headers of the response.
 */
export function decodeRelayInstance(
  headers: IncomingHttpHeaders,
): number | undefined {
  const startedAtMs = Number(headers[names.startedAt] ?? Number.NaN);
  return Number.isFinite(startedAtMs) ? startedAtMs : undefined;
}

/**
 * Encodes a failure, as alternating names and values.
 * @param failure - Failure of the exchange with the target.
 */
export function encodeRelayFailure({
  reason,
  isSent,
  isPeerFault,
  isLeaving,
}: RelayFailure): string[] {
  const leaving = isLeaving ? [names.leaving, '1'] : [];
  return [
    names.failure,
    reason,
    names.sent,
    isSent ? '1' : '0',
    names.fault,
    isPeerFault ? 'peer' : 'target',
    ...leaving,
  ];
}

/**
 * Decodes a failure; `undefined` if the response reports none.
 * @param headers - Headers of the response.
 */
export function decodeRelayFailure(
  headers: IncomingHttpHeaders,
): RelayFailure | undefined {
  const reason = String(headers[names.failure]);
  if (!reasons.includes(reason)) return undefined;
  return {
    reason: reason as FailureReason,
    // Only an explicit statement proves that the request was not sent.
    isSent: headers[names.sent] !== '0',
    isPeerFault: headers[names.fault] === 'peer',
    isLeaving: headers[names.leaving] === '1',
  };
}
