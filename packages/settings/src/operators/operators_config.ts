/** Validated operators' configuration. */
import type {
  DataCentreId,
  ModelId,
  ServiceId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';

/** Settings of the whole fleet. */
export interface FleetConfig {
  /** Number of partitions of each data centre. */
  readonly partitionsPerDataCentre: number;
  /** Length of a daemon's lease, in milliseconds. */
  readonly leaseMs: number;
  /** Interval of heartbeats to each peer, in milliseconds. */
  readonly heartbeatMs: number;
  /** Most bytes of turns that are not yet committed, for each daemon. */
  readonly maxUncommittedBytes: number;
  /** Weighting between latency (0) and wasted cache (1). */
  readonly cacheWeight: number;
  /** Number of target crashes after which a request is quarantined. */
  readonly quarantineAfterDeaths: number;
}

/** Region and state of one data centre. */
export interface DataCentreConfig {
  readonly id: DataCentreId;
  readonly region: string;
  /** Marked as down, so that other data centres may take over its programs. */
  readonly isDown: boolean;
}

/** Limits of a service or team; absent fields mean no limit. */
export interface LimitConfig {
  /** Most requests in flight over all daemons. */
  readonly maxInFlight?: number;
  /** Most requests a second over all daemons. */
  readonly requestsPerSecond?: number;
  /** Most generated tokens a second over all daemons. */
  readonly tokensPerSecond?: number;
}

/** A target that the configuration lists. */
export interface TargetConfig {
  readonly id: TargetId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
}

/** Configuration that all kinds of services share. */
interface ServiceConfigBase {
  readonly id: ServiceId;
  /** Targets that the configuration lists; discovered ones are not included. */
  readonly targets: readonly TargetConfig[];
  /** VMs whose names start with this prefix are targets. */
  readonly discoverPrefix?: string;
  readonly dependsOn: readonly ServiceId[];
  readonly limit: LimitConfig;
  /** Share of the limit for each data centre; the shares add up to 1. */
  readonly limitShares: ReadonlyMap<DataCentreId, number>;
  /** Timeout of one request, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether targets reject orders with an outdated fencing number. */
  readonly checksFencing: boolean;
}

/** A service whose targets are model engines. */
export interface EngineServiceConfig extends ServiceConfigBase {
  readonly kind: 'engine';
  readonly models: readonly ModelId[];
  /** Whether a stream is kept for resumption after its caller disconnects. */
  readonly keepsAbandonedStreams: boolean;
}

/** A service whose targets are not model engines. */
export interface PlainServiceConfig extends ServiceConfigBase {
  readonly kind: 'plain';
  /** Whether requests are idempotent, so that they may run twice. */
  readonly isIdempotent: boolean;
  /** Whether the service itself deduplicates by `Idempotency-Key`. */
  readonly deduplicatesByKey: boolean;
}

/** A service of either kind; `kind` tells them apart. */
export type ServiceConfig = EngineServiceConfig | PlainServiceConfig;

/** Priority class of a team's calls in the queue, most urgent first. */
export type CallClass = 'immediate' | 'normal' | 'batch';

/** Limits on the resources of one program. */
export interface BudgetConfig {
  readonly maxTokens: number;
  readonly maxCalls: number;
  /** Time since the program's first call, in milliseconds. */
  readonly maxWallMs: number;
}

/** Approval, services, limits and budget of a calling team. */
export interface TeamConfig {
  readonly id: TeamId;
  readonly isApproved: boolean;
  /** SHA-256 digest of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  readonly services: readonly ServiceId[];
  /** Whether the approval includes the dependencies of `services`. */
  readonly includesDependencies: boolean;
  readonly callClass: CallClass;
  readonly limit: LimitConfig;
  /** Default budget of a program, and the largest that it may request. */
  readonly budget: BudgetConfig;
}

/** An operator who may change the configuration. */
export interface OperatorConfig {
  readonly name: string;
  readonly keyHashes: readonly string[];
}

/** The operators' configuration, with defaults applied. */
export interface OperatorsConfig {
  readonly fleet: FleetConfig;
  readonly dataCentres: ReadonlyMap<DataCentreId, DataCentreConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  readonly teams: ReadonlyMap<TeamId, TeamConfig>;
  readonly operators: ReadonlyMap<string, OperatorConfig>;
}
