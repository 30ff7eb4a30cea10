/** Sums the loads that many daemons report for the same targets. */
import type {Clock, DaemonId, TargetId} from '@marigoldpost/common';
import type {TargetLoad} from './shared_loads.js';

/** A daemon that has not reported for this long has ended, or is idle. */
const reportExpiryMs = 1500;
/** Time in which half of the weight of latency samples is lost. */
const latencyHalfLifeMs = 3000;
/** Targets that one daemon may report; far more than a data centre has. */
const maxTargets = 2000;
/** Weight of the assumption that a target is as fast as its peers. */
const priorSamples = 2;

interface Report {
  readonly receivedAtMs: number;
  readonly loads: readonly TargetLoad[];
}

/** Load of a target by all daemons that report it. */
interface Sum {
  requests: number;
  workMs: number;
  /** Number of loads in it; without any, it is removed with its rounding errors. */
  loads: number;
}

interface Latency {
  sum: number;
  count: number;
  updatedAtMs: number;
}

/**
 * Latest reports of all daemons, and their sums by target. The sums are kept up to
 * date, since each daemon asks for them with each report: to add up all reports
 * each time would cost the square of the number of daemons.
 */
export class LoadTotals {
  /** In the order in which they were received. */
  private readonly reports = new Map<DaemonId, Report>();
  private readonly sums = new Map<TargetId, Sum>();
  private readonly latencies = new Map<TargetId, Latency>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates totals without reports.
   * @param clock - Clock of the ages of reports.
   */
  static create(clock: Clock): LoadTotals {
    return new LoadTotals(clock);
  }

  /**
   * Replaces the report of a daemon and gets the sums of the others. Latencies
   * are those of all daemons, with a prior of a few samples of 1.
   * @param daemon - Daemon that reports.
   * @param loads - Its requests and samples at the targets.
   */
  exchange(daemon: DaemonId, loads: readonly TargetLoad[]): TargetLoad[] {
    const nowMs = this.clock.nowMs();
    const kept = loads.slice(0, maxTargets);
    for (const load of kept) this.addLatency(load, nowMs);
    this.removeReport(daemon);
    this.reports.set(daemon, {receivedAtMs: nowMs, loads: kept});
    for (const load of kept) addToSum(this.sums, load, 1);
    this.removeExpired(nowMs);
    const own = new Map<TargetId, Sum>();
    for (const load of kept) addToSum(own, load, 1);
    const targets = new Set([...this.sums.keys(), ...this.latencies.keys()]);
    const totals: TargetLoad[] = [];
    for (const target of targets) {
      const sum = getDifference(this.sums.get(target), own.get(target));
      if (sum.loads === 0 && !this.latencies.has(target)) continue;
      const {requests, workMs} = sum;
      const latency = this.getLatency(target, nowMs);
      totals.push({target, requests, workMs, ...latency});
    }
    return totals;
  }

  private removeReport(daemon: DaemonId): void {
    const report = this.reports.get(daemon);
    if (report === undefined) return;
    this.reports.delete(daemon);
    for (const load of report.loads) addToSum(this.sums, load, -1);
  }

  private addLatency(
    {target, latencySum, latencyCount}: TargetLoad,
    nowMs: number,
  ): void {
    if (latencyCount <= 0) return;
    const known = this.latencies.get(target);
    if (known === undefined) {
      const added = {sum: latencySum, count: latencyCount, updatedAtMs: nowMs};
      this.latencies.set(target, added);
      return;
    }
    const kept = getKeptShare(nowMs - known.updatedAtMs);
    known.sum = known.sum * kept + latencySum;
    known.count = known.count * kept + latencyCount;
    known.updatedAtMs = nowMs;
  }

  private getLatency(target: TargetId, nowMs: number) {
    const known = this.latencies.get(target);
    if (known === undefined) return {latencySum: 0, latencyCount: 0};
    const kept = getKeptShare(nowMs - known.updatedAtMs);
    return {
      latencySum: known.sum * kept + priorSamples,
      latencyCount: known.count * kept + priorSamples,
    };
  }

  private removeExpired(nowMs: number): void {
    for (const [daemon, {receivedAtMs}] of this.reports) {
      if (nowMs - receivedAtMs <= reportExpiryMs) break;
      this.removeReport(daemon);
    }
    for (const [target, {updatedAtMs}] of this.latencies) {
      const isForgotten = nowMs - updatedAtMs > latencyHalfLifeMs * 4;
      if (isForgotten) this.latencies.delete(target);
    }
  }
}

function addToSum(
  sums: Map<TargetId, Sum>,
  {target, requests, workMs}: TargetLoad,
  sign: 1 | -1,
): void {
  const sum = sums.get(target) ?? {requests: 0, workMs: 0, loads: 0};
  sum.requests += sign * requests;
  sum.workMs += sign * workMs;
  sum.loads += sign;
  if (sum.loads > 0) sums.set(target, sum);
  else sums.delete(target);
}

/** Gets what is left of a sum without a part of it. */
function getDifference(sum: Sum | undefined, part: Sum | undefined): Sum {
  const loads = (sum?.loads ?? 0) - (part?.loads ?? 0);
  if (sum === undefined || loads <= 0) {
    return {requests: 0, workMs: 0, loads: 0};
  }
  return {
    requests: sum.requests - (part?.requests ?? 0),
    workMs: Math.max(0, sum.workMs - (part?.workMs ?? 0)),
    loads,
  };
}

function getKeptShare(elapsedMs: number): number {
  return 2 ** (-elapsedMs / latencyHalfLifeMs);
}
