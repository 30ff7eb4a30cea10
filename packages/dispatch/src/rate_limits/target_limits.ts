/**
 * What targets state about themselves in their responses: rate limits, and that
 * they are leaving. Load pattern: an overloaded target states how many requests
 * per second it takes from all entry VMs together. Most entry VMs hear of that
 * only from others, and one that sends it nothing does not hear of the end of
 * the limit either. A target that is leaving finishes its requests and takes no
 * further ones; that holds until the instance has ended.
 */
import type {Clock, TargetId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';

/** Time for which the limit of a target that is not listed is kept. */
const unlistedRetentionMs = 60_000;
/**
 * Time for which a leaving target that is not listed is remembered. Far above
 * the duration of an outage of the store, after which it may be listed again.
 */
const leavingRetentionMs = 600_000;

/** Instance of a target; a restarted target is another instance. */
export interface TargetInstance {
  readonly target: TargetId;
  readonly startedAtMs: number;
}

/** What responses of a target instance said about it. */
export interface TargetLimit extends TargetInstance {
  /** Requests per second of all entry VMs; `undefined` without a limit. */
  readonly limitPerS: number | undefined;
  /**
   * When a response last stated the limit or its end, on this daemon's clock;
   * `-Infinity` if none has.
   */
  readonly statedAtMs: number;
  /**
   * When a response to any entry VM first stated that the instance is leaving,
   * on this daemon's clock; `undefined` if none has.
   */
  readonly leavingSinceMs: number | undefined;
}

/** A target's response, as far as the target speaks of itself. */
export interface TargetStatement {
  readonly limitPerS: number | undefined;
  readonly isLeaving: boolean;
  /** When the request was sent, on this daemon's clock. */
  readonly sentAtMs: number;
  /** Whether the response surely is the target's own. */
  readonly isSigned: boolean;
}

/** Clock and callback of the limits. */
export interface TargetLimitsOptions {
  readonly clock: Clock;
  /** Called when what a target has stated changes. */
  readonly onChanged: (change: LimitChange) => void;
}

/** A change of what is known of a target. */
export interface LimitChange {
  readonly limit: TargetLimit;
  readonly previous: TargetLimit | undefined;
  /** Daemon that reported it; `undefined` for a response of the target. */
  readonly source: string | undefined;
}

interface KnownLimit extends TargetLimit {
  /** Revision of the last change. */
  readonly revision: number;
  /** Revision of the last change that a response to this daemon made. */
  readonly ownRevision: number;
  /** When the target was first found missing in the list of targets. */
  unlistedSinceMs: number | undefined;
}

/** Limits and leaving of targets by instance. */
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

  /** Increases with each change of a limit or of leaving. */
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
   * Gets what a target has stated; `undefined` if nothing.
   * @param instance - Instance of the target.
   */
  get(instance: TargetInstance): TargetLimit | undefined {
    return this.limits.get(toKey(instance));
  }

  /**
   * Gets what has changed since a revision.
   * @param sinceRevision - Revision that the reader has.
   */
  getChanges(sinceRevision: number): TargetLimit[] {
    return [...this.limits.values()].filter(
      ({revision}) => revision > sinceRevision,
    );
  }

  /**
   * Gets what responses to this daemon have changed.
   * @param sinceRevision - Revision that the reader has.
   */
  getOwnChanges(sinceRevision: number): TargetLimit[] {
    return [...this.limits.values()].filter(
      ({ownRevision}) => ownRevision > sinceRevision,
    );
  }

  /**
   * Records a response of a target.
   * @param entry - Target that responded.
   * @param statement - The response.
   */
  recordResponse(
    {id: target, startedAtMs}: TargetEntry,
    {limitPerS, isLeaving, sentAtMs, isSigned}: TargetStatement,
  ): void {
    const known = this.get({target, startedAtMs});
    const nowMs = this.options.clock.nowMs();
    // Responses may overtake each other: only a request that was sent after
    // the limit was stated shows that it has ended.
    const knownAtMs = known?.statedAtMs ?? Number.NEGATIVE_INFINITY;
    const isEnd =
      isSigned && Number.isFinite(knownAtMs) && sentAtMs > knownAtMs;
    const isStated = limitPerS !== undefined || isEnd;
    if (!isStated && !isLeaving) return;
    this.set(
      {
        target,
        startedAtMs,
        limitPerS: isStated ? limitPerS : known?.limitPerS,
        statedAtMs: isStated ? nowMs : knownAtMs,
        // A later response that does not state it has overtaken another one.
        leavingSinceMs:
          known?.leavingSinceMs ?? (isLeaving ? nowMs : undefined),
      },
      undefined,
    );
  }

  /**
   * Records that another daemon knows a target to be leaving.
   * @param entry - Target that is leaving.
   * @param source - Daemon that reported it.
   */
  recordLeaving({id: target, startedAtMs}: TargetEntry, source: string): void {
    const limit = {
      target,
      startedAtMs,
      limitPerS: undefined,
      statedAtMs: Number.NEGATIVE_INFINITY,
      leavingSinceMs: this.options.clock.nowMs(),
    };
    this.merge(source, [limit]);
  }

  /**
   * Merges what another daemon knows: newer limits replace older ones, and a
   * target that any daemon knows to be leaving is leaving.
   * @param source - Daemon that reported it.
   * @param limits - Limits, with times on this daemon's clock.
   */
  merge(source: string, limits: readonly TargetLimit[]): void {
    for (const limit of limits) {
      const known = this.get(limit);
      const knownAtMs = known?.statedAtMs ?? Number.NEGATIVE_INFINITY;
      const isNewer =
        limit.statedAtMs > knownAtMs &&
        (known !== undefined || limit.limitPerS !== undefined);
      const leavingSinceMs = getEarlier(
        known?.leavingSinceMs,
        limit.leavingSinceMs,
      );
      if (!isNewer && leavingSinceMs === known?.leavingSinceMs) continue;
      const {target, startedAtMs} = limit;
      this.set(
        {
          target,
          startedAtMs,
          limitPerS: isNewer ? limit.limitPerS : known?.limitPerS,
          statedAtMs: isNewer ? limit.statedAtMs : knownAtMs,
          leavingSinceMs,
        },
        source,
      );
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
    const nowMs = this.options.clock.nowMs();
    for (const [key, known] of this.limits) {
      if (listed.has(key)) {
        known.unlistedSinceMs = undefined;
        continue;
      }
      known.unlistedSinceMs ??= nowMs;
      // A leaving target gets no requests, so its last response may be old.
      const isForgotten =
        known.leavingSinceMs === undefined
          ? known.statedAtMs < nowMs - unlistedRetentionMs
          : known.unlistedSinceMs < nowMs - leavingRetentionMs;
      if (isForgotten) this.limits.delete(key);
    }
  }

  /**
   * Keeps what was stated last, where no list of targets is known.
   * @param count - Number of limits to keep.
   */
  retainLatest(count: number): void {
    const excess = this.limits.size - count;
    if (excess <= 0) return;
    const oldest = [...this.limits].toSorted(
      ([, left], [, right]) => getLatestMs(left) - getLatestMs(right),
    );
    for (const [key] of oldest.slice(0, excess)) this.limits.delete(key);
  }

  private set(limit: TargetLimit, source: string | undefined): void {
    const key = toKey(limit);
    const known = this.limits.get(key);
    const isChanged =
      known === undefined ||
      known.limitPerS !== limit.limitPerS ||
      (known.leavingSinceMs === undefined) !==
        (limit.leavingSinceMs === undefined);
    if (!isChanged) {
      this.limits.set(key, {...known, ...limit});
      return;
    }
    this.lastRevision += 1;
    const isOwn = source === undefined;
    if (isOwn) this.lastOwnRevision = this.lastRevision;
    this.limits.set(key, {
      ...limit,
      revision: this.lastRevision,
      ownRevision: isOwn ? this.lastRevision : (known?.ownRevision ?? 0),
      unlistedSinceMs: known?.unlistedSinceMs,
    });
    this.options.onChanged({limit, previous: known, source});
  }
}

function getEarlier(
  left: number | undefined,
  right: number | undefined,
): number | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return Math.min(left, right);
}

function getLatestMs({statedAtMs, leavingSinceMs}: TargetLimit): number {
  return Math.max(statedAtMs, leavingSinceMs ?? Number.NEGATIVE_INFINITY);
}

function toKey({target, startedAtMs}: TargetInstance): string {
  return `${target} ${startedAtMs}`;
}
