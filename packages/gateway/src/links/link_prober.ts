/**
 * Opens connections to targets only to find out whether their links work. Load
 * pattern: open connections fall silent, and a request that may run only once
 * is lost on each of them; so the loss must be found without such a request.
 */
import type {Clock} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {TargetAgents} from '../targets/target_agents.js';
import {canConnect} from '../targets/wait_for_connect.js';
import type {LinkMonitor} from './link_monitor.js';

/** Pause between two rounds of probes of cut links. */
const probeIntervalMs = 250;
/** Cut links that one round probes; one that works again has all probed. */
const probesPerRound = 2;
/** Pause between two probes of a target that does not respond. */
const minCheckIntervalMs = 1000;
/** Time without any response after which one target is probed. */
const idleCheckMs = 700;

/** Links, and the agents that open connections. */
export interface LinkProberOptions {
  readonly clock: Clock;
  readonly links: LinkMonitor;
  readonly agents: TargetAgents;
}

/** Probes cut links until they work, and links that look dead. */
export class LinkProber {
  private targets: readonly TargetEntry[] = [];
  private nextIndex = 0;
  private nextIdleIndex = 0;
  private readonly checkedAtMs = new Map<string, number>();
  /** Targets that are being probed because a response depends on it. */
  private readonly confirming = new Set<TargetEntry>();

  private constructor(private readonly options: LinkProberOptions) {}

  /**
   * Creates a prober; `run` starts the probes of cut links.
   * @param options - Links and agents.
   */
  static create(options: LinkProberOptions): LinkProber {
    return new LinkProber(options);
  }

  /**
   * Probes cut links, and others while no target responds, until aborted.
   * @param signal - Stops the probes.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      await clock.sleep(probeIntervalMs, signal);
      await Promise.all([this.probeCutLinks(), this.checkIdleLink()]);
    }
  }

  /**
   * Probes a target that does not respond on a connection that was open.
   * @param target - Target to probe.
   */
  async check(target: TargetEntry): Promise<void> {
    const {clock, links, agents} = this.options;
    const key = `${target.id} ${target.startedAtMs}`;
    const nowMs = clock.nowMs();
    const lastMs = this.checkedAtMs.get(key) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < minCheckIntervalMs) return;
    this.checkedAtMs.set(key, nowMs);
    if (await this.probe(target)) return;
    agents.get(target).closeIdle();
    links.recordConnectFailure(target, 'a probe did not connect');
    // The others may be out of reach as well.
    await Promise.all(this.targets.map((other) => this.check(other)));
  }

  /**
   * Probes a target at once, unless that is in progress, to learn whether what
   * is believed of its link still holds.
   * @param target - Target whose link is not known to work.
   */
  async confirm(target: TargetEntry): Promise<void> {
    if (this.confirming.has(target)) return;
    this.confirming.add(target);
    await this.probe(target);
    this.confirming.delete(target);
  }

  /**
   * Sets the targets whose links are watched.
   * @param targets - Listed targets.
   */
  setTargets(targets: readonly TargetEntry[]): void {
    this.targets = targets;
    const listed = new Set(
      targets.map(({id, startedAtMs}) => `${id} ${startedAtMs}`),
    );
    for (const key of this.checkedAtMs.keys()) {
      if (!listed.has(key)) this.checkedAtMs.delete(key);
    }
  }

  private async probeCutLinks(): Promise<void> {
    const {links} = this.options;
    const cut = links.getCutTargets();
    const count = Math.min(probesPerRound, cut.length);
    const round = Array.from(
      {length: count},
      (_none, offset) => cut[(this.nextIndex + offset) % cut.length],
    ).filter((target) => target !== undefined);
    this.nextIndex += count;
    const results = await Promise.all(
      round.map((target) => this.probe(target)),
    );
    if (!results.includes(true)) return;
    const others = links.getCutTargets();
    await Promise.all(others.map((target) => this.probe(target)));
  }

  private async checkIdleLink(): Promise<void> {
    const {clock, links} = this.options;
    const {lastRespondedMs} = links;
    // Without a response yet, no connection is open that could have died.
    const isIdle =
      lastRespondedMs > Number.NEGATIVE_INFINITY &&
      clock.nowMs() - lastRespondedMs > idleCheckMs &&
      !links.isIsolated;
    const target = this.targets[this.nextIdleIndex % this.targets.length];
    if (!isIdle || target === undefined) return;
    this.nextIdleIndex += 1;
    await this.check(target);
  }

  private async probe(target: TargetEntry): Promise<boolean> {
    const {clock, links, agents} = this.options;
    const {host, port} = target.address;
    const startMs = clock.nowMs();
    const agent = agents.get(target);
    const isConnected = await canConnect(
      () => agent.createConnection({host, port}),
      clock,
    );
    if (isConnected) links.recordConnected(target, 'a probe connected');
    else links.recordFailedProbe(target, startMs);
    return isConnected;
  }
}
