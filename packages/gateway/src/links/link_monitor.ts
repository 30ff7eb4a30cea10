/**
 * Tells a target that is down from a link that is. Load pattern: an entry VM
 * loses its links to all targets, or to some, while other entry VMs reach them.
 * A failed connection alone does not tell which; another entry VM that reaches
 * the target does.
 */
import type {Clock, DaemonId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';

/**
 * State of the link to a target: it works as far as is known, connections fail,
 * it is cut (another entry VM reaches the target), or the target is down (no
 * other entry VM that was asked reaches it).
 */
export type LinkState = 'works' | 'failing' | 'cut' | 'target_down';

/**
 * Time after which other entry VMs are asked again whether they reach a target
 * that is down.
 */
const askAgainMs = 1000;
/** Number of cut links from which on the links to all targets count as cut. */
const cutLinksToIsolate = 2;

/** Clock and logger of a monitor. */
export interface LinkMonitorOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
}

interface TargetLink {
  readonly target: TargetEntry;
  readonly state: LinkState;
  readonly sinceMs: number;
  /** Since when the link has not worked, in any state. */
  readonly downSinceMs: number;
  /** When another entry VM last reached the target. */
  readonly reachedByPeerMs?: number;
  /** Last `reachedByPeerMs` after which a probe of this daemon has failed. */
  readonly missedReachMs?: number;
  /** Start of the last probe that failed. */
  readonly failedProbeMs?: number;
}

/** What this daemon believes of its links to targets. */
export class LinkMonitor {
  /** Links that do not work. */
  private readonly links = new Map<string, TargetLink>();
  private isolatedSinceMs: number | undefined;
  private lastResponseMs = Number.NEGATIVE_INFINITY;
  /** When each target last responded. */
  private readonly respondedAtMs = new Map<string, number>();
  /** Targets whose link has worked while this daemon counts as isolated. */
  private readonly working = new Set<string>();

  private constructor(private readonly options: LinkMonitorOptions) {}

  /**
   * Creates a monitor; every link works.
   * @param options - Clock and logger.
   */
  static create(options: LinkMonitorOptions): LinkMonitor {
    return new LinkMonitor(options);
  }

  /** Whether this daemon takes itself to be cut off from all targets. */
  get isIsolated(): boolean {
    return this.isolatedSinceMs !== undefined;
  }

  /** When any target last responded; minus infinity before the first one. */
  get lastRespondedMs(): number {
    return this.lastResponseMs;
  }

  /** Number of links that are cut. */
  get cutCount(): number {
    return this.getCutTargets().length;
  }

  /**
   * Gets the state of a link.
   * @param target - Target at its other end.
   */
  getState(target: TargetEntry): LinkState {
    return this.links.get(toKey(target))?.state ?? 'works';
  }

  /**
   * Gets the time since a link worked last; 0 if it works.
   * @param target - Target at its other end.
   */
  getDownMs(target: TargetEntry): number {
    const sinceMs = this.links.get(toKey(target))?.downSinceMs;
    return sinceMs === undefined ? 0 : this.options.clock.nowMs() - sinceMs;
  }

  /**
   * Whether a link has been cut since a time: another entry VM reached the
   * target after it, and a later probe of this daemon did not.
   * @param target - Target at its other end.
   * @param sinceMs - Time on the daemon's clock.
   */
  isKnownCutSince(target: TargetEntry, sinceMs: number): boolean {
    const link = this.links.get(toKey(target));
    return link?.state === 'cut' && (link.missedReachMs ?? 0) > sinceMs;
  }

  /**
   * Whether a probe that started at a time or later failed, and none since.
   * @param target - Target that was probed.
   * @param sinceMs - Time on the daemon's clock.
   */
  hasFailedProbeSince(target: TargetEntry, sinceMs: number): boolean {
    const startMs = this.links.get(toKey(target))?.failedProbeMs;
    return startMs !== undefined && startMs >= sinceMs;
  }

  /**
   * Whether a request to a target should go through another entry VM.
   * @param target - Target of the request.
   */
  isCut(target: TargetEntry): boolean {
    const key = toKey(target);
    if (this.links.get(key)?.state === 'cut') return true;
    return this.isIsolated && !this.working.has(key);
  }

  /** Gets the targets whose links are cut. */
  getCutTargets(): TargetEntry[] {
    return [...this.links.values()]
      .filter(({state}) => state === 'cut')
      .map(({target}) => target);
  }

  /**
   * Records that no connection to a target could be opened.
   * @param target - Target that was not reached.
   * @param reason - Why the connection failed.
   */
  recordConnectFailure(target: TargetEntry, reason: string): void {
    this.working.delete(toKey(target));
    if (this.getState(target) === 'works') {
      this.setState(target, 'failing', reason);
    }
  }

  /**
   * Records that a probe of a link that does not work has failed again.
   * @param target - Target that was not reached.
   * @param startMs - When the probe started.
   */
  recordFailedProbe(target: TargetEntry, startMs: number): void {
    const key = toKey(target);
    const link = this.links.get(key);
    if (link === undefined) return;
    const {reachedByPeerMs} = link;
    const isLater = reachedByPeerMs !== undefined && startMs >= reachedByPeerMs;
    const missedReachMs = isLater ? reachedByPeerMs : link.missedReachMs;
    this.links.set(key, {...link, missedReachMs, failedProbeMs: startMs});
  }

