/** One daemon that listens on the network. */
import {
  type Clock,
  getConnectionLimits,
  getHashNumber,
  peerPortShare,
  SeededRandom,
  SystemClock,
} from '@marigoldpost/common';
import {CallerServer} from '@marigoldpost/entry';
import {
  ActionLog,
  ConfigStore,
  createOperationsRoutes,
  type OperationsParts,
} from '@marigoldpost/operations';
import {
  ConnectPeerTransport,
  maxMessageBytes,
  type PeerPortLimits,
} from '@marigoldpost/peers';
import {HttpObjectStore, HttpVmList} from '@marigoldpost/platform';
import {type DaemonSettings, parseOperatorsText} from '@marigoldpost/settings';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {DaemonCore} from './daemon_core.js';
import type {DaemonOptions} from './daemon_options.js';
import {FleetStatusSource} from './status/fleet_status_source.js';

const bytesPerMb = 2 ** 20;
/** Share of the memory for incomplete requests of peers. */
const heldShare = 0.125;
const platformTimeoutMs = 3000;
/** Time for the platform's load balancer to observe that it is not ready. */
const balancerDelayMs = 500;

/** Serves callers, peers and operators over HTTP. */
export class Daemon {
  readonly core: DaemonCore;
  private readonly server: CallerServer;

  private constructor(private readonly options: DaemonOptions) {
    this.core = DaemonCore.create(options);
    const {gateway} = this.core;
    const extraRoutes = createOperationsRoutes(this.createOperations());
    this.server = CallerServer.create({...options, gateway, extraRoutes});
  }

  /**
   * Creates a daemon with the given interfaces; it is not started.
   * @param options - Settings, and interfaces to the network and the platform.
   */
  static createWith(options: DaemonOptions): Daemon {
    return new Daemon(options);
  }

  /**
   * Creates a daemon that uses HTTP to reach the platform and its peers; it is
   * not started.
   * @param settings - Validated settings.
   * @param logger - Logs events; to standard output by default.
   */
  static create(settings: DaemonSettings, logger?: EventLogger): Daemon {
    const clock = SystemClock.create();
    const metrics = Metrics.create();
    return new Daemon({
      settings,
      clock,
      random: createRandom(settings, clock),
      store: HttpObjectStore.create({
        address: settings.platformAddress,
        timeoutMs: platformTimeoutMs,
        clock,
      }),
      vmList: HttpVmList.create({
        address: settings.vmListAddress,
        timeoutMs: platformTimeoutMs,
        clock,
      }),
      transport: ConnectPeerTransport.create({
        daemon: settings.name,
        host: settings.peerHost,
        port: settings.peerPort,
        clock,
        tls: settings.tls,
        limits: createPeerLimits(settings, metrics),
      }),
      peerAddress: getPeerAddress(settings),
      logger: logger ?? createLogger(settings),
      metrics,
    });
  }

  /** Port of the caller server; known once it is started. */
  get callerPort(): number {
    return this.server.port;
  }

  /** Joins the fleet, then serves callers. */
  async start(): Promise<void> {
    await this.core.start();
    await this.server.start();
    const {settings, peerAddress, logger} = this.options;
    const callerAddress = `${settings.callerHost}:${this.callerPort}`;
    logger.log('daemon_started', {callerAddress, peerAddress});
  }

  /**
   * Shuts down: reports not ready so that callers go to other daemons, hands
   * partitions over and finishes the requests in flight. Those that are still in
   * flight after the drain time end with an error.
   */
  async drain(): Promise<void> {
    const {clock, logger, settings} = this.options;
    const startMs = clock.nowMs();
    this.core.startDraining();
    await clock.sleep(balancerDelayMs);
    const endMs = clock.nowMs() + settings.drainMs;
    await this.core.handOver(settings.drainMs);
    await this.server.stop(Math.max(0, endMs - clock.nowMs()));
    await this.core.stop();
    const drainMs = Math.round(clock.nowMs() - startMs);
    logger.log('daemon_stopped', {drainMs, cutOff: this.server.inFlight});
  }

  private createOperations(): OperationsParts {
    const {core, options} = this;
    const {settings, clock, random, logger} = options;
    const {store} = core;
    const {name: daemon, dataCentre} = settings;
    const parse = parseOperatorsText;
    return {
      source: FleetStatusSource.create({
        daemon,
        dataCentre,
        clock,
        core,
        logger,
      }),
      configs: ConfigStore.create({store, clock, random, parse}),
      actions: ActionLog.create({store, clock, random}),
      logger,
    };
  }

  /** Stops at once, like a killed process. */
  async kill(): Promise<void> {
    await this.server.kill();
    await this.core.kill();
  }
}

function createPeerLimits(
  settings: DaemonSettings,
  metrics: Metrics,
): PeerPortLimits {
  const sharedBytes = settings.memoryMb * bytesPerMb * heldShare;
  return {
    connections: getConnectionLimits(settings, peerPortShare),
    // A single message of any size always finds room.
    maxHeldBytes: Math.max(maxMessageBytes, sharedBytes),
    onEnded: (reason) =>
      metrics.addToCounter('connections_ended_total', {port: 'peers', reason}),
  };
}

function createLogger({logLevel, name}: DaemonSettings): EventLogger {
  return EventLogger.create({level: logLevel, daemon: name});
}

function createRandom({name}: DaemonSettings, clock: Clock): SeededRandom {
  // Program ids must differ between daemons and between restarts of one.
  return SeededRandom.create(getHashNumber(`${name} ${clock.wallTimeMs()}`));
}

function getPeerAddress({peerHost, peerPort, tls}: DaemonSettings): string {
  const scheme = tls === undefined ? 'http' : 'https';
  return `${scheme}://${peerHost}:${peerPort}`;
}
