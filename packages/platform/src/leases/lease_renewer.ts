/** Renewal of a daemon's own lease. */
import {
  isErrorOfKind,
  type Clock,
  type DaemonId,
  type DataCentreId,
  type Random,
  type Timer,
} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from '../store/object_store.js';
import {WriteResolver} from '../store/write_resolver.js';
import {getLeaseKey, parseLease, type Lease} from './lease.js';

const renewalsPerLease = 3;
const retriesPerInterval = 4;

/** Identity of the daemon, its store, and the length of its lease. */
export interface LeaseRenewerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for requests of peers. */
  readonly address: string;
  /** Increases with each start of the daemon. */
  readonly incarnation: number;
  /** Gets the currently configured length of leases, in milliseconds. */
  readonly getLeaseMs: () => number;
  /** Called once when a newer incarnation of this daemon holds the lease. */
  readonly onReplaced?: () => void;
}

/**
 * Acquires and renews a daemon's lease. The lease runs from the time at which
 * the last successful renewal was sent, by the daemon's own monotonic clock.
 */
export class LeaseRenewer {
  private readonly resolver: WriteResolver;
  private readonly key: string;
  private version: number | undefined;
  private renewals = 0;
  private renewedAtMs: number | undefined;
  private timer: Timer | undefined;
  private renewal: Promise<void> | undefined;
  private isStopped = false;
  private isPlatformReachable = false;

  private constructor(private readonly options: LeaseRenewerOptions) {
    this.resolver = WriteResolver.create(options.store);
    this.key = getLeaseKey(options.dataCentre, options.daemon);
  }

  /**
   * Creates an instance that does not hold the lease; `start` acquires it.
   * @param options - Daemon, store and length of the lease.
   */
  static create(options: LeaseRenewerOptions): LeaseRenewer {
    return new LeaseRenewer(options);
  }

  /**
   * Makes one attempt to acquire the lease. Renewals and retries then continue
   * in the background until `stop` or `release`.
   */
  async start(): Promise<void> {
    await this.renew();
  }

  /** Whether the lease is held and has not expired by the daemon's clock. */
  isHeld(): boolean {
    if (this.renewedAtMs === undefined || this.isStopped) return false;
    const ageMs = this.options.clock.nowMs() - this.renewedAtMs;
    return ageMs < this.options.getLeaseMs();
  }

  /** Whether the last renewal reached the platform, successful or not. */
  reachesPlatform(): boolean {
    return this.isPlatformReachable;
  }

  /**
   * Stops renewing and removes the lease, so that other daemons need not wait
   * until it lapses.
   */
  async release(): Promise<void> {
    this.stop();
    await this.renewal;
    if (this.version === undefined) return;
    try {
      await this.options.store.removeObject(this.key, this.version);
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    }
  }

  /** Stops renewing; for observers the lease lapses after its length. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private renew(): Promise<void> {
    this.renewal = this.tryRenew().then((isRenewed) => {
      if (!this.isStopped) this.schedule(isRenewed);
    });
    return this.renewal;
  }

  private schedule(isRenewed: boolean): void {
    const {clock, random, getLeaseMs} = this.options;
    const intervalMs = getLeaseMs() / renewalsPerLease;
    const delayMs = isRenewed
      ? intervalMs
      : (intervalMs / retriesPerInterval) * (0.5 + random.next());
    this.timer = clock.setTimer(delayMs, () => void this.renew());
  }

  private async tryRenew(): Promise<boolean> {
    const sentAtMs = this.options.clock.nowMs();
    try {
      const isRenewed = await this.write();
      this.isPlatformReachable = true;
      if (isRenewed) this.renewedAtMs = sentAtMs;
      return isRenewed;
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
      this.isPlatformReachable = false;
      return false;
    }
  }

  private async write(): Promise<boolean> {
    const {version} = this;
    this.renewals += 1;
    const value = JSON.stringify(this.createLease());
    const result =
      version === undefined
        ? await this.resolver.createObject(this.key, value)
        : await this.resolver.updateObject(this.key, value, version);
    if (result.isApplied) this.version = result.object?.version;
    else this.handleConflict(result.object);
    return result.isApplied;
  }

  /**
   * Stops if a newer incarnation of this daemon holds the lease; otherwise
   * adopts the object's version, so that the next renewal replaces it.
   */
  private handleConflict(object: StoredObject | undefined): void {
    this.version = object?.version;
    if (object === undefined) return;
    const {incarnation} = parseLease(object.value);
    if (incarnation <= this.options.incarnation) return;
    this.stop();
    this.options.onReplaced?.();
  }

  private createLease(): Lease {
    const {daemon, dataCentre, address, incarnation} = this.options;
    const {renewals} = this;
    return {daemon, dataCentre, address, incarnation, renewals};
  }
}
