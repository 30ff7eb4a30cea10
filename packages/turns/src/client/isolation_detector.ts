/** Detects the isolation of the own data centre, and tells callers when to return. */
import type {Clock, DataCentreId} from '@marigoldpost/common';
import type {StoreProbe} from '../objects/store_probe.js';
import type {ArchivePool} from './archive_pool.js';

/**
 * Retry delay sent to callers while some archives are unreachable. Network
 * outages last for seconds; callers wait at most a third of their deadline,
 * which is about 4 s.
 */
const unreachableArchiveRetryMs = 1200;
/** Retry delay while another entry VM may be able to serve the call at once. */
const otherEntryRetryMs = 50;

/** Archives, object API and balancer of an entry VM. */
export interface IsolationDetectorOptions {
  readonly pool: ArchivePool;
  readonly probe: Pick<StoreProbe, 'hasFailed'>;
  readonly clock: Clock;
  readonly ownDataCentre: DataCentreId;
  /** Archives that make a turn durable. */
  readonly replicaCount: number;
  /** Time after which the balancer sends clients of a VM that is not ready elsewhere. */
  readonly balancerNoticeMs: number;
}

/** Tells whether this VM can make no turn durable. */
export class IsolationDetector {
  /** When the isolation was detected; `undefined` while there is none. */
  private isolatedAtMs: number | undefined;

  private constructor(private readonly options: IsolationDetectorOptions) {}

  /**
   * Creates a detector that has not checked yet.
   * @param options - Archives and object API.
   */
  static create(options: IsolationDetectorOptions): IsolationDetector {
    return new IsolationDetector(options);
  }

  /** Whether enough archives for a durable turn are reachable. */
  get hasEnoughArchives(): boolean {
    const {pool, replicaCount} = this.options;
    const reachable = pool.getClients().filter(({isReachable}) => isReachable);
    return reachable.length >= replicaCount;
  }

  /**
   * Checks whether the data centre seems to be isolated: too few archives are
   * reachable, none of them elsewhere, and the object API does not reply either.
   */
  checkIsolation(): boolean {
    const {pool, probe, clock, ownDataCentre} = this.options;
    const elsewhere = pool
      .getClients()
      .filter(({dataCentre}) => dataCentre !== ownDataCentre);
    const isIsolated =
      !this.hasEnoughArchives &&
      probe.hasFailed &&
      elsewhere.length > 0 &&
      elsewhere.every(({isReachable}) => !isReachable);
    if (!isIsolated) this.isolatedAtMs = undefined;
    else this.isolatedAtMs ??= clock.nowMs();
    return isIsolated;
  }

  /**
   * Gets the retry delay, in milliseconds, for a call that needs an archive that
   * is unreachable. While the data centre is isolated, a new connection reaches
   * another one once the balancer has noticed that this VM is not ready.
   */
  getRetryAfterMs(): number {
    const {pool, clock, balancerNoticeMs} = this.options;
    this.checkIsolation();
    if (this.isolatedAtMs !== undefined) {
      const noticedAtMs = this.isolatedAtMs + balancerNoticeMs;
      return Math.max(otherEntryRetryMs, noticedAtMs - clock.nowMs());
    }
    return pool.hasReachableArchive
      ? unreachableArchiveRetryMs
      : otherEntryRetryMs;
  }
}
