/** Routes: the service of a request, its limits and its retry rules. */
import type {ServiceId} from '@marigoldpost/common';

/** Whether calls may be retried; a stream counts as non-idempotent. */
export type CallKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** A service that receives a weighted share of a route's requests. */
export interface ServiceShare {
  readonly service: ServiceId;
  /** Weight relative to the route's other services. */
  readonly weight: number;
}

/** Rules for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Time-out of a request, including its time in the queue. */
  readonly timeoutMs: number;
  /** Priority class; 0 is the highest. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  /** Limit of the targets that one request is sent to. */
  readonly attempts: number;
  /** Retention of finished turns; `undefined` when turns are not stored. */
  readonly retentionMs: number | undefined;
  /** Whether calls need no key of a tenant. */
  readonly isPublic?: boolean;
  /** Objective for the longest gap between two events of a stream. */
  readonly gapObjectiveMs: number | undefined;
}

/**
 * Checks whether a route's requests may run more than once.
 * @param route - Route of the request.
 */
export function isRepeatable(route: Route): boolean {
  return route.kind === 'idempotent';
}