  /**
   * Whether a target has responded since a time.
   * @param target - The target.
   * @param sinceMs - Time on the daemon's clock.
   */
  hasRespondedSince(target: TargetEntry, sinceMs: number): boolean {
    return (this.respondedAtMs.get(toKey(target)) ?? 0) >= sinceMs;
  }

  /**
   * Whether other entry VMs may be asked to relay a request to a target.
   * @param target - Target that this daemon does not reach.
   */
  mayAskPeers(target: TargetEntry): boolean {
    const link = this.links.get(toKey(target));
    if (link?.state !== 'target_down') return true;
    return this.options.clock.nowMs() - link.sinceMs > askAgainMs;
  }

  /**
   * Records that a target responded. A link that is cut may still have open
   * connections that work; only a new connection shows that it is whole.
   * @param target - Target that responded.
   */
  recordReached(target: TargetEntry): void {
    this.lastResponseMs = this.options.clock.nowMs();
    this.respondedAtMs.set(toKey(target), this.lastResponseMs);
    if (this.getState(target) === 'cut') return;
    this.setState(target, 'works', 'it responded');
  }

  /**
   * Records that a new connection to a target could be opened.
   * @param target - Target that was reached.
   * @param reason - How it was reached.
   */
  recordConnected(target: TargetEntry, reason: string): void {
    if (this.isIsolated) this.working.add(toKey(target));
    this.setState(target, 'works', reason);
  }

  /**
   * Records that another entry VM reached a target that this one did not.
   * @param target - Target that was reached.
   * @param peer - Entry VM that reached it.
   */
  recordReachedByPeer(target: TargetEntry, peer: DaemonId): void {
    if (this.getState(target) === 'works' && !this.isIsolated) return;
    this.setState(target, 'cut', `${peer} reaches it`);
    const key = toKey(target);
    const link = this.links.get(key);
    if (link === undefined) return;
    const reachedByPeerMs = this.options.clock.nowMs();
    this.links.set(key, {...link, reachedByPeerMs});
  }

  /**
   * Records that another entry VM did not reach a target either.
   * @param target - Target that was not reached.
   * @param peer - Entry VM that did not reach it.
   */
  recordUnreachedByPeer(target: TargetEntry, peer: DaemonId): void {
    const state = this.getState(target);
    if (state === 'cut' || (state === 'works' && !this.isIsolated)) return;
    const key = toKey(target);
    const link = this.links.get(key);
    if (link?.state !== 'target_down') {
      this.setState(target, 'target_down', `${peer} does not reach it`);
      return;
    }
    // It stays down since the same time; others are asked again later.
    this.links.set(key, {...link, sinceMs: this.options.clock.nowMs()});
  }

  /**
   * Forgets the links of targets that are not listed.
   * @param targets - Listed targets.
   */
  retain(targets: readonly TargetEntry[]): void {
    const listed = new Set(targets.map(toKey));
    for (const key of this.links.keys()) {
      if (!listed.has(key)) this.links.delete(key);
    }
    for (const key of this.respondedAtMs.keys()) {
      if (!listed.has(key)) this.respondedAtMs.delete(key);
    }
    for (const key of this.working) {
      if (!listed.has(key)) this.working.delete(key);
    }
    this.updateIsolation('the list of targets changed');
  }

  private setState(
    target: TargetEntry,
    state: LinkState,
    reason: string,
  ): void {
    const {clock, logger} = this.options;
    const key = toKey(target);
    const known = this.links.get(key);
    const previous = known?.state ?? 'works';
    if (previous === state) return;
    const nowMs = clock.nowMs();
    if (state === 'works') this.links.delete(key);
    else {
      const downSinceMs = known?.downSinceMs ?? nowMs;
      const {failedProbeMs} = known ?? {};
      const sinceMs = nowMs;
      this.links.set(key, {target, state, sinceMs, downSinceMs, failedProbeMs});
    }
    logger.log('target_link_changed', {
      target: target.id,
      state,
      previous,
      previousMs: known === undefined ? 0 : Math.round(nowMs - known.sinceMs),
      reason,
    });
    this.updateIsolation(reason);
  }

  private updateIsolation(reason: string): void {
    const {clock, logger} = this.options;
    const {cutCount} = this;
    const isIsolated = this.isIsolated
      ? cutCount > 0
      : cutCount >= cutLinksToIsolate;
    if (isIsolated === this.isIsolated) return;
    const sinceMs = this.isolatedSinceMs ?? clock.nowMs();
    this.isolatedSinceMs = isIsolated ? clock.nowMs() : undefined;
    this.working.clear();
    const durationMs = Math.round(clock.nowMs() - sinceMs);
    const fields = {isIsolated, cutLinks: cutCount, durationMs, reason};
    logger.log('isolation_changed', fields);
  }
}

function toKey({id, startedAtMs}: TargetEntry): string {
  return `${id} ${startedAtMs}`;
}
