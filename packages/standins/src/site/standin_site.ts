/** External services of one deployment as stand-ins on loopback sockets. */
import {
  MarigoldpostError,
  SeededRandom,
  type ServiceId,
  SystemClock,
  type TargetId,
} from '@marigoldpost/common';
import {MemoryObjectStore} from '../memory/memory_object_store.js';
import {MemoryVmList} from '../memory/memory_vm_list.js';
import {PlainLedger} from '../memory/plain_ledger.js';
import {EngineServer} from '../servers/engine_server.js';
import {ObjectApiServer} from '../servers/object_api_server.js';
import {PlainServiceServer} from '../servers/plain_service_server.js';
import type {StandInServer} from '../servers/stand_in_server.js';
import {VmListServer} from '../servers/vm_list_server.js';
import {WeightStoreServer} from '../servers/weight_store_server.js';
import type {SiteDescription, SiteTarget} from './site_description.js';
import {placeTargets, type PlacedTarget} from './site_placement.js';
import {SiteTargetFactory} from './site_target_factory.js';

const defaultVmLagMs = 500;

/** Addresses of the platform's stand-ins, as `http://<ip>:<port>`. */
export interface SiteAddresses {
  readonly platformAddress: string;
  readonly vmListAddress: string;
  readonly weightStoreAddress: string;
}

/**
 * Starts and stops a deployment's object API, VM list, weight store, targets.
 */
export class StandinSite {
  /** Objects behind the object API; injects its faults. */
  readonly store: MemoryObjectStore;
  /** Sets the states of VMs; injects faults of the VM list. */
  readonly vmList: MemoryVmList;
  readonly objectApi: ObjectApiServer;
  readonly weightStore: WeightStoreServer;
  private readonly vmListServer: VmListServer;
  private readonly engines = new Map<TargetId, EngineServer>();
  private readonly plains = new Map<TargetId, PlainServiceServer>();
  private readonly ledgers = new Map<ServiceId, PlainLedger>();
  private readonly targets: SiteTarget[] = [];

  private constructor(private readonly description: SiteDescription) {
    const clock = SystemClock.create();
    const {vmLagMs = defaultVmLagMs, ...rates} = description;
    this.store = MemoryObjectStore.create({clock});
    this.vmList = MemoryVmList.create({clock, lagMs: vmLagMs});
    this.objectApi = ObjectApiServer.create({store: this.store, ...rates});
    this.vmListServer = VmListServer.create({vmList: this.vmList});
    this.weightStore = WeightStoreServer.create(rates);
  }

  /**
   * Creates a site that has not started.
   * @param description - Data centres, services and rate limits.
   */
  static create(description: SiteDescription): StandinSite {
    return new StandinSite(description);
  }

  /** Starts all servers and gets the addresses for the daemons' settings. */
  async start(): Promise<SiteAddresses> {
    const platformAddress = await this.objectApi.start();
    const vmListAddress = await this.vmListServer.start();
    const weightStoreAddress = await this.weightStore.start();
    const factory = SiteTargetFactory.create({
      random: SeededRandom.create(this.description.seed),
      weightStoreAddress,
    });
    for (const placed of placeTargets(this.description)) {
      await this.startTarget(placed, factory);
    }
    return {platformAddress, vmListAddress, weightStoreAddress};
  }

  /** Stops all servers concurrently; requests in flight are dropped. */
  async stop(): Promise<void> {
    const servers: StandInServer[] = [
      this.objectApi,
      this.vmListServer,
      this.weightStore,
      ...this.engines.values(),
      ...this.plains.values(),
    ];
    await Promise.all(servers.map((server) => server.kill()));
  }

  /** Gets every started target, for the operators' configuration. */
  getTargets(): readonly SiteTarget[] {
    return this.targets;
  }

  /** Gets the engine servers by target id. */
  getEngines(): ReadonlyMap<TargetId, EngineServer> {
    return this.engines;
  }

  /** Gets the servers of plain service instances by target id. */
  getPlainServices(): ReadonlyMap<TargetId, PlainServiceServer> {
    return this.plains;
  }

  /**
   * Gets the executions of a plain service's instances. Throws
   * `unknown_service` if the site has no such service.
   * @param service - Id of the plain service.
   */
  getLedgerOrThrow(service: ServiceId): PlainLedger {
    const ledger = this.ledgers.get(service);
    if (ledger !== undefined) return ledger;
    const message = `site has no plain service "${service}"`;
    throw MarigoldpostError.create('unknown_service', message);
  }

  private async startTarget(
    placed: PlacedTarget,
    factory: SiteTargetFactory,
  ): Promise<void> {
    const {id, service, dataCentre} = placed;
    const address = await this.startServer(placed, factory);
    const {kind} = service;
    const target = {id, kind, service: service.id, dataCentre, address};
    this.targets.push(target);
    this.vmList.setVm({name: id, dataCentre, address, state: 'live'});
  }

  private startServer(
    {id, service}: PlacedTarget,
    factory: SiteTargetFactory,
  ): Promise<string> {
    if (service.kind === 'engine') {
      const engine = EngineServer.create({
        engine: factory.createEngine(id, service),
      });
      this.engines.set(id, engine);
      return engine.start();
    }
    const ledger = this.getOrAddLedger(service.id);
    const plain = PlainServiceServer.create({
      service: factory.createPlain(id, service, ledger),
    });
    this.plains.set(id, plain);
    return plain.start();
  }

  private getOrAddLedger(service: ServiceId): PlainLedger {
    const ledger = this.ledgers.get(service) ?? PlainLedger.create();
    this.ledgers.set(service, ledger);
    return ledger;
  }
}
