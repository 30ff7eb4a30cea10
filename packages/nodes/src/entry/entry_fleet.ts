/**
 * What an entry VM shares with the other entry VMs of its site: a registration,
 * permits for limited targets, and requests that one relays for another.
 */
import {
  type DaemonId,
  getConnectionLimits,
  MarigoldpostError,
  relayPortShare,
  type TargetId,
} from '@marigoldpost/common';
import {
  type LimitChange,
  RateLimiter,
  SharedLoads,
  TargetLimits,
} from '@marigoldpost/dispatch';
import {
  LinkMonitor,
  LinkProber,
  LossDetector,
  RelayPeers,
  RelayServer,
  TargetAgents,
  TargetSender,
} from '@marigoldpost/gateway';
import type {
  MessageTransport,
  PeerReplyBody,
  PeerRequestBody,
} from '@marigoldpost/peers';
import {putOwnObject} from '@marigoldpost/platform';
import type {TargetEntry} from '@marigoldpost/sites';
import type {NodeOptions} from '../node_options.js';
import type {BackgroundTasks} from '../utils/background_tasks.js';
import {createIgnoredObjectLog} from '../utils/log_ignored_object.js';
import {
  EntryDirectory,
  type EntryMember,
  entryPrefix,
} from './entry_directory.js';
import {PermitExchange} from './permit_exchange.js';
import type {ArchiveReach} from './quota_contacts.js';
import {QuotaExchange} from './quota_exchange.js';

/** Pause before a failed registration is retried. */
const registrationRetryMs = 500;

/** Components and callbacks of the own entry VM. */
export interface EntryFleetOptions {
  readonly node: NodeOptions;
  readonly transport: MessageTransport;
  readonly tasks: BackgroundTasks;
  /** Finds a target that is listed; `undefined` if it is not. */
  readonly findTarget: (id: TargetId) => TargetEntry | undefined;
  /** Data centres whose archives are reached. */
  readonly getArchiveReach: () => ArchiveReach;
  /** Called when a response to this entry VM has changed what is known. */
  readonly onLimitStated: () => void;
}

/** This entry VM among the others. */
export class EntryFleet {
  readonly agents: TargetAgents;
  readonly limits: TargetLimits;
  readonly limiter: RateLimiter;
  readonly links: LinkMonitor;
  readonly sender: TargetSender;
  readonly lossDetector: LossDetector;
  readonly directory: EntryDirectory;
  readonly sharedLoads = SharedLoads.create();
  readonly quotas: QuotaExchange;
  private readonly permits: PermitExchange;
  private readonly prober: LinkProber;
  private readonly relay: RelayServer;

  private constructor(private readonly options: EntryFleetOptions) {
    const {clock, logger, connectTarget} = options.node;
    this.agents = TargetAgents.create(connectTarget);
    this.limits = TargetLimits.create({
      clock,
      onChanged: (change) => this.handleLimitChange(change),
    });
    this.links = LinkMonitor.create({clock, logger});
    const {agents, limits, links} = this;
    this.prober = LinkProber.create({clock, links, agents});
    this.directory = EntryDirectory.create({
      own: this.getOwnMember(),
      onOwnRemoved: () => this.startRegistration(),
      onIgnored: createIgnoredObjectLog(logger),
    });
    this.permits = this.createPermitExchange();
    this.quotas = this.createQuotaExchange();
    this.limiter = RateLimiter.create({clock, limits, source: this.permits});
    this.sender = this.createSender();
    this.lossDetector = LossDetector.create({
      clock,
      links,
      prober: this.prober,
      isPeerRunning: (daemon) => this.sender.isPeerRunning(daemon),
    });
    this.relay = this.createRelay();
  }

  /**
   * Creates the fleet's view of this entry VM; `start` registers it.
   * @param options - Components of the own entry VM.
   */
  static create(options: EntryFleetOptions): EntryFleet {
    return new EntryFleet(options);
  }

  /** Number of requests that are being relayed for others. */
  get relayedInFlight(): number {
    return this.relay.inFlight;
  }

  /** Opens the ports for other entry VMs and registers this one. */
  async start(): Promise<void> {
    const {node, transport, tasks} = this.options;
    const {ip: host, relayPort: port} = node.settings;
    await transport.start((sender, request) => this.answer(sender, request));
    await this.relay.listen({host, port});
    tasks.run('probe links', (signal) => this.prober.run(signal));
    this.startRegistration();
  }

  /** Leaves new requests of other entry VMs to others. */
  drain(): void {
    this.relay.drain();
    this.quotas.drain();
  }

  /** Breaks the relays that are still open. */
  close(): void {
    this.relay.close();
  }

