/**
 * Rate limits that targets state in their responses. Load pattern: an overloaded
 * target states how many requests per second it takes from all entry VMs
 * together. Most entry VMs hear of that only from others, and one that sends it
 * nothing does not hear of the end of the limit either.
 */
import type {Clock, TargetId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';

/** Time for which the limit of a target that is not listed is kept. */
const unlistedRetentionMs = 60_000;

/** Instance of a target; a restarted target is another instance. */
export interface TargetInstance {
  readonly target: TargetId;
  readonly startedAtMs: number;
}

/** What a response of a target instance said about its limit. */
export interface TargetLimit extends TargetInstance {
  /** Requests per second of all entry VMs; `undefined` without a limit. */
  readonly limitPerS: number | undefined;
  /** When a response last said so, on this daemon's clock. */
  readonly statedAtMs: number;
}

/** A target's response, as far as it concerns the target's limit. */
export interface LimitStatement {
  readonly limitPerS: number | undefined;
  /** When the request was sent, on this daemon's clock. */
  readonly sentAtMs: number;
  /** Whether the response surely is the target's own. */
  readonly isSigned: boolean;
}

/** Clock and callback of the limits. */
export interface TargetLimitsOptions {
  readonly clock: Clock;
  /** Called when the limit of a target changes. */
  readonly onChanged: (change: LimitChange) => void;
}

/** A change of the known limit of a target. */
export interface LimitChange {
  readonly limit: TargetLimit;
  readonly previousPerS: number | undefined;
  /** Daemon that reported it; `undefined` for a response of the target. */
  readonly source: string | undefined;
}

interface KnownLimit extends TargetLimit {
  /** Revision of the last change of `limitPerS`. */
  readonly revision: number;
  /** Whether a response to this daemon made the last change. */
  readonly isOwn: boolean;
}

/** Limits of targets by instance; the latest statement is in force. */
export class TargetLimits {
  private readonly limits = new Map<string, KnownLimit>();
  private lastRevision = 0;
  private lastOwnRevision = 0;

  private constructor(private readonly options: TargetLimitsOptions) {}

  /**
   * Creates limits without entries.
   * @param options - Clock and change callback.
   */
  static create(options: TargetLimitsOptions): TargetLimits {
    return new TargetLimits(options);
  }

  /** Increases with each change of a limit. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Revision of the last change that a response to this daemon made. */
  get ownRevision(): number {
    return this.lastOwnRevision;
  }

  /** Number of targets that have a limit. */
  get limitedCount(): number {
    let count = 0;
    for (const {limitPerS} of this.limits.values()) {
      if (limitPerS !== undefined) count += 1;
    }
    return count;
  }

  /**
   * Gets what is known of a target's limit; `undefined` if it never stated one.
   * @param instance - Instance of the target.
   */
  get(instance: TargetInstance): TargetLimit | undefined {
    return this.limits.get(toKey(instance));
  }

  /**
   * Gets the limits that have changed since a revision.
   * @param sinceRevision - Revision that the reader has.
   */
  getChanges(sinceRevision: number): TargetLimit[] {
    return [...this.limits.values()].filter(
      ({revision}) => revision > sinceRevision,
    );
  }

  /**
   * Gets the limits that responses to this daemon have changed.
   * @param sinceRevision - Revision that the reader has.
   */
  getOwnChanges(sinceRevision: number): TargetLimit[] {
    return [...this.limits.values()].filter(
      ({revision, isOwn}) => isOwn && revision > sinceRevision,
    );
  }

  /**
   * Records a response of a target.
   * @param entry - Target that responded.
   * @param statement - The response.
   */
  recordResponse(
    {id: target, startedAtMs}: TargetEntry,
    {limitPerS, sentAtMs, isSigned}: LimitStatement,
  ): void {
    const known = this.get({target, startedAtMs});
    if (limitPerS === undefined) {
      // Responses may overtake each other: only a request that was sent after
      // the limit was stated shows that it has ended.
      const isEnd =
        isSigned && known !== undefined && sentAtMs > known.statedAtMs;
      if (!isEnd) return;
    }
    const statedAtMs = this.options.clock.nowMs();
    this.set({target, startedAtMs, limitPerS, statedAtMs}, undefined);
  }

  /**
   * Merges limits that another daemon knows; newer statements replace older.
   * @param source - Daemon that reported them.
   * @param limits - Limits, with times on this daemon's clock.
   */
  merge(source: string, limits: readonly TargetLimit[]): void {
    for (const limit of limits) {
      const known = this.get(limit);
      if (known === undefined && limit.limitPerS === undefined) continue;
      if (known !== undefined && limit.statedAtMs <= known.statedAtMs) continue;
      this.set(limit, source);
    }
  }

  /**
   * Removes the limits of targets that are not listed, some time after their
   * last response: a registration may be missing for seconds.
   * @param targets - Listed targets.
   */
  retain(targets: readonly TargetEntry[]): void {
    const listed = new Set(
      targets.map(({id: target, startedAtMs}) => toKey({target, startedAtMs})),
    );
    const oldestMs = this.options.clock.nowMs() - unlistedRetentionMs;
    for (const [key, {statedAtMs}] of this.limits) {
      if (!listed.has(key) && statedAtMs < oldestMs) this.limits.delete(key);
    }
  }

  /**
   * Keeps the limits that were stated last, where no list of targets is known.
   * @param count - Number of limits to keep.
   */
  retainLatest(count: number): void {
    const excess = this.limits.size - count;
    if (excess <= 0) return;
    const oldest = [...this.limits].toSorted(
      ([, left], [, right]) => left.statedAtMs - right.statedAtMs,
    );
    for (const [key] of oldest.slice(0, excess)) this.limits.delete(key);
  }

  private set(limit: TargetLimit, source: string | undefined): void {
    const key = toKey(limit);
    const known = this.limits.get(key);
    const {target, startedAtMs, limitPerS, statedAtMs} = limit;
    const stated = {target, startedAtMs, limitPerS, statedAtMs};
    if (known !== undefined && known.limitPerS === limitPerS) {
      const {revision, isOwn} = known;
      this.limits.set(key, {...stated, revision, isOwn});
      return;
    }
    this.lastRevision += 1;
    const isOwn = source === undefined;
    if (isOwn) this.lastOwnRevision = this.lastRevision;
    this.limits.set(key, {...stated, revision: this.lastRevision, isOwn});
    const previousPerS = known?.limitPerS;
    this.options.onChanged({limit, previousPerS, source});
  }
}

function toKey({target, startedAtMs}: TargetInstance): string {
  return `${target} ${startedAtMs}`;
}
