/** Decides which tenant a call is from, and whether its quota allows it. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {
  CallAttributes,
  CallerIdentity,
  Route,
  Tenant,
  TenantTable,
} from '@marigoldpost/sites';
import type {QuotaDecision} from './quota_source.js';

/** Another entry VM may reach the one that counts the tenant's requests. */
const unknownQuotaRetryMs = 50;
/** Bounds of the retry delay beyond a quota, which other calls may use up first. */
const minExceededRetryMs = 100;
const maxExceededRetryMs = 5000;

/** Tenant of a call that may run, if it has one. */
export interface CallAccess {
  readonly tenant: Tenant | undefined;
  /** What targets learn of the caller; `undefined` on a site without tenants. */
  readonly caller: CallerIdentity | undefined;
}

/**
 * Finds the tenant of a call. Throws `unauthenticated` if the route needs a key
 * and the call has none that the configuration lists.
 * @param tenants - Keys in force; `undefined` on a site without tenants.
 * @param route - Route of the call.
 * @param attributes - Decoded headers of the call.
 */
export function checkAccess(
  tenants: TenantTable | undefined,
  route: Route,
  {apiKey}: CallAttributes,
): CallAccess {
  if (tenants === undefined) return {tenant: undefined, caller: undefined};
  const tenant = apiKey === undefined ? undefined : tenants.getTenant(apiKey);
  if (tenant === undefined && route.isPublic !== true) {
    const problem = apiKey === undefined ? 'has no key' : 'has an unknown key';
    const message = `the request ${problem}`;
    throw MarigoldpostError.create('unauthenticated', message);
  }
  return {tenant, caller: {tenant: tenant?.name}};
}

/**
 * Creates the error for a call that was not granted: `limit_reached` beyond the
 * quota, and `dependency_unavailable` if nobody could tell.
 * @param tenant - Tenant of the call.
 * @param decision - Why it was not granted.
 */
export function createQuotaError(
  {name}: Tenant,
  {result, retryAfterMs}: QuotaDecision,
): MarigoldpostError {
  if (result === 'unknown') {
    const message = `no entry VM that counts the requests of tenant "${name}" responds`;
    const options = {retryAfterMs: unknownQuotaRetryMs};
    return MarigoldpostError.create('dependency_unavailable', message, options);
  }
  const message = `the quota of tenant "${name}" is spent`;
  return MarigoldpostError.create('limit_reached', message, {
    retryAfterMs: Math.min(
      maxExceededRetryMs,
      Math.max(minExceededRetryMs, retryAfterMs),
    ),
  });
}
