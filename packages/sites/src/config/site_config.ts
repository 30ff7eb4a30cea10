/** One version of the operators' configuration of a site. */
import type {ServiceId} from '@marigoldpost/common';
import type {Route} from './route.js';

/** What the operators say of a service's model engines. */
export interface EngineTerms {
  /** Requests that a runner processes at once. */
  readonly slots: number;
  /** Tokens that a runner's cache and running requests share. */
  readonly cacheTokens: number;
  /** Tokens that one event of a stream counts for. */
  readonly tokensPerEvent: number;
}

/** One service. */
export interface Service {
  readonly id: ServiceId;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Present for services of model engines. */
  readonly engine: EngineTerms | undefined;
}

/** Bounds on what a caller may send, and how slowly. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration; versions grow. */
export interface SiteConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly limits: CallerLimits;
}
