/** What surrounds a deployment, as stand-ins start it. */
import type {
  DataCentreId,
  ModelId,
  ServiceId,
  TargetId,
} from '@marigoldpost/common';
import type {EngineRequest} from '@marigoldpost/targets';
import type {EngineModelOptions} from '../engine/engine_model.js';

/** Runners of a service of model engines. */
export interface SiteEngineService {
  readonly kind: 'engine';
  readonly id: ServiceId;
  /** Runners over all data centres, dealt out in turn. */
  readonly count: number;
  readonly models: readonly ModelId[];
  /** Speed, size and cache events. */
  readonly model?: Partial<EngineModelOptions>;
  readonly checksFencing?: boolean;
  /** Gets the length of an answer; by default the prompt's digest decides. */
  readonly getOutputTokens?: (request: EngineRequest) => number | undefined;
}

/** Instances of a plain service. */
export interface SitePlainService {
  readonly kind: 'plain';
  readonly id: ServiceId;
  /** Instances over all data centres, dealt out in turn. */
  readonly count: number;
  readonly latencyMs?: number;
  readonly deduplicatesByKey?: boolean;
}

/** A service. */
export type SiteService = SiteEngineService | SitePlainService;

/** A deployment's surroundings. */
export interface SiteDescription {
  readonly dataCentres: readonly DataCentreId[];
  readonly services: readonly SiteService[];
  /** Lag of the VM list, in milliseconds. */
  readonly vmLagMs?: number;
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
  /** Fetches that the weight store serves a second. */
  readonly fetchesPerSecond?: number;
  /** Determines which cache events are lost. */
  readonly seed: number;
}

/** A target that a site has started. */
export interface SiteTarget {
  readonly id: TargetId;
  readonly kind: SiteService['kind'];
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
}
