/** Creates and connects the parts of one daemon, except the caller server. */
import {
  Deferred,
  type Epoch,
  type PartitionId,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {CallGateway} from '@marigoldpost/entry';
import {ConfigFollower, type ConfigInForce} from '@marigoldpost/operations';
import {Membership, type OwnState} from '@marigoldpost/peers';
import {LeaseRenewer, parseLease} from '@marigoldpost/platform';
import {type CopiedRecords, PartitionManager} from '@marigoldpost/programs';
import {ExpectedCostHold, PolicyScheduler} from '@marigoldpost/scheduler';
import {type OperatorsConfig, parseOperatorsText} from '@marigoldpost/settings';
import {Quarantine, TargetRegistry} from '@marigoldpost/targets';
import {CallRelay} from './calls/call_relay.js';
import {CallRouter} from './calls/call_router.js';
import {CallRunner} from './calls/call_runner.js';
import {PartitionLocator} from './calls/partition_locator.js';
import {DaemonGateway} from './daemon_gateway.js';
import type {DaemonOptions} from './daemon_options.js';
import {DispatchLoop} from './dispatch/dispatch_loop.js';
import {LimitGrantHandler} from './limits/limit_grant_handler.js';
import {OwnerLimiter} from './limits/owner_limiter.js';
import {PeerGrantClient} from './limits/peer_grant_client.js';
import {PeerHandoverSender} from './peers/peer_handover_sender.js';
import {PeerRecordCopier} from './peers/peer_record_copier.js';
import {PeerRequestHandler} from './peers/peer_request_handler.js';
import {RecordCopyStore} from './peers/record_copy_store.js';
import {ObservedObjectStore} from './platform/observed_object_store.js';
import {ProgramOperationRunner} from './programs/program_operation_runner.js';
import {CacheReleaser} from './targets/cache_releaser.js';
import {applyCacheAction} from './targets/cache_action.js';
import {TargetUpdateHandler} from './targets/target_update_handler.js';
import {logFleetEvents} from './telemetry/fleet_events.js';
import {GaugeReporter} from './telemetry/gauge_reporter.js';

const defaultHeartbeatMs = 500;
const defaultLeaseMs = 10_000;
const defaultDeathsToQuarantine = 2;
const defaultCacheWeight = 0.5;
const maxCopiedBytes = 8 * 1024 * 1024;
const leasesPrefix = 'leases/';

/** One daemon without its HTTP server for callers. */
export class DaemonCore {
  readonly store: ObservedObjectStore;
  readonly leases: LeaseRenewer;
  readonly membership: Membership;
  readonly follower: ConfigFollower;
  readonly manager: PartitionManager;
  readonly registry: TargetRegistry;
  readonly quarantine: Quarantine;
  readonly scheduler: PolicyScheduler;
  private readonly hold: ExpectedCostHold;
  readonly dispatchLoop: DispatchLoop;
  readonly locator: PartitionLocator;
  readonly limiter: OwnerLimiter;
  readonly runner: CallRunner;
  /** Runs operations on programs, at whichever daemon holds them. */
  readonly operator: ProgramOperationRunner;
  readonly gateway: CallGateway;
  private readonly grantHandler: LimitGrantHandler;
  private readonly cacheReleaser: CacheReleaser;
  private readonly gauges: GaugeReporter;
  private readonly copies = RecordCopyStore.create(maxCopiedBytes);
  private isDraining = false;

  private constructor(private readonly options: DaemonOptions) {
    this.store = ObservedObjectStore.create(options);
    this.leases = this.createLeases();
    this.membership = this.createMembership();
    this.follower = this.createFollower();
    this.manager = this.createManager();
    this.registry = this.createRegistry();
    this.quarantine = Quarantine.create({
      clock: options.clock,
      deathsToQuarantine: defaultDeathsToQuarantine,
    });
    this.hold = ExpectedCostHold.create({clock: options.clock, options: {}});
    this.scheduler = this.createScheduler();
    this.dispatchLoop = this.createDispatchLoop();
    this.locator = this.createLocator();
    this.grantHandler = this.createGrantHandler();
    this.limiter = this.createLimiter();
    this.runner = this.createRunner();
    this.cacheReleaser = CacheReleaser.create({...options, ...this.getParts()});
    this.gauges = GaugeReporter.create({
      ...options,
      ...this.getParts(),
      scheduler: this.scheduler,
    });
    this.operator = ProgramOperationRunner.create({
      ...options,
      ...this.getParts(),
    });
    this.gateway = this.createGateway();
    this.servePeers();
    this.addListeners();
  }

  /**
   * Creates a daemon that is not started.
   * @param options - Settings, and interfaces to the network and the platform.
   */
  static create(options: DaemonOptions): DaemonCore {
    return new DaemonCore(options);
  }

  /** Joins the fleet and starts to claim partitions. */
  async start(): Promise<void> {
    await this.options.transport.start();
    await this.leases.start();
    await this.seedMembership();
    await this.membership.start();
    await this.follower.start();
    await this.registry.start();
    await this.manager.start();
    this.cacheReleaser.start();
    this.gauges.start();
    this.membership.announceChange();
  }

  /** Whether the daemon is configured and not draining. */
  isReady(): boolean {
    return !this.isDraining && this.getConfig() !== undefined;
  }

  /** Gets the operators' configuration; `undefined` until one is active. */
  getConfig(): OperatorsConfig | undefined {
    return this.follower.getCurrent()?.config;
  }

  /** Reports not ready to the load balancer, and draining to the peers. */
  startDraining(): void {
    this.isDraining = true;
    this.options.logger.log('daemon_draining', {inFlight: this.runner.size});
    this.membership.announceChange();
  }

  /**
   * Hands every partition over, then waits for the calls that run here.
   * @param maxWaitMs - Longest time after which it stops waiting for the calls.
   */
  async handOver(maxWaitMs = this.options.settings.drainMs): Promise<void> {
    const {clock} = this.options;
    const endMs = clock.nowMs() + maxWaitMs;
    await this.manager.handOverAll();
    this.membership.announceChange();
    const expired = Deferred.create<void>();
    const leftMs = Math.max(0, endMs - clock.nowMs());
    const timer = clock.setTimer(leftMs, () => expired.resolve());
    await Promise.race([this.runner.waitUntilIdle(), expired.promise]);
    timer.cancel();
  }

  /** Stops every part, returns grants and releases the daemon's lease. */
  async stop(): Promise<void> {
    this.cacheReleaser.stop();
    this.gauges.stop();
    this.dispatchLoop.stop();
    await this.manager.stop();
    await this.limiter.stop();
    await this.follower.stop();
    await this.registry.stop();
    await this.leases.release();
    this.membership.stop();
    await this.options.transport.stop();
  }

  /** Stops at once, like a killed process; hands no partition over. */
  async kill(): Promise<void> {
    this.membership.stop();
    await this.options.transport.stop();
    this.cacheReleaser.stop();
    this.gauges.stop();
    this.dispatchLoop.stop();
    await this.manager.stop();
    await this.follower.stop();
    await this.registry.stop();
    this.leases.stop();
  }

  private createLeases(): LeaseRenewer {
    const {settings, clock, random, peerAddress} = this.options;
    return LeaseRenewer.create({
      store: this.store,
      clock,
      random,
      daemon: settings.name,
      dataCentre: settings.dataCentre,
      address: peerAddress,
      incarnation: Math.floor(clock.wallTimeMs()),
      getLeaseMs: () => this.getConfig()?.fleet.leaseMs ?? defaultLeaseMs,
    });
  }

  private createMembership(): Membership {
    const {settings, peerAddress, ...rest} = this.options;
    const getConfig = () => this.getConfig();
    return Membership.create({
      ...rest,
      daemon: settings.name,
      dataCentre: settings.dataCentre,
      address: peerAddress,
      get heartbeatMs() {
        return getConfig()?.fleet.heartbeatMs ?? defaultHeartbeatMs;
      },
      getOwnState: () => this.getOwnState(),
      isDaemon: (vm) =>
        !this.registry.getTargets().some(({id}) => id === vm.name),
    });
  }

  private createFollower(): ConfigFollower {
    const {transport, clock, random} = this.options;
    return ConfigFollower.create({
      store: this.store,
      transport,
      clock,
      random,
      parse: parseOperatorsText,
      getPeers: () =>
        this.membership.getMembers().filter(({state}) => state !== 'dead'),
    });
  }

  private createManager(): PartitionManager {
    const {settings, clock, random, vmList, transport} = this.options;
    const {dataCentre} = settings;
    const fleet = this.membership;
    const {copies} = this;
    return PartitionManager.create({
      store: this.store,
      clock,
      random,
      daemon: settings.name,
      dataCentre,
      fleet,
      leases: this.leases,
      vmList,
      getConfig: () => this.getConfig(),
      copier: PeerRecordCopier.create({dataCentre, fleet, transport, copies}),
      keepRecords: (partition, epoch, records) =>
        this.storeCopies(partition, epoch, records),
      handovers: PeerHandoverSender.create({fleet, transport}),
      loopLimits: this.options.loopLimits,
      drainMs: settings.drainMs,
      logger: this.options.logger,
    });
  }

  private storeCopies(
    partition: PartitionId,
    epoch: Epoch,
    records: CopiedRecords,
  ): void {
    try {
      this.copies.addRecords(partition, epoch, records);
    } catch (error) {
      const {kind, message} = toMarigoldpostError(error);
      const task = 'keep records for a successor';
      this.options.logger.log('background_failed', {task, kind, message});
    }
  }

  private createRegistry(): TargetRegistry {
    const {clock, vmList, settings, targetClients} = this.options;
    const {dataCentre} = settings;
    const clients = targetClients;
    return TargetRegistry.create({clock, vmList, dataCentre, clients});
  }

  private createScheduler(): PolicyScheduler {
    const {clock, random, settings} = this.options;
    return PolicyScheduler.create({
      clock,
      random,
      dataCentre: settings.dataCentre,
      cacheWeight: defaultCacheWeight,
      hold: this.hold,
    });
  }

  private createDispatchLoop(): DispatchLoop {
    return DispatchLoop.create({
      scheduler: this.scheduler,
      clock: this.options.clock,
      onCacheAction: (action) => void applyCacheAction(this.registry, action),
    });
  }

  private createLocator(): PartitionLocator {
    return PartitionLocator.create({
      dataCentre: this.options.settings.dataCentre,
      manager: this.manager,
      fleet: this.membership,
      random: this.options.random,
      getConfig: () => this.getConfig(),
    });
  }

  private createGrantHandler(): LimitGrantHandler {
    return LimitGrantHandler.create({
      clock: this.options.clock,
      dataCentre: this.options.settings.dataCentre,
      manager: this.manager,
      getConfig: () => this.getConfig(),
    });
  }

  private createLimiter(): OwnerLimiter {
    const {settings, clock, random, transport} = this.options;
    const {dataCentre, name: daemon} = settings;
    const {manager, locator, grantHandler} = this;
    const getConfig = () => this.getConfig();
    const client = PeerGrantClient.create({
      dataCentre,
      manager,
      locator,
      grantHandler,
      transport,
    });
    return OwnerLimiter.create({
      daemon,
      dataCentre,
      clock,
      random,
      client,
      getConfig,
    });
  }

  private createRunner(): CallRunner {
    return CallRunner.create({
      context: {...this.options, ...this.getParts()},
      getConfig: () => this.getConfig(),
    });
  }

  private createGateway(): CallGateway {
    const parts = {...this.options, ...this.getParts()};
    const relay = CallRelay.create(parts);
    const getConfig = () => this.getConfig();
    const getLeaseMs = () => getConfig()?.fleet.leaseMs ?? defaultLeaseMs;
    const router = CallRouter.create({...parts, relay, getLeaseMs});
    return DaemonGateway.create({
      ...parts,
      router,
      operator: this.operator,
      getConfig,
      isReady: () => this.isReady(),
    });
  }

  private servePeers(): void {
    const handler = PeerRequestHandler.create({
      ...this.getParts(),
      operator: this.operator,
      copies: this.copies,
      grantHandler: this.grantHandler,
      follower: this.follower,
    });
    this.options.transport.setHandler((sender, request, signal) =>
      handler.handle(sender, request, signal),
    );
  }

  private getParts() {
    const {manager, registry, quarantine, dispatchLoop} = this;
    const {locator, limiter, runner, membership} = this;
    return {
      manager,
      registry,
      quarantine,
      dispatchLoop,
      locator,
      limiter,
      runner,
      membership,
    };
  }

  /** Adds the listeners by which parts observe each other's changes. */
  private addListeners(): void {
    const {logger} = this.options;
    logFleetEvents({logger, ...this.getParts(), follower: this.follower});
    this.follower.addListener({
      onConfigChanged: (current) => this.applyConfig(current),
    });
    this.membership.addListener({
      onConfigVersionReceived: (peerVersion) =>
        void this.follower.fetchIfNewer(peerVersion),
      onQuarantinesReceived: (entries) => this.quarantine.mergeEntries(entries),
    });
    this.registry.addListener(
      TargetUpdateHandler.create({
        dispatchLoop: this.dispatchLoop,
        quarantine: this.quarantine,
        logger,
        onQuarantineChanged: () => this.membership.announceChange(),
      }),
    );
    this.manager.addListener({
      onOpened: (programManager) => {
        this.grantHandler.addPartition(programManager);
        this.membership.announceChange();
        this.runner.resumeRecovered(programManager);
      },
      onClosed: (partition) => {
        this.grantHandler.removePartition(partition);
        this.membership.announceChange();
      },
    });
  }

  private applyConfig({config, version, hash}: ConfigInForce): void {
    this.registry.setConfig(config);
    const {quarantineAfterDeaths, cacheWeight} = config.fleet;
    this.hold.setCacheWeight(cacheWeight);
    this.quarantine.setDeathsToQuarantine(quarantineAfterDeaths);
    this.options.metrics.setGauge('config_version', {}, version);
    const source = this.store.reachesPlatform() ? 'platform' : 'peer';
    this.options.logger.log('config_in_force', {version, hash, source});
    this.membership.announceChange();
  }

  private async seedMembership(): Promise<void> {
    try {
      const objects = await this.store.listObjects(leasesPrefix);
      const leases = objects.map(({value}) => parseLease(value));
      this.membership.addSeeds(leases);
    } catch {
      // Without the leases, members come from the VM list and from heartbeats.
    }
  }

  /** Gets the state that the daemon's heartbeats announce. */
  getOwnState(): OwnState {
    const current = this.follower.getCurrent();
    return {
      configVersion: current?.version ?? 0,
      configHash: current?.hash ?? '',
      reachesPlatform: this.store.reachesPlatform(),
      isDraining: this.isDraining,
      partitions: this.manager.getPartitions(),
      quarantines: this.quarantine.getEntries(),
    };
  }
}
