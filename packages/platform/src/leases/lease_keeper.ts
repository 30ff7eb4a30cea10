/** Keeps one daemon's own lease. */
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
const retriesPerRenewal = 4;

/** What a lease keeper needs. */
export interface LeaseKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for peers. */
  readonly address: string;
  /** Grows with each start of the daemon. */
  readonly incarnation: number;
  /** Gets the length of the lease in force, in milliseconds. */
  readonly getLeaseMs: () => number;
  /** Called once when a newer start of the same daemon has the lease. */
  readonly onReplaced?: () => void;
}

/**
 * Renews a daemon's lease. The lease counts from when the last successful
 * renewal was sent, by the daemon's own monotonic clock.
 */
export class LeaseKeeper {
  private readonly resolver: WriteResolver;
  private readonly key: string;
  private version: number | undefined;
  private renewals = 0;
  private renewedAtMs: number | undefined;
  private timer: Timer | undefined;
  private renewal: Promise<void> | undefined;
  private isStopped = false;
  private hasReached = false;

  private constructor(private readonly options: LeaseKeeperOptions) {
    this.resolver = WriteResolver.create(options.store);
    this.key = getLeaseKey(options.dataCentre, options.daemon);
  }

  /**
   * Creates a keeper that does not renew yet.
   * @param options - Daemon, store and length of the lease.
   */
  static create(options: LeaseKeeperOptions): LeaseKeeper {
    return new LeaseKeeper(options);
  }

  /** Takes the lease, or goes on trying while the platform is away. */
  async start(): Promise<void> {
    await this.renew();
  }

  /** Whether the lease is held, by the daemon's own clock. */
  isHeld(): boolean {
    if (this.renewedAtMs === undefined || this.isStopped) return false;
    const ageMs = this.options.clock.nowMs() - this.renewedAtMs;
    return ageMs < this.options.getLeaseMs();
  }

  /** Whether the last call to the platform got through. */
  reachesPlatform(): boolean {
    return this.hasReached;
  }

  /** Gives the lease up, so that others need not wait for its end. */
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

  /** Stops to renew; the lease runs out by itself. */
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
      : (intervalMs / retriesPerRenewal) * (0.5 + random.next());
    this.timer = clock.setTimer(delayMs, () => void this.renew());
  }

  private async tryRenew(): Promise<boolean> {
    const sentAtMs = this.options.clock.nowMs();
    try {
      const isRenewed = await this.write();
      this.hasReached = true;
      if (isRenewed) this.renewedAtMs = sentAtMs;
      return isRenewed;
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
      this.hasReached = false;
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
    else this.acceptOther(result.object);
    return result.isApplied;
  }

  /** Yields to a newer start of this daemon; replaces an older one's lease. */
  private acceptOther(object: StoredObject | undefined): void {
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
