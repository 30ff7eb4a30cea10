/** Bounds the number of tenants that metrics tell apart. */
import type {TenantId} from '@marigoldpost/common';

/** Tenants with counters of their own; a label costs memory for good. */
const maxTenants = 200;
/** Label of all further tenants. */
const otherLabel = 'other';

/** Labels of tenants, in the order in which their calls came. */
export class TenantLabels {
  private readonly known = new Set<TenantId>();

  private constructor() {}

  /** Creates labels without tenants. */
  static create(): TenantLabels {
    return new TenantLabels();
  }

  /**
   * Gets the label of a tenant.
   * @param tenant - Tenant whose key a call carried.
   */
  getLabel(tenant: TenantId): string {
    if (this.known.has(tenant)) return tenant;
    if (this.known.size >= maxTenants) return otherLabel;
    this.known.add(tenant);
    return tenant;
  }
}
