/** Looks up the tenant of a key. */
import type {Tenant} from './tenant.js';

/** Tenants by key. A key that several tenants list belongs to the first one. */
export class TenantTable {
  private constructor(
    private readonly tenantsByKey: ReadonlyMap<string, Tenant>,
    /** Number of keys that more than one tenant lists. */
    readonly sharedKeys: number,
  ) {}

  /**
   * Creates a table.
   * @param tenants - All tenants of a configuration.
   */
  static create(tenants: readonly Tenant[]): TenantTable {
    const byKey = new Map<string, Tenant>();
    const shared = new Set<string>();
    for (const tenant of tenants) {
      for (const key of tenant.keys) {
        const known = byKey.get(key);
        if (known === undefined) byKey.set(key, tenant);
        else if (known !== tenant) shared.add(key);
      }
    }
    return new TenantTable(byKey, shared.size);
  }

  /**
   * Gets the tenant of a key; `undefined` if none lists it.
   * @param key - Key that a client sent.
   */
  getTenant(key: string): Tenant | undefined {
    return this.tenantsByKey.get(key);
  }
}
