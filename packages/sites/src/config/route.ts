/** Routes: which service a request goes to, and how it may be treated. */
import type {ServiceId} from '@marigoldpost/common';

/** What may be repeated: a stream counts as non-idempotent. */
export type CallKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** A service that gets a share of a route's requests. */
export interface ServiceShare {
  readonly service: ServiceId;
  /** Share of the requests, relative to the route's other weights. */
  readonly weight: number;
}

/** One route of a host. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  /** Most targets that one request may be sent to. */
  readonly attempts: number;
  /** How long a finished turn is kept; nothing where turns are not kept. */
  readonly retentionMs: number | undefined;
  /** Longest pause between events of a stream that is still on time. */
  readonly gapObjectiveMs: number | undefined;
}

/**
 * Checks whether a request may run more than once.
 * @param route - Its route.
 */
export function isRepeatable(route: Route): boolean {
  return route.kind === 'idempotent';
}
