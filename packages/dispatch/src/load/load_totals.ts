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

interface Latency {
  sum: number;
  count: number;
  updatedAtMs: number;
}

/** Latest reports of all daemons, and their sums by target. */
export class LoadTotals {
  private readonly reports = new Map<DaemonId, Report>();
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
    this.reports.set(daemon, {receivedAtMs: nowMs, loads: kept});
    this.removeExpired(nowMs);
    const sums = new Map<TargetId, {requests: number; workMs: number}>();
    for (const [other, report] of this.reports) {
      if (other === daemon) continue;
      addLoads(sums, report.loads);
    }
    const targets = new Set([...sums.keys(), ...this.latencies.keys()]);
    return [...targets].map((target) => ({
      target,
      ...(sums.get(target) ?? {requests: 0, workMs: 0}),
      ...this.getLatency(target, nowMs),
    }));
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
      if (nowMs - receivedAtMs > reportExpiryMs) this.reports.delete(daemon);
    }
    for (const [target, {updatedAtMs}] of this.latencies) {
      const isForgotten = nowMs - updatedAtMs > latencyHalfLifeMs * 4;
      if (isForgotten) this.latencies.delete(target);
    }
  }
}

function addLoads(
  sums: Map<TargetId, {requests: number; workMs: number}>,
  loads: readonly TargetLoad[],
): void {
  for (const {target, requests, workMs} of loads) {
    const sum = sums.get(target);
    if (sum === undefined) sums.set(target, {requests, workMs});
    else {
      sum.requests += requests;
      sum.workMs += workMs;
    }
  }
}

function getKeptShare(elapsedMs: number): number {
  return 2 ** (-elapsedMs / latencyHalfLifeMs);
}
