/** The fleet as one daemon sees it; every fact carries its age. */
import type {
  DaemonId,
  DataCentreId,
  Epoch,
  Fingerprint,
  ModelId,
  PartitionId,
  ServiceId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';

/** The platform as this daemon sees it. */
export interface PlatformStatus {
  readonly isReachable: boolean;
  /** Turns that wait for the platform, in bytes. */
  readonly uncommittedBytes: number;
  /** Time since the last call to the platform ended, in milliseconds. */
  readonly ageMs: number;
}

/** One daemon. */
export interface MemberStatus {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly state: 'alive' | 'suspect' | 'dead';
  readonly isDraining: boolean;
  readonly reachesPlatform: boolean;
  /** Version of the operators' text in force there; 0 when it has none. */
  readonly configVersion: number;
  readonly configHash: string;
  /** Time since the daemon was last heard of, in milliseconds. */
  readonly ageMs: number;
}

/** One partition. */
export interface PartitionStatus {
  readonly partition: PartitionId;
  readonly holder: DaemonId;
  readonly epoch: Epoch;
  readonly ageMs: number;
}

/** One target. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly state: 'open' | 'leaving' | 'unhealthy';
  readonly models: readonly ModelId[];
  /** Most requests that this daemon keeps in flight there. */
  readonly windowSize?: number;
  /** Requests of this daemon in flight there. */
  readonly inFlight: number;
  /** The target's own, lagging report. */
  readonly running?: number;
  readonly waiting?: number;
  readonly usedBlocks?: number;
  readonly totalBlocks?: number;
  /** Age of that report, in milliseconds. */
  readonly ageMs: number;
}

/** One service and its place in the graph of dependencies. */
export interface ServiceStatus {
  readonly service: ServiceId;
  readonly kind: 'engine' | 'plain';
  readonly dependsOn: readonly ServiceId[];
  readonly isAvailable: boolean;
  /** Calls of this daemon in flight. */
  readonly inFlight: number;
  /** Calls that wait on this daemon. */
  readonly waiting: number;
  /** The owner's limit over all daemons. */
  readonly maxInFlight?: number;
}

/** One calling team. */
export interface TeamStatus {
  readonly team: TeamId;
  readonly isApproved: boolean;
  readonly inFlight: number;
  readonly maxInFlight?: number;
}

/** The whole status. */
export interface FleetStatus {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** Wall time of the status, in milliseconds since 1970. */
  readonly atMs: number;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly platform: PlatformStatus;
  /** Version in force here; 0 when there is none. */
  readonly configVersion: number;
  readonly configHash: string;
  /** This daemon and the others. */
  readonly members: readonly MemberStatus[];
  readonly partitions: readonly PartitionStatus[];
  readonly targets: readonly TargetStatus[];
  readonly services: readonly ServiceStatus[];
  readonly teams: readonly TeamStatus[];
  readonly quarantined: readonly QuarantinedRequest[];
}

/** A request that is not run any more. */
export interface QuarantinedRequest {
  readonly fingerprint: Fingerprint;
  /** Targets that died with it. */
  readonly targets: readonly TargetId[];
  /** Wall time of the last death, in milliseconds since 1970. */
  readonly lastDeathAtMs: number;
}
