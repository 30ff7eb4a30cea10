/** The configuration and the targets in force on one daemon. */
import type {
  Clock,
  DataCentreId,
  Random,
  ServiceId,
} from '@marigoldpost/common';
import {ServiceDispatcher, type TargetResult} from '@marigoldpost/dispatch';
import {
  type Route,
  RouteTable,
  type Service,
  type SiteConfig,
  type TargetEntry,
} from '@marigoldpost/sites';

/** Options of a state. */
export interface SiteStateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  readonly onEjected: (target: TargetEntry, result: TargetResult) => void;
}

/** State of a site; versions of the configuration never go back. */
export class SiteState {
  private readonly dispatchers = new Map<ServiceId, ServiceDispatcher>();
  private config: SiteConfig | undefined;
  private routes = RouteTable.create([]);
  private targets: readonly TargetEntry[] = [];

  private constructor(private readonly options: SiteStateOptions) {}

  /**
   * Creates a state without a configuration.
   * @param options - Clock and place.
   */
  static create(options: SiteStateOptions): SiteState {
    return new SiteState(options);
  }

  /** Configuration in force; nothing before the first one. */
  get currentConfig(): SiteConfig | undefined {
    return this.config;
  }

  /**
   * Puts a configuration in force; false for one that is not newer.
   * @param config - The configuration.
   */
  applyConfig(config: SiteConfig): boolean {
    if (config.version <= (this.config?.version ?? -1)) return false;
    this.config = config;
    this.routes = RouteTable.create(config.routes);
    for (const service of config.services.values()) {
      this.getOrAddDispatcher(service).setService(service);
    }
    this.spreadTargets();
    return true;
  }

  /**
   * Sets the targets that may get requests.
   * @param targets - Targets that are listed and not draining.
   */
  setTargets(targets: readonly TargetEntry[]): void {
    this.targets = targets;
    this.spreadTargets();
  }

  /**
   * Gets a request's route; nothing when the configuration has none.
   * @param host - Its `Host`.
   * @param path - Its path.
   */
  getRoute(host: string, path: string): Route | undefined {
    return this.routes.getRoute(host, path);
  }

  /**
   * Gets a service's dispatcher.
   * @param service - The service.
   */
  getDispatcher(service: ServiceId): ServiceDispatcher | undefined {
    return this.dispatchers.get(service);
  }

  /** Gets every dispatcher. */
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

  private spreadTargets(): void {
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.setTargets(
        this.targets.filter(({service}) => service === dispatcher.id),
      );
    }
  }
}
