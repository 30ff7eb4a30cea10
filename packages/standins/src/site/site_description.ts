/** Description of the stand-ins that a deployment needs. */
import type {
  DataCentreId,
  ModelId,
  ServiceId,
  TargetId,
} from '@marigoldpost/common';
import type {EngineRequest} from '@marigoldpost/targets';
import type {EngineModelOptions} from '../engine/engine_model.js';

/** A service of model engines. */
export interface SiteEngineService {
  readonly kind: 'engine';
  readonly id: ServiceId;
  /** Number of engines, assigned to the data centres round-robin. */
  readonly count: number;
  readonly models: readonly ModelId[];
  /** Overrides of `defaultEngineModelOptions`. */
  readonly model?: Partial<EngineModelOptions>;
  /** Whether orders with an outdated fencing number are rejected. */
  readonly checksFencing?: boolean;
  /** Gets an answer's length in tokens; default: derived from a digest. */
  readonly getOutputTokens?: (request: EngineRequest) => number | undefined;
}

/** A plain service. */
export interface SitePlainService {
  readonly kind: 'plain';
  readonly id: ServiceId;
  /** Number of instances, assigned to the data centres round-robin. */
  readonly count: number;
  /** Duration of a request, in milliseconds; default: 0. */
  readonly latencyMs?: number;
  /** Whether a repeated idempotency key gets its first response again. */
  readonly deduplicatesByKey?: boolean;
}

/** A service, discriminated by `kind`. */
export type SiteService = SiteEngineService | SitePlainService;

/** Data centres, services and rate limits of a site. */
export interface SiteDescription {
  readonly dataCentres: readonly DataCentreId[];
  readonly services: readonly SiteService[];
  /** Delay of the VM list, in milliseconds; default: 500. */
  readonly vmLagMs?: number;
  /** Rate limit of reads from the object API; default: unlimited. */
  readonly readsPerSecond?: number;
  /** Rate limit of writes to the object API; default: unlimited. */
  readonly writesPerSecond?: number;
  /** Rate limit of the weight store; default: unlimited. */
  readonly fetchesPerSecond?: number;
  /** Seed that determines which cache events are lost. */
  readonly seed: number;
}

/** Target that a site has started. */
export interface SiteTarget {
  readonly id: TargetId;
  readonly kind: SiteService['kind'];
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
}
