/** Public view of the registry's targets and its notifications. */
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
 * Admission state of a target: `open` admits all requests, `probing` one at a
 * time, `unhealthy` none for now, `leaving` no new ones.
 */
export type TargetState = 'open' | 'probing' | 'unhealthy' | 'leaving';

/** Snapshot of one target. */
export interface TargetView {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly kind: 'engine' | 'plain';
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly state: TargetState;
  /** Whether new requests may be sent to it now. */
  readonly isOpen: boolean;
  /** Models in the last load report; before the first, the configured ones. */
  readonly models: readonly ModelId[];
  /** Whether the target rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Number of requests of this daemon in flight there. */
  readonly inFlight: number;
  /** Last load report; only of engines. */
  readonly load?: EngineLoad;
  /** Time since the last load report, in milliseconds. */
  readonly loadAgeMs?: number;
}

/** A request of this daemon in flight at a target. */
export interface TargetWork {
  readonly target: TargetId;
  readonly callId: CallId;
  readonly fingerprint: Fingerprint;
}

/** Death of a target's process while requests were running on it. */
export interface TargetDeath {
  readonly target: TargetId;
  /** Requests of this daemon that were running on it. */
  readonly fingerprints: readonly Fingerprint[];
}

/** Receives a registry's notifications; no method may throw. */
export interface TargetListener {
  /**
   * Called when a target is added or removed, or its state or models change.
   * @param targets - All targets.
   */
  onTargetsChanged?(targets: readonly TargetView[]): void;
  /**
   * Called when an engine reports its load.
   * @param target - Engine that reported.
   * @param load - Load report.
   */
  onLoad?(target: TargetId, load: EngineLoad): void;
  /**
   * Called when an engine reports cache events. A `cleared` event marks a
   * possible restart of the engine; lost events leave a gap in the sequence
   * numbers.
   * @param target - Engine that reported.
   * @param events - Events in order of their sequence numbers.
   */
  onCacheEvents?(target: TargetId, events: readonly CacheEvent[]): void;
  /**
   * Called when a target has died with requests in flight.
   * @param death - Target and the requests that were running on it.
   */
  onTargetDied?(death: TargetDeath): void;
}
