/** Targets as the rest of a daemon sees them. */
import type {
  CallId,
  DataCentreId,
  Fingerprint,
  ModelId,
  ServiceId,
  TargetId,
} from '@marigoldpost/common';
import type {CacheEvent, EngineLoad} from '../engine/engine_client.js';

/**
 * What a target may get: `open` anything, `probing` one request at a time,
 * `unhealthy` nothing for now, `leaving` nothing new any more.
 */
export type TargetState = 'open' | 'probing' | 'unhealthy' | 'leaving';

/** One target. */
export interface TargetView {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly kind: 'engine' | 'plain';
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly state: TargetState;
  /** Whether new work may go there now. */
  readonly isOpen: boolean;
  /** Models by the last report; those of the text before the first one. */
  readonly models: readonly ModelId[];
  /** Whether the target refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Requests of this daemon that run there. */
  readonly inFlight: number;
  /** The last report of an engine. */
  readonly load?: EngineLoad;
  /** Time since the last report, in milliseconds. */
  readonly loadAgeMs?: number;
}

/** A request in flight at a target. */
export interface TargetWork {
  readonly target: TargetId;
  readonly callId: CallId;
  readonly fingerprint: Fingerprint;
}

/** A target's process ended while requests ran on it. */
export interface TargetDeath {
  readonly target: TargetId;
  /** Requests of this daemon that it held. */
  readonly fingerprints: readonly Fingerprint[];
}

/** Follows a registry; no method may throw. */
export interface TargetListener {
  /**
   * Some target appeared, went, or changed its state or models.
   * @param targets - Every target.
   */
  onTargetsChanged?(targets: readonly TargetView[]): void;
  /**
   * An engine reported its load.
   * @param target - The engine.
   * @param load - Its report.
   */
  onLoad?(target: TargetId, load: EngineLoad): void;
  /**
   * An engine reported cache events. A `cleared` event stands where the
   * engine restarted; lost events leave a gap in the sequence numbers.
   * @param target - The engine.
   * @param events - Events in order.
   */
  onCacheEvents?(target: TargetId, events: readonly CacheEvent[]): void;
  /**
   * A target died.
   * @param death - The target and what it held.
   */
  onTargetDied?(death: TargetDeath): void;
}
