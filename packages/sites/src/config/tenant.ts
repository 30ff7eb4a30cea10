/** Client accounts whose keys calls must carry, and their quotas. */
import type {TenantId} from '@marigoldpost/common';

/** Limit of the requests of a tenant over all entry VMs together. */
export interface Quota {
  readonly ratePerS: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}

/** A client account. */
export interface Tenant {
  readonly name: TenantId;
  /** Values of the key header, as the bytes of a header are decoded. */
  readonly keys: readonly string[];
  /** Goes before the priority of the route; 0 is the highest. */
  readonly priority: number;
  /** `undefined` without a limit. */
  readonly quota: Quota | undefined;
}
