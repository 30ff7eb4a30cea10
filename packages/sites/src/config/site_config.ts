/** One version of the operators' configuration of a site. */
import type {ServiceId} from '@marigoldpost/common';
import type {Route} from './route.js';
import type {Tenant} from './tenant.js';

/** Settings of a service's model engines. */
export interface EngineSettings {
  /** Requests that a runner processes concurrently. */
  readonly slots: number;
  /** Token capacity that a runner's cache and running requests share. */
  readonly cacheTokens: number;
  /** Tokens that one event of a stream represents. */
  readonly tokensPerEvent: number;
}

/** A service whose targets process requests. */
export interface Service {
  readonly id: ServiceId;
  /** Connection limit of one target, shared by all callers. */
  readonly maxConnections: number;
  /** `undefined` for plain services. */
  readonly engine: EngineSettings | undefined;
}

/** Limits of the size and duration of a caller's requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration; versions increase. */
export interface SiteConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly limits: CallerLimits;
  /**
   * Tenants whose keys calls must carry; `undefined` if the site has none, so
   * that calls need no key.
   */
  readonly tenants?: readonly Tenant[] | undefined;
}
