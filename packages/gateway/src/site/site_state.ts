/** Holds the configuration and targets in force on one daemon. */
import type {
  Clock,
  DataCentreId,
  Random,
  ServiceId,
} from '@marigoldpost/common';
import {
  type RateLimiter,
  ServiceDispatcher,
  type SharedLoads,
  type TargetResult,
} from '@marigoldpost/dispatch';
import {
  type Route,
  RouteTable,
  type Service,
  type SiteConfig,
  type TargetEntry,
  TenantTable,
} from '@marigoldpost/sites';

/** Dependencies of the state, shared with its dispatchers. */
export interface SiteStateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  /** Limits the requests to targets that state a rate limit. */
  readonly rateLimiter?: RateLimiter;
  /** Loads of the targets by the other daemons. */
  readonly sharedLoads?: SharedLoads;
  /** Gets the number of entry VMs of the site. */
  readonly getDaemonCount?: () => number;
  /** Called when a dispatcher ejects a target after failed requests. */
  readonly onEjected: (target: TargetEntry, result: TargetResult) => void;
}

/** Routes and dispatchers; a configuration replaces only an older version. */
export class SiteState {
  private readonly dispatchers = new Map<ServiceId, ServiceDispatcher>();
  private config: SiteConfig | undefined;
  private routes = RouteTable.create([]);
  private tenantTable: TenantTable | undefined;
  private targets: readonly TargetEntry[] = [];

  private constructor(private readonly options: SiteStateOptions) {}

  /**
   * Creates a state without configuration and targets.
   * @param options - Clock, random source and data centre of the daemon.
   */
  static create(options: SiteStateOptions): SiteState {
    return new SiteState(options);
  }

  /** Configuration in force; `undefined` until the first one is applied. */
  get currentConfig(): SiteConfig | undefined {
    return this.config;
  }

  /**
   * Applies a configuration; false if its version is not newer.
   * @param config - Configuration to apply.
   */
  applyConfig(config: SiteConfig): boolean {
    if (config.version <= (this.config?.version ?? -1)) return false;
    this.config = config;
    this.routes = RouteTable.create(config.routes);
    const {tenants} = config;
    this.tenantTable = tenants && TenantTable.create(tenants);
    for (const service of config.services.values()) {
      this.getOrAddDispatcher(service).setService(service);
    }
    this.assignTargets();
    return true;
  }

  /**
   * Sets the targets that may receive requests.
   * @param targets - Targets that are listed and not draining.
   */
  setTargets(targets: readonly TargetEntry[]): void {
    this.targets = targets;
    this.assignTargets();
  }

  /** Keys in force; `undefined` on a site without tenants. */
  get tenants(): TenantTable | undefined {
    return this.tenantTable;
  }

  /**
   * Gets the route for a request; `undefined` if none matches.
   * @param host - `Host` header of the request.
   * @param path - Path of the request.
   */
  getRoute(host: string, path: string): Route | undefined {
    return this.routes.getRoute(host, path);
  }

  /**
   * Gets a service's dispatcher; `undefined` if the service has never been
   * configured.
   * @param service - Id of the service.
   */
  getDispatcher(service: ServiceId): ServiceDispatcher | undefined {
    return this.dispatchers.get(service);
  }

  /** Gets the dispatchers of all services configured so far. */
  getDispatchers(): IterableIterator<ServiceDispatcher> {
    return this.dispatchers.values();
  }

  private getOrAddDispatcher(service: Service): ServiceDispatcher {
    const known = this.dispatchers.get(service.id);
    if (known !== undefined) return known;
    const options = {...this.options, service};
    const added = ServiceDispatcher.create(options);
    this.dispatchers.set(service.id, added);
    return added;
  }

  private assignTargets(): void {
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.setTargets(
        this.targets.filter(({service}) => service === dispatcher.id),
      );
    }
  }
}
