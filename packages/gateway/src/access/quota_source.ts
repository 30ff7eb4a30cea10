/** Where calls get their places in the quota of a tenant. */
import type {DaemonId} from '@marigoldpost/common';
import type {Tenant} from '@marigoldpost/sites';

/** What was decided about one call of a tenant. */
export interface QuotaDecision {
  /**
   * `granted`; `exceeded`, if the quota is spent; or `unknown`, if no entry VM
   * that may count the tenant's requests responds.
   */
  readonly result: 'granted' | 'exceeded' | 'unknown';
  /** Entry VM that decided; `undefined` if none did. */
  readonly holder: DaemonId | undefined;
  /** Requests that the holder granted within the window. */
  readonly counted: number;
  /** Age of that count. */
  readonly countAgeMs: number;
  /** Time until another request may be granted. */
  readonly retryAfterMs: number;
}

/** Grants calls within the quotas of tenants, over all entry VMs. */
export abstract class QuotaSource {
  /**
   * Asks for one call; never rejects.
   * @param tenant - Tenant with a quota.
   * @param configVersion - Version of the configuration that states the quota.
   */
  abstract take(tenant: Tenant, configVersion: number): Promise<QuotaDecision>;

  /**
   * Returns a call that was granted and surely has not run.
   * @param tenant - Tenant of the call.
   */
  abstract giveBack(tenant: Tenant): void;
}
