/**
 * What the other daemons have in flight at the targets. Load pattern: many small
 * entry VMs before few targets, so that the own requests at a target tell almost
 * nothing of its load.
 */
import type {DataCentreId, TargetId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';

/** Time after which a report is no longer used. */
const expiryMs = 2000;

/** Requests of one daemon, or of several, at one target. */
export interface TargetLoad {
  readonly target: TargetId;
  /** Requests in flight. */
  readonly requests: number;
  /** Expected work that they have left. */
  readonly workMs: number;
  /** Sum and number of latencies relative to those of the target's peers. */
  readonly latencySum: number;
  readonly latencyCount: number;
}

/** Load of a target by the other daemons. */
export interface OtherLoad {
  readonly requests: number;
  readonly workMs: number;
  /** Latency relative to the peers; `undefined` without samples. */
  readonly latencyRatio: number | undefined;
  readonly ageMs: number;
}

interface DataCentreLoads {
  readonly reportedAtMs: number;
  readonly loads: ReadonlyMap<TargetId, TargetLoad>;
}

/** Last reports of the targets of each data centre. */
export class SharedLoads {
  private readonly reports = new Map<DataCentreId, DataCentreLoads>();

  private constructor() {}

  /** Creates loads without reports. */
  static create(): SharedLoads {
    return new SharedLoads();
  }

  /**
   * Replaces the report of a data centre's targets.
   * @param dataCentre - Data centre of the targets.
   * @param loads - Sums of the other daemons; targets without requests or samples
   *   may be missing.
   * @param reportedAtMs - Time on the daemon's clock at which they held.
   */
  record(
    dataCentre: DataCentreId,
    loads: readonly TargetLoad[],
    reportedAtMs: number,
  ): void {
    const byTarget = new Map(loads.map((load) => [load.target, load]));
    this.reports.set(dataCentre, {reportedAtMs, loads: byTarget});
  }

  /**
   * Gets the load of a target by the other daemons; `undefined` without a recent
   * report.
   * @param entry - Registry entry of the target.
   * @param nowMs - Time on the daemon's clock.
   */
  get({id, dataCentre}: TargetEntry, nowMs: number): OtherLoad | undefined {
    const report = this.reports.get(dataCentre);
    if (report === undefined) return undefined;
    const ageMs = nowMs - report.reportedAtMs;
    if (ageMs > expiryMs) return undefined;
    const load = report.loads.get(id);
    if (load === undefined) {
      return {requests: 0, workMs: 0, latencyRatio: undefined, ageMs};
    }
    const {requests, workMs, latencySum, latencyCount} = load;
    const latencyRatio =
      latencyCount > 0 ? latencySum / latencyCount : undefined;
    return {requests, workMs, latencyRatio, ageMs};
  }
}
