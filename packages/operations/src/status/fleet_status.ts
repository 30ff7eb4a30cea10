/** Status of the fleet as one daemon knows it; remote facts have an age. */
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

/** Whether this daemon reaches the platform, and what waits for it. */
export interface PlatformStatus {
  readonly isReachable: boolean;
  /** Size of the turns that are not yet stored in the platform, in bytes. */
  readonly uncommittedBytes: number;
  /** Time since the last call to the platform ended, in milliseconds. */
  readonly ageMs: number;
}

/** One daemon of the fleet. */
export interface MemberStatus {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly state: 'alive' | 'suspect' | 'dead';
  readonly isDraining: boolean;
  readonly reachesPlatform: boolean;
  /** Configuration version active on the daemon; 0 if it has none. */
  readonly configVersion: number;
  readonly configHash: string;
  /** Age of the newest information about the daemon, in milliseconds. */
  readonly ageMs: number;
}

/** One partition, with the holder of its newest known epoch. */
export interface PartitionStatus {
  readonly partition: PartitionId;
  readonly holder: DaemonId;
  readonly epoch: Epoch;
  readonly ageMs: number;
}

/** One target, with its state on this daemon and its reported load. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly state: 'open' | 'leaving' | 'unhealthy';
  readonly models: readonly ModelId[];
  /** Maximum number of requests that this daemon keeps in flight there. */
  readonly windowSize?: number;
  /** Requests of this daemon in flight there. */
  readonly inFlight: number;
  /** Load as last reported by the target, which may be outdated. */
  readonly running?: number;
  readonly waiting?: number;
  readonly usedBlocks?: number;
  readonly totalBlocks?: number;
  /** Age of the reported load, in milliseconds. */
  readonly ageMs: number;
}

/** One service, its dependencies and its calls on this daemon. */
export interface ServiceStatus {
  readonly service: ServiceId;
  readonly kind: 'engine' | 'plain';
  readonly dependsOn: readonly ServiceId[];
  readonly isAvailable: boolean;
  /** Calls that this daemon has in flight. */
  readonly inFlight: number;
  /** Calls that wait on this daemon. */
  readonly waiting: number;
  /** Limit of the service's owner for all daemons together. */
  readonly maxInFlight?: number;
}

/** One calling team and its calls on this daemon. */
export interface TeamStatus {
  readonly team: TeamId;
  readonly isApproved: boolean;
  readonly inFlight: number;
  readonly maxInFlight?: number;
}

/** Status of the fleet, its services and teams. */
export interface FleetStatus {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** Wall time of the status, in milliseconds since 1970. */
  readonly atMs: number;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly platform: PlatformStatus;
  /** Configuration version active on this daemon; 0 if there is none. */
  readonly configVersion: number;
  readonly configHash: string;
  /** This daemon, followed by the others. */
  readonly members: readonly MemberStatus[];
  readonly partitions: readonly PartitionStatus[];
  readonly targets: readonly TargetStatus[];
  readonly services: readonly ServiceStatus[];
  readonly teams: readonly TeamStatus[];
  readonly quarantined: readonly QuarantinedRequest[];
}

/** A request that is rejected because targets died while running it. */
export interface QuarantinedRequest {
  readonly fingerprint: Fingerprint;
  /** Targets that died while running it. */
  readonly targets: readonly TargetId[];
  /** Wall time of the last death, in milliseconds since 1970. */
  readonly lastDeathAtMs: number;
}
