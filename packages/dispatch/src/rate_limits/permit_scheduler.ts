/** Schedules of the limited targets that this daemon reserves permits for. */
import type {Clock, DaemonId} from '@marigoldpost/common';
import {PermitSchedule, type ReservedPermits} from './permit_schedule.js';
import type {TargetInstance} from './target_limits.js';

/** A daemon that has not asked for this long no longer competes for permits. */
const requesterExpiryMs = 2000;
/** A target without reservations for this long loses its schedule. */
const scheduleExpiryMs = 60_000;
/** A target that states 0 still gets a request now and then, to hear its end. */
const minLimitPerS = 0.1;

/** Permits that one daemon asks for. */
export interface ScheduleRequest extends TargetInstance {
  readonly requester: DaemonId;
  /** Part of the target's limit that this daemon may hand out. */
  readonly limitPerS: number;
  readonly count: number;
  readonly horizonMs: number;
}

/** Reserved permits, and how many daemons compete for them. */
export interface ScheduledPermits extends ReservedPermits {
  readonly requesters: number;
}

interface ScheduledTarget {
  readonly schedule: PermitSchedule;
  /** When each daemon last asked. */
  readonly requesters: Map<DaemonId, number>;
  lastRequestMs: number;
}

/** Hands out permits; keeps one schedule per target instance. */
export class PermitScheduler {
  private readonly targets = new Map<string, ScheduledTarget>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a scheduler without targets.
   * @param clock - Clock of the schedules; must be steady.
   */
  static create(clock: Clock): PermitScheduler {
    return new PermitScheduler(clock);
  }

  /**
   * Reserves permits.
   * @param request - Target, limit and number of permits.
   */
  reserve({
    requester,
    target,
    startedAtMs,
    limitPerS,
    count,
    horizonMs,
  }: ScheduleRequest): ScheduledPermits {
    const nowMs = this.clock.nowMs();
    this.removeExpired(nowMs);
    const scheduled = this.getOrAdd(`${target} ${startedAtMs}`, nowMs);
    scheduled.lastRequestMs = nowMs;
    scheduled.requesters.set(requester, nowMs);
    const reserved = scheduled.schedule.reserve({
      nowMs,
      limitPerS: Math.max(minLimitPerS, limitPerS),
      count,
      horizonMs,
    });
    return {...reserved, requesters: scheduled.requesters.size};
  }

  private getOrAdd(key: string, nowMs: number): ScheduledTarget {
    const existing = this.targets.get(key);
    if (existing !== undefined) return existing;
    const added = {
      schedule: PermitSchedule.create(),
      requesters: new Map<DaemonId, number>(),
      lastRequestMs: nowMs,
    };
    this.targets.set(key, added);
    return added;
  }

  private removeExpired(nowMs: number): void {
    for (const [key, {requesters, lastRequestMs}] of this.targets) {
      if (nowMs - lastRequestMs > scheduleExpiryMs) this.targets.delete(key);
      for (const [requester, atMs] of requesters) {
        if (nowMs - atMs > requesterExpiryMs) requesters.delete(requester);
      }
    }
  }
}
