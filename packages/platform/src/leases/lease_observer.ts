/** Detection of lapsed leases of other daemons. */
import type {Clock, DaemonId, DataCentreId} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from '../store/object_store.js';
import {
  getLeasePrefix,
  leaseDriftShare,
  parseLease,
  type Lease,
} from './lease.js';

/** Data centre to observe, its store, and the length of leases. */
export interface LeaseObserverOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** Gets the currently configured length of leases, in milliseconds. */
  readonly getLeaseMs: () => number;
}

interface Observation {
  readonly lease: Lease;
  readonly version: number;
  /** When this version was first read, in monotonic milliseconds. */
  readonly seenAtMs: number;
}

/**
 * Gap between two reads, as a share of the lease length, above which all
 * observations start anew.
 */
const gapShare = 0.5;

/**
 * Observes the leases of one data centre. A lease has lapsed when its version
 * has not changed for its length plus the drift share, by the observer's own
 * clock. After an outage the observation starts anew, because no daemon could
 * renew its lease meanwhile.
 */
export class LeaseObserver {
  private observations = new Map<DaemonId, Observation>();
  private lastSentAtMs: number | undefined;

  private constructor(private readonly options: LeaseObserverOptions) {}

  /**
   * Creates an observer that has not read the leases.
   * @param options - Data centre, store and length of the leases.
   */
  static create(options: LeaseObserverOptions): LeaseObserver {
    return new LeaseObserver(options);
  }

  /** Reads all leases once; throws `store_unavailable`. */
  async observe(): Promise<void> {
    const {clock, dataCentre, store} = this.options;
    const sentAtMs = clock.nowMs();
    const objects = await store.listObjects(getLeasePrefix(dataCentre));
    if (this.hadGap(sentAtMs)) this.observations.clear();
    const seen = objects.map((object) => this.toObservation(object));
    this.observations = new Map(seen.map((item) => [item.lease.daemon, item]));
    this.lastSentAtMs = sentAtMs;
  }

  /**
   * Whether the lease of a daemon has lapsed or does not exist. False until the
   * leases have been read.
   * @param daemon - Daemon of the observed data centre.
   */
  isLapsed(daemon: DaemonId): boolean {
    if (this.lastSentAtMs === undefined) return false;
    const observation = this.observations.get(daemon);
    if (observation === undefined) return true;
    const waitMs = this.options.getLeaseMs() * (1 + leaseDriftShare);
    return this.lastSentAtMs - observation.seenAtMs >= waitMs;
  }

  /** Gets the leases that have not lapsed as of the last read. */
  getLiveLeases(): readonly Lease[] {
    const observations = [...this.observations.values()];
    return observations
      .map(({lease}) => lease)
      .filter(({daemon}) => !this.isLapsed(daemon));
  }

  private hadGap(sentAtMs: number): boolean {
    if (this.lastSentAtMs === undefined) return false;
    const gapMs = sentAtMs - this.lastSentAtMs;
    return gapMs > this.options.getLeaseMs() * gapShare;
  }

  private toObservation(object: StoredObject): Observation {
    const lease = parseLease(object.value);
    const earlier = this.observations.get(lease.daemon);
    if (earlier?.version === object.version) return earlier;
    const seenAtMs = this.options.clock.nowMs();
    return {lease, version: object.version, seenAtMs};
  }
}
