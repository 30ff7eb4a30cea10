/**
 * Tells whether a target that sends nothing in the middle of a response is
 * lost. Load pattern: a sound target pauses for a second or two, alone or with
 * all others of its service, while another one dies without closing its
 * connections. Silence alone does not tell them apart; a new connection, the
 * registry and other entry VMs do.
 */
import type {Clock, DaemonId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {LinkMonitor} from './link_monitor.js';
import type {LinkProber} from './link_prober.js';

/** Silence after which a target is probed; above the pause between events. */
const probeSilenceMs = 500;
/**
 * Silence after which a response over a cut link is given up, if another entry
 * VM has reached the target in this silence, and a later probe did not: a target
 * that was suspended and goes on is reached by both.
 */
const maxCutLinkSilenceMs = 1000;
/**
 * Silence after which a target, or a relaying entry VM, is lost if it accepts no
 * connection then. A sound one that is suspended goes on earlier, and its next
 * bytes may follow later.
 */
const maxUnreachableSilenceMs = 2000;
/**
 * Silence after which a relaying entry VM may have given up a response, less
 * the difference of the silences that two entry VMs see in it.
 */
export const minRelayedLossSilenceMs = maxCutLinkSilenceMs - 100;
/** Silence after which a cut link is probed again; in time for its limit. */
const confirmCutSilenceMs = 750;
/** Time without a link that covers two probes; one may fail by chance. */
const minDownMs = 1000;
/** Pause between two checks of a relaying entry VM. */
const peerCheckIntervalMs = 1000;

/** Links, probes and other entry VMs of a detector. */
export interface LossDetectorOptions {
  readonly clock: Clock;
  readonly links: LinkMonitor;
  readonly prober: LinkProber;
  /** Whether an entry VM accepts requests to relay. */
  readonly isPeerRunning: (daemon: DaemonId) => Promise<boolean>;
}

interface PeerCheck {
  readonly atMs: number;
  /** True until the check has failed. */
  readonly isRunning: boolean;
  /** Start of the last check that failed. */
  readonly failedAtMs: number;
}

/** Target of a response, and the way that the response takes. */
export interface SilentResponse {
  readonly target: TargetEntry;
  /** Entry VM that relays the response; `undefined` if none does. */
  readonly peer: DaemonId | undefined;
  /** Time since the last bytes of the response. */
  readonly silentMs: number;
}

/** Looks for proof that silent targets are lost. */
export class LossDetector {
  private startTimes = new Map<string, number>();
  private readonly peerChecks = new Map<DaemonId, PeerCheck>();

  private constructor(private readonly options: LossDetectorOptions) {}

  /**
   * Creates a detector without targets.
   * @param options - Links, probes and other entry VMs.
   */
  static create(options: LossDetectorOptions): LossDetector {
    return new LossDetector(options);
  }

  /**
   * Sets the targets that are listed.
   * @param targets - Listed targets.
   */
  setTargets(targets: readonly TargetEntry[]): void {
    this.startTimes = new Map(
      targets.map(({id, startedAtMs}) => [id, startedAtMs]),
    );
  }

  /**
   * Finds why a silent target is lost; `undefined` while it may go on.
   * @param response - Response that is silent.
   */
  findLoss(response: SilentResponse): string | undefined {
    const {target, peer, silentMs} = response;
    const startedAtMs = this.startTimes.get(target.id) ?? 0;
    // The request may have reached the new process before it was listed.
    const isRestarted = startedAtMs > target.startedAtMs;
    if (isRestarted && silentMs >= maxUnreachableSilenceMs) {
      return 'the target has started again';
    }
    return peer === undefined
      ? this.findDirectLoss(target, silentMs)
      : this.findPeerLoss(peer, silentMs);
  }

  private findDirectLoss(
    target: TargetEntry,
    silentMs: number,
  ): string | undefined {
    const {clock, links, prober} = this.options;
    const sinceMs = clock.nowMs() - silentMs;
    if (links.getState(target) === 'cut' && silentMs >= confirmCutSilenceMs) {
      const isKnown = links.isKnownCutSince(target, sinceMs);
      if (!isKnown) void prober.confirm(target);
      else if (silentMs >= maxCutLinkSilenceMs) {
        return 'the link to the target is cut';
      }
    }
    const isUnreachable = links.getDownMs(target) >= minDownMs;
    if (isUnreachable && silentMs >= maxUnreachableSilenceMs) {
      const limitMs = sinceMs + maxUnreachableSilenceMs;
      if (links.hasFailedProbeSince(target, limitMs)) {
        return 'the target accepts no connection';
      }
      void prober.confirm(target);
    }
    if (silentMs >= probeSilenceMs) void prober.check(target);
    return undefined;
  }

  private findPeerLoss(peer: DaemonId, silentMs: number): string | undefined {
    if (silentMs < probeSilenceMs) return undefined;
    const check = this.peerChecks.get(peer);
    const nowMs = this.options.clock.nowMs();
    const limitMs = nowMs - silentMs + maxUnreachableSilenceMs;
    const hasFailed = check?.isRunning === false;
    const isLost = hasFailed && check.failedAtMs >= limitMs;
    const isDue =
      check === undefined ||
      nowMs - check.atMs >= peerCheckIntervalMs ||
      (hasFailed && nowMs >= limitMs && check.atMs < limitMs);
    if (isDue && !isLost) void this.checkPeer(peer);
    return isLost ? `${peer}, which relays, accepts no connection` : undefined;
  }

  private async checkPeer(peer: DaemonId): Promise<void> {
    const {clock, isPeerRunning} = this.options;
    const atMs = clock.nowMs();
    const known = this.peerChecks.get(peer);
    const isRunningSoFar = known?.isRunning ?? true;
    const failedAtMs = known?.failedAtMs ?? Number.NEGATIVE_INFINITY;
    this.peerChecks.set(peer, {atMs, isRunning: isRunningSoFar, failedAtMs});
    const isRunning = await isPeerRunning(peer);
    this.peerChecks.set(peer, {
      atMs,
      isRunning,
      failedAtMs: isRunning ? failedAtMs : atMs,
    });
  }
}
