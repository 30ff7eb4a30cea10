/** Status of the fleet and its programs, for operators. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  type Fingerprint,
  MarigoldpostError,
  type ProgramId,
} from '@marigoldpost/common';
import {
  type FleetStatus,
  type MemberStatus,
  type PartitionStatus,
  type PlatformStatus,
  type QuarantinedRequest,
  type ServiceStatus,
  StatusSource,
  type TargetStatus,
  type TeamStatus,
} from '@marigoldpost/operations';
import type {FleetMember} from '@marigoldpost/platform';
import type {ProgramHistory, ProgramView} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {TargetView} from '@marigoldpost/targets';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {DaemonCore} from '../daemon_core.js';
import type {ProgramOperation} from '../programs/program_operation.js';

/** The daemon whose view of the fleet is shown. */
export interface FleetStatusSourceOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly core: DaemonCore;
  readonly logger: EventLogger;
}

/** Status of the fleet as one daemon knows it. */
export class FleetStatusSource extends StatusSource {
  private constructor(private readonly options: FleetStatusSourceOptions) {
    super();
  }

  /**
   * Creates a source.
   * @param options - The daemon whose view of the fleet is shown.
   */
  static create(options: FleetStatusSourceOptions): FleetStatusSource {
    return new FleetStatusSource(options);
  }

  override getConfig(): OperatorsConfig | undefined {
    return this.options.core.getConfig();
  }

  override getStatus(): FleetStatus {
    const {daemon, dataCentre, clock, core} = this.options;
    const own = core.getOwnState();
    const targets = core.registry.getTargets().map(toTargetStatus);
    return {
      daemon,
      dataCentre,
      atMs: clock.wallTimeMs(),
      isReady: core.isReady(),
      isDraining: own.isDraining,
      platform: this.getPlatform(),
      configVersion: own.configVersion,
      configHash: own.configHash,
      members: this.getMembers(),
      partitions: this.getPartitions(),
      targets,
      services: this.getServices(targets),
      teams: this.getTeams(),
      quarantined: this.getQuarantined(),
    };
  }

  override getProgram(program: ProgramId): Promise<ProgramView> {
    return this.getView({kind: 'view', program});
  }

  override async getHistory(program: ProgramId): Promise<ProgramHistory> {
    const {operator} = this.options.core;
    const {history} = await operator.run({kind: 'history', program});
    if (history !== undefined) return history;
    const message = `operation "history" on program "${program}" returned no result`;
    throw MarigoldpostError.create('internal', message);
  }

  override endProgram(program: ProgramId): Promise<ProgramView> {
    return this.getView({kind: 'end', program});
  }

  override async liftQuarantine(fingerprint: Fingerprint): Promise<void> {
    const {core} = this.options;
    core.quarantine.lift(fingerprint);
    this.options.logger.log('quarantine_lifted', {fingerprint});
    core.membership.announceChange();
  }

  private async getView(operation: ProgramOperation): Promise<ProgramView> {
    const {view} = await this.options.core.operator.run(operation);
    if (view !== undefined) return view;
    const message = `operation "${operation.kind}" on program "${operation.program}" returned no result`;
    throw MarigoldpostError.create('internal', message);
  }

  private getPlatform(): PlatformStatus {
    const {store, manager} = this.options.core;
    let uncommittedBytes = 0;
    for (const {partition} of manager.getPartitions()) {
      const status = manager.getProgramManager(partition)?.getStatus();
      uncommittedBytes += status?.uncommittedBytes ?? 0;
    }
    const isReachable = store.reachesPlatform();
    return {isReachable, uncommittedBytes, ageMs: store.getLastCallAgeMs()};
  }

  private getMembers(): MemberStatus[] {
    const {core, daemon, dataCentre} = this.options;
    const {configVersion, configHash, isDraining} = core.getOwnState();
    const own: MemberStatus = {
      daemon,
      dataCentre,
      state: 'alive',
      isDraining,
      reachesPlatform: core.store.reachesPlatform(),
      configVersion,
      configHash,
      ageMs: 0,
    };
    return [own, ...core.membership.getMembers().map(toMemberStatus)];
  }

  private getPartitions(): PartitionStatus[] {
    const {core, daemon} = this.options;
    const own = core.manager
      .getPartitions()
      .map((held) => ({...held, holder: daemon, ageMs: 0}));
    const others = core.membership.getMembers().flatMap((member) =>
      member.partitions.map((held) => ({
        ...held,
        holder: member.daemon,
        ageMs: member.ageMs,
      })),
    );
    return keepNewestEpochs([...own, ...others]);
  }

  private getServices(targets: readonly TargetStatus[]): ServiceStatus[] {
    const {core} = this.options;
    const open = targets.filter(({state}) => state === 'open');
    const available = new Set(open.map(({service}) => service));
    const services = [...(core.getConfig()?.services.values() ?? [])];
    return services.map(({id, kind, dependsOn, limit}) => ({
      service: id,
      kind,
      dependsOn,
      isAvailable: available.has(id),
      ...core.runner.countCalls(({service}) => service === id),
      maxInFlight: limit.maxInFlight,
    }));
  }

  private getTeams(): TeamStatus[] {
    const {core} = this.options;
    const teams = [...(core.getConfig()?.teams.values() ?? [])];
    return teams.map(({id, isApproved, limit}) => ({
      team: id,
      isApproved,
      inFlight: core.runner.countCalls(({team}) => team === id).inFlight,
      maxInFlight: limit.maxInFlight,
    }));
  }

  private getQuarantined(): QuarantinedRequest[] {
    const {quarantine} = this.options.core;
    return quarantine.getQuarantined().map((fingerprint) => ({
      fingerprint,
      targets: quarantine.getDeadTargets(fingerprint),
      lastDeathAtMs: quarantine.getLastDeathMs(fingerprint),
    }));
  }
}

function toMemberStatus(member: FleetMember): MemberStatus {
  const {daemon, dataCentre, state, isDraining, reachesPlatform} = member;
  return {
    daemon,
    dataCentre,
    state,
    isDraining,
    reachesPlatform,
    configVersion: member.configVersion ?? 0,
    configHash: '',
    ageMs: member.ageMs,
  };
}

function toTargetStatus(view: TargetView): TargetStatus {
  const {id, service, dataCentre, models, load, state} = view;
  return {
    target: id,
    service,
    dataCentre,
    state: state === 'probing' ? 'unhealthy' : state,
    models,
    inFlight: view.inFlight,
    running: load?.running,
    waiting: load?.waiting,
    usedBlocks: load?.usedBlocks,
    totalBlocks: load?.totalBlocks,
    ageMs: view.loadAgeMs ?? 0,
  };
}

/** Keeps the entry with the newest epoch of each partition, sorted by id. */
function keepNewestEpochs(
  partitions: readonly PartitionStatus[],
): PartitionStatus[] {
  const newest = new Map<string, PartitionStatus>();
  for (const held of partitions) {
    const known = newest.get(held.partition);
    if (known === undefined || known.epoch < held.epoch) {
      newest.set(held.partition, held);
    }
  }
  return [...newest.values()].sort((left, right) =>
    left.partition < right.partition ? -1 : 1,
  );
}