  /**
   * Sets the targets that may receive requests.
   * @param targets - Targets that are listed and not draining.
   */
  setTargets(targets: readonly TargetEntry[]): void {
    this.agents.retireUnlisted(targets);
    this.limits.retain(targets);
    this.limiter.retain(targets);
    this.links.retain(targets);
    this.prober.setTargets(targets);
    this.lossDetector.setTargets(targets);
  }

  private async answer(
    sender: DaemonId,
    request: PeerRequestBody,
  ): Promise<PeerReplyBody> {
    if (request.case === 'reservePermits') {
      return this.permits.answer(sender, request.value);
    }
    if (request.case === 'takeQuota') {
      return this.quotas.answer(sender, request.value);
    }
    throw MarigoldpostError.create(
      'invalid_request',
      `an entry VM does not serve requests of kind "${request.case}"`,
    );
  }

  private handleLimitChange({limit, previous, source}: LimitChange): void {
    const {target, startedAtMs, limitPerS, statedAtMs, leavingSinceMs} = limit;
    const {logger, clock} = this.options.node;
    const nowMs = clock.nowMs();
    const origin = {target, startedAtMs, source: source ?? 'response'};
    const previousPerS = previous?.limitPerS;
    if (limitPerS !== previousPerS) {
      const ageMs = Math.round(nowMs - statedAtMs);
      const fields = {...origin, limitPerS, previousPerS, ageMs};
      logger.log('target_limit_changed', fields);
    }
    if (
      leavingSinceMs !== undefined &&
      previous?.leavingSinceMs === undefined
    ) {
      const ageMs = Math.round(nowMs - leavingSinceMs);
      logger.log('target_leaving', {...origin, ageMs});
    }
    if (source === undefined) this.options.onLimitStated();
    this.limiter.notify();
  }

  private createPermitExchange(): PermitExchange {
    const {node, transport} = this.options;
    const {clock, settings, logger} = node;
    return PermitExchange.create({
      daemon: settings.daemon,
      directory: this.directory,
      transport,
      limits: this.limits,
      clock,
      logger,
      onMemberLost: ({daemon}) => this.removeMember(daemon),
    });
  }

  private createQuotaExchange(): QuotaExchange {
    const {node, transport, getArchiveReach} = this.options;
    const {clock, settings, logger, metrics} = node;
    return QuotaExchange.create({
      member: this.getOwnMember(),
      directory: this.directory,
      transport,
      clock,
      logger,
      metrics,
      bounds: settings.bounds.quota,
      getArchiveReach,
    });
  }

  private createSender(): TargetSender {
    const {clock, random, platform, settings} = this.options.node;
    const {daemon, dataCentre} = settings;
    const peers = RelayPeers.create({
      daemon,
      dataCentre,
      clock,
      random,
      getMembers: () => this.directory.getMembers(),
    });
    const {agents, links, prober} = this;
    const {codec} = platform;
    return TargetSender.create({
      daemon,
      clock,
      codec,
      agents,
      links,
      prober,
      peers,
    });
  }

  private createRelay(): RelayServer {
    const {node, findTarget} = this.options;
    const {clock, platform, logger, metrics, settings} = node;
    return RelayServer.create({
      clock,
      limits: getConnectionLimits(settings, relayPortShare),
      codec: platform.codec,
      agents: this.agents,
      links: this.links,
      lossDetector: this.lossDetector,
      targetLimits: this.limits,
      logger,
      metrics,
      findTarget,
    });
  }

  private getOwnMember(): EntryMember {
    const {settings} = this.options.node;
    const {daemon, ip, peerPort, relayPort, dataCentre} = settings;
    return {
      daemon,
      address: `http://${ip}:${peerPort}`,
      relayAddress: `http://${ip}:${relayPort}`,
      dataCentre,
    };
  }

  /** Writes the registration of this entry VM until it is stored. */
  private startRegistration(): void {
    const {node, tasks} = this.options;
    const member = this.getOwnMember();
    const key = `${entryPrefix}${member.daemon}`;
    tasks.run('register', async (signal) => {
      while (!signal.aborted) {
        try {
          await putOwnObject(node.platform.store, key, JSON.stringify(member));
          return;
        } catch (error) {
          tasks.logFailure('register', error);
          await node.clock.sleep(registrationRetryMs, signal);
        }
      }
    });
  }

  /** Removes the registration of an entry VM; one that lives writes it again. */
  private removeMember(daemon: DaemonId): void {
    const {node, tasks} = this.options;
    const key = `${entryPrefix}${daemon}`;
    node.platform.store.removeObject(key).catch((error: unknown) => {
      tasks.logFailure('register', error);
    });
  }
}
