/** The operators' text after it has been checked. */
import type {
  DataCentreId,
  ModelId,
  ServiceId,
  TargetId,
  TeamId,
} from '@marigoldpost/common';

/** Sizes and terms that hold for the whole fleet. */
export interface FleetConfig {
  /** Partitions of each data centre. */
  readonly partitionsPerDataCentre: number;
  /** Length of a daemon's lease, in milliseconds. */
  readonly leaseMs: number;
  /** Interval of heartbeats to each peer, in milliseconds. */
  readonly heartbeatMs: number;
  /** How long turns may wait uncommitted, in bytes for each daemon. */
  readonly maxUncommittedBytes: number;
  /** Weight between latency (0) and wasted cache (1). */
  readonly cacheWeight: number;
  /** Deaths of targets after which a request is quarantined. */
  readonly quarantineAfterDeaths: number;
}

/** One data centre. */
export interface DataCentreConfig {
  readonly id: DataCentreId;
  readonly region: string;
  /** A data centre marked down may be taken over by the others. */
  readonly isDown: boolean;
}

/** A limit of an owner; absent fields do not limit. */
export interface LimitConfig {
  /** Most requests in flight over all daemons. */
  readonly maxInFlight?: number;
  /** Most requests a second over all daemons. */
  readonly requestsPerSecond?: number;
  /** Most generated tokens a second over all daemons. */
  readonly tokensPerSecond?: number;
}

/** A target that the text names. */
export interface TargetConfig {
  readonly id: TargetId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
}

/** What services of every kind have. */
interface ServiceConfigBase {
  readonly id: ServiceId;
  /** Targets named in the text; none when `discoverPrefix` finds them. */
  readonly targets: readonly TargetConfig[];
  /** VMs whose name starts with this are targets. */
  readonly discoverPrefix?: string;
  readonly dependsOn: readonly ServiceId[];
  readonly limit: LimitConfig;
  /** Share of the limit for each data centre; the shares add up to 1. */
  readonly limitShares: ReadonlyMap<DataCentreId, number>;
  /** Longest time for one request, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether targets refuse orders with an old fencing number. */
  readonly checksFencing: boolean;
}

/** A service of model engines. */
export interface EngineServiceConfig extends ServiceConfigBase {
  readonly kind: 'engine';
  readonly models: readonly ModelId[];
  /** Whether a stream whose caller went away is kept for resumption. */
  readonly keepsAbandonedStreams: boolean;
}

/** A plain service. */
export interface PlainServiceConfig extends ServiceConfigBase {
  readonly kind: 'plain';
  /** Whether a request may run twice without harm. */
  readonly isIdempotent: boolean;
  /** Whether the service itself runs a key once. */
  readonly deduplicatesByKey: boolean;
}

/** A service. */
export type ServiceConfig = EngineServiceConfig | PlainServiceConfig;

/** Class of a team's calls in the queue, most urgent first. */
export type CallClass = 'immediate' | 'normal' | 'batch';

/** Most that one program may use. */
export interface BudgetConfig {
  readonly maxTokens: number;
  readonly maxCalls: number;
  /** From the program's first call, in milliseconds. */
  readonly maxWallMs: number;
}

/** A calling team. */
export interface TeamConfig {
  readonly id: TeamId;
  readonly isApproved: boolean;
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  readonly services: readonly ServiceId[];
  /** Approval reaches the dependencies of `services` too. */
  readonly includesDependencies: boolean;
  readonly callClass: CallClass;
  readonly limit: LimitConfig;
  /** Budget of a program that asks for none, and the most it may ask for. */
  readonly budget: BudgetConfig;
}

/** An operator who may change the text. */
export interface OperatorConfig {
  readonly name: string;
  readonly keyHashes: readonly string[];
}

/** The whole text. */
export interface OperatorsConfig {
  readonly fleet: FleetConfig;
  readonly dataCentres: ReadonlyMap<DataCentreId, DataCentreConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  readonly teams: ReadonlyMap<TeamId, TeamConfig>;
  readonly operators: ReadonlyMap<string, OperatorConfig>;
}
