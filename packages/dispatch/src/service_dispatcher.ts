/** Assigns the requests of one service to its targets. */
import {
  type Clock,
  type DataCentreId,
  Deferred,
  MarigoldpostError,
  type Random,
  type ServiceId,
  type TargetId,
  type Timer,
} from '@marigoldpost/common';
import type {PromptPart, Service, TargetEntry} from '@marigoldpost/sites';
import type {SharedLoads, TargetLoad} from './load/shared_loads.js';
import {LearnedPlacement} from './placement/learned_placement.js';
import type {PlacementRequest} from './placement/placement_cost.js';
import {
  explainPlacement,
  type PlacementExplanation,
} from './placement/placement_explanation.js';
import {
  type ChooserRequest,
  TargetChooser,
  type TargetChoice,
} from './placement/target_chooser.js';
import {type QueueItem, RequestQueue} from './queue/request_queue.js';
import {MeanDuration} from './targets/relative_latency.js';
import type {RateLimiter} from './rate_limits/rate_limiter.js';
import type {TargetResult} from './targets/target_health.js';
import {type DispatchResult, TargetLease} from './targets/target_lease.js';
import {TargetState} from './targets/target_state.js';

/** A prompt that a target has processed, sent by this or another daemon. */
export interface ProcessedPrompt {
  readonly target: TargetId;
  readonly prompt: readonly PromptPart[];
}

/** A request to be assigned to a target. */
export interface DispatchRequest extends PlacementRequest {
  /** Priority of the tenant, which goes before that of the route. */
  readonly tenantPriority?: number | undefined;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Due time of the program; infinite if it has none. */
  readonly finishByMs: number;
  /** Deadline for the assignment to a target, on the dispatcher's clock. */
  readonly deadlineMs: number;
  /** Targets that have already refused or failed the request. */
  readonly excluded: ReadonlySet<TargetId>;
  /** Earlier prompt that this one extends; undefined for a new chain. */
  readonly previousPrompt: ProcessedPrompt | undefined;
  /** Class of requests with similar latency; only these are compared. */
  readonly kind: string;
  /** Client's estimate of the tokens that are generated. */
  readonly outputHintTokens?: number | undefined;
  /** Most tokens that may be generated. */
  readonly maxOutputTokens?: number | undefined;
}

/** Service, environment and callbacks of a dispatcher. */
export interface ServiceDispatcherOptions {
  readonly service: Service;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: Random;
  /** Limits the requests to targets that state a rate limit. */
  readonly rateLimiter?: RateLimiter;
  /** Loads of the targets by the other daemons. */
  readonly sharedLoads?: SharedLoads;
  /** Gets the number of daemons that send requests to the targets. */
  readonly getDaemonCount?: () => number;
  /** Called when failures eject a target. */
  readonly onEjected?: (target: TargetEntry, result: TargetResult) => void;
}

/**
 * Window of an engine in multiples of its slots. Requests beyond the slots wait
 * in this daemon, which can order them.
 */
const engineWindowFactor = 1;
/**
 * Window of a plain target in multiples of its slots. The target keeps a short
 * queue of its own, so that it does not idle between requests.
 */
const plainWindowFactor = 2;
/**
 * Daemons for each slot of a target from which on the own requests tell too little
 * of its load, so that learned costs and the reports of the others decide.
 */
const minDaemonsPerSlot = 2;
/** Maximum fraction of a target's connections that one daemon uses. */
const maxConnectionShare = 0.8;
/** Assumed mean service time until a request has completed. */
const defaultServiceTimeMs = 100;
const minRetryAfterMs = 100;
/**
 * Time for which a leaving target is used where no other target is left; below
 * the shortest drain period of a site, 2000 ms.
 */
const leavingUseMs = 1500;

interface QueuedRequest extends QueueItem {
  readonly request: DispatchRequest;
  readonly leased: Deferred<TargetLease>;
  /** Limited target whose permit the request waits for. */
  awaited: TargetId | undefined;
}

/** Assigns and queues the requests of one service on one daemon. */
export class ServiceDispatcher {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly queue = RequestQueue.create<QueuedRequest>();
  private readonly meanLatencies = new Map<string, MeanDuration>();
  private readonly serviceTime = MeanDuration.create();
  private readonly learned: LearnedPlacement | undefined;
  private readonly chooser: TargetChooser;
  private service: Service;
  /** Ends the use of leaving targets for queued requests. */
  private leavingTimer: Timer | undefined;

  private constructor(private readonly options: ServiceDispatcherOptions) {
    this.service = options.service;
    const {
      dataCentre,
      clock,
      random,
      sharedLoads: loads,
      rateLimiter,
    } = options;
    this.learned =
      loads && LearnedPlacement.create({dataCentre, clock, random, loads});
    this.chooser = TargetChooser.create({
      dataCentre,
      clock,
      rateLimiter,
      getLearned: () => (this.usesLearnedCosts ? this.learned : undefined),
    });
    options.rateLimiter?.addListener(() => this.dispatchWaiting());
  }

  /**
   * Creates a dispatcher without targets.
   * @param options - Service, environment and callbacks.
   */
  static create(options: ServiceDispatcherOptions): ServiceDispatcher {
    return new ServiceDispatcher(options);
  }

  /** Id of the service. */
  get id(): ServiceId {
    return this.service.id;
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Whether learned costs and the loads by other daemons decide. */
  get usesLearnedCosts(): boolean {
    const daemons = this.options.getDaemonCount?.() ?? 0;
    const [target] = this.targets.values();
    if (this.learned === undefined || target === undefined) return false;
    return daemons > target.entry.slots * minDaemonsPerSlot;
  }

  /**
   * Gets the load of each target by this daemon, and forgets the latencies in it.
   */
  takeLoads(): TargetLoad[] {
    const nowMs = this.options.clock.nowMs();
    const loads: TargetLoad[] = [];
    for (const target of this.targets.values()) {
      const load = target.takeLoad(nowMs);
      if (load !== undefined) loads.push(load);
    }
    return loads;
  }

  /** Gets the state of each target, including ejected ones. */
  getTargets(): IterableIterator<TargetState> {
    return this.targets.values();
  }

  /**
   * Gets the number of this daemon's requests in flight at a target.
   * @param target - Target id; an unknown target has a load of 0.
   */
  getLoad(target: TargetId): number {
    return this.targets.get(target)?.inFlight ?? 0;
  }

  /**
   * Replaces the service's configuration.
   * @param service - Configuration in force.
   */
  setService(service: Service): void {
    this.service = service;
  }

  /**
   * Replaces the targets and dispatches queued requests. A restarted target
   * starts with new state.
   * @param entries - Registry entries of the targets.
   */
  setTargets(entries: readonly TargetEntry[]): void {
    const ids = new Set(entries.map(({id}) => id));
    for (const id of this.targets.keys()) {
      if (!ids.has(id)) this.targets.delete(id);
    }
    for (const entry of entries) {
      const known = this.targets.get(entry.id);
      if (known !== undefined && isSameInstance(known.entry, entry)) {
        known.entry = entry;
        continue;
      }
      const tieBreak = this.options.random.next();
      const state = TargetState.create(entry, this.service.engine, tieBreak);
      this.targets.set(entry.id, state);
    }
    this.dispatchWaiting();
  }

  /**
   * Waits for a slot at a target. Throws `no_target` if every target is
   * excluded or leaving, and `overloaded` if the expected wait exceeds the
   * deadline, the deadline passes or the caller aborts. The request has not run
   * then.
   * @param request - Request to assign.
   * @param signal - Aborts the wait.
   */
  async acquire(
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<TargetLease> {
    this.recordPreviousPrompt(request);
    const choice = this.chooseTarget(request, this.countAwaiting());
    if (choice?.delayMs === 0) return this.createLease(choice.target, request);
    if (choice === undefined) this.checkExpectedWait(request);
    else this.checkDelay(request, choice);
    return this.waitForLease(request, signal, choice);
  }

  /**
   * Describes where a request would go now; changes nothing.
   * @param request - Request that is not sent.
   */
  explain(request: DispatchRequest): PlacementExplanation {
    const {clock, rateLimiter, sharedLoads} = this.options;
    return explainPlacement(toLearnedRequest(request), {
      nowMs: clock.nowMs(),
      targets: [...this.targets.values()],
      candidates: this.getCandidates(request.excluded),
      excluded: request.excluded,
      awaiting: this.countAwaiting(),
      chooser: this.chooser,
      rateLimiter,
      sharedLoads,
      getWindow: (target) => this.getWindow(target),
    });
  }

  /**
   * Whether a target may receive a request now: one that is leaving receives
   * none, but for a short time where every other target is leaving as well.
   * @param target - Target that was assigned.
   * @param excluded - Targets that may not receive the request.
   */
  mayReceive(target: TargetEntry, excluded: ReadonlySet<TargetId>): boolean {
    if (this.options.rateLimiter?.getLeavingSinceMs(target) === undefined) {
      return true;
    }
    return this.getCandidates(excluded).some(
      ({entry}) => entry.id === target.id,
    );
  }

  /**
   * Whether any target may receive a request, now or once it has room.
   * @param excluded - Targets that the request was sent to.
   */
  hasTarget(excluded: ReadonlySet<TargetId>): boolean {
    return this.getCandidates(excluded).length > 0;
  }

  /**
   * Gets the targets that may receive a request: those that are not leaving.
   * While all are, it is those that have been leaving for a short time.
   */
  private getCandidates(excluded: ReadonlySet<TargetId>): TargetState[] {
    const {clock, rateLimiter} = this.options;
    const nowMs = clock.nowMs();
    const staying: TargetState[] = [];
    const leaving: TargetState[] = [];
    for (const target of this.targets.values()) {
      if (excluded.has(target.entry.id)) continue;
      const sinceMs = rateLimiter?.getLeavingSinceMs(target.entry);
      if (sinceMs === undefined) staying.push(target);
      else if (nowMs < sinceMs + leavingUseMs) leaving.push(target);
    }
    return staying.length > 0 ? staying : leaving;
  }

  /** Dispatches again when a leaving target must no longer be waited for. */
  private watchLeaving(): void {
    const {clock, rateLimiter} = this.options;
    if (rateLimiter === undefined) return;
    const nowMs = clock.nowMs();
    let delayMs = Number.POSITIVE_INFINITY;
    for (const {entry} of this.targets.values()) {
      const sinceMs = rateLimiter.getLeavingSinceMs(entry);
      if (sinceMs === undefined || sinceMs + leavingUseMs <= nowMs) continue;
      delayMs = Math.min(delayMs, sinceMs + leavingUseMs - nowMs);
    }
    this.leavingTimer?.cancel();
    this.leavingTimer = Number.isFinite(delayMs)
      ? clock.setTimer(Math.ceil(delayMs), () => this.dispatchWaiting())
      : undefined;
  }

  /** Records the previous prompt, which another daemon may have sent. */
  private recordPreviousPrompt({previousPrompt}: DispatchRequest): void {
    if (previousPrompt === undefined) return;
    this.targets
      .get(previousPrompt.target)
      ?.promptCache.recordPrompt(previousPrompt.prompt);
  }

  private async waitForLease(
    request: DispatchRequest,
    signal: AbortSignal,
    choice: TargetChoice | undefined,
  ): Promise<TargetLease> {
    if (signal.aborted) throw this.createOverloadedError(0);
    const {clock} = this.options;
    const leased = Deferred.create<TargetLease>();
    const nowMs = clock.nowMs();
    const {tenantPriority, priority, finishByMs} = request;
    const item: QueuedRequest = {
      tenantPriority,
      priority,
      finishByMs,
      arrivedAtMs: nowMs,
      request,
      leased,
      awaited: choice?.target.entry.id,
    };
    const abandon = () => {
      if (this.queue.remove(item)) leased.reject(this.createOverloadedError(0));
    };
    this.queue.add(item);
    this.watchLeaving();
    if (choice !== undefined) {
      const count = this.countAwaiting().get(choice.target.entry.id) ?? 1;
      const {entry} = choice.target;
      this.options.rateLimiter?.request(entry, count, choice.horizonMs);
    }
    const timer = clock.setTimer(request.deadlineMs - nowMs, abandon);
    signal.addEventListener('abort', abandon, {once: true});
    try {
      return await leased.promise;
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', abandon);
    }
  }

  /**
   * Throws `no_target` if every target is excluded or leaving, and `overloaded`
   * if the expected wait exceeds the deadline.
   */
  private checkExpectedWait(request: DispatchRequest): void {
    const candidates = this.getCandidates(request.excluded);
    if (candidates.length === 0) throw this.createNoTargetError();
    const nowMs = this.options.clock.nowMs();
    const {tenantPriority, priority, finishByMs} = request;
    const rank = {tenantPriority, priority, finishByMs};
    const item = {...rank, arrivedAtMs: nowMs};
    const ahead = this.queue.countAhead(item, nowMs) + 1;
    const totalWindow = candidates.length * this.getWindow(candidates[0]);
    const meanMs = this.serviceTime.valueMs ?? defaultServiceTimeMs;
    const waitMs = (ahead / Math.max(1, totalWindow)) * meanMs;
    if (nowMs + waitMs > request.deadlineMs) {
      throw this.createOverloadedError(waitMs);
    }
  }

  /** Throws `overloaded` if no target takes the request before its deadline. */
  private checkDelay(request: DispatchRequest, {delayMs}: TargetChoice): void {
    if (this.options.clock.nowMs() + delayMs <= request.deadlineMs) return;
    throw this.createOverloadedError(delayMs);
  }

  /** Counts the queued requests that wait for a permit, by target. */
  private countAwaiting(): Map<TargetId, number> {
    const counts = new Map<TargetId, number>();
    if (this.queue.size === 0) return counts;
    for (const {awaited} of this.queue) {
      if (awaited === undefined) continue;
      counts.set(awaited, (counts.get(awaited) ?? 0) + 1);
    }
    return counts;
  }

  /** Gets the maximum of this daemon's requests in flight at a target. */
  private getWindow(target: TargetState | undefined): number {
    if (target === undefined) return 0;
    const {slots} = target.entry;
    const {engine, maxConnections} = this.service;
    const factor =
      engine === undefined ? plainWindowFactor : engineWindowFactor;
    const connections = Math.floor(maxConnections * maxConnectionShare);
    return Math.max(1, Math.min(slots * factor, connections));
  }

  private createLease(
    target: TargetState,
    request: DispatchRequest,
  ): TargetLease {
    const {clock, rateLimiter} = this.options;
    const startMs = clock.nowMs();
    rateLimiter?.take(target.entry);
    target.inFlight += 1;
    const learned = this.usesLearnedCosts ? this.learned : undefined;
    const tracked = learned?.track(target, toLearnedRequest(request));
    target.promptCache.recordPrompt(request.prompt);
    return TargetLease.create(target.entry, (result) => {
      target.inFlight -= 1;
      tracked?.end(result);
      this.recordResult(target, request, result, startMs);
      this.dispatchWaiting();
    });
  }

  private recordResult(
    target: TargetState,
    request: DispatchRequest,
    {result, latencySampleMs}: DispatchResult,
    startMs: number,
  ): void {
    const nowMs = this.options.clock.nowMs();
    if (target.health.recordResult(result, nowMs, startMs)) {
      this.options.onEjected?.(target.entry, result);
    }
    if (result !== 'answered') return;
    this.serviceTime.add(nowMs - startMs);
    if (latencySampleMs === undefined) return;
    const mean = this.getMeanLatency(request.kind);
    mean.add(latencySampleMs);
    const meanMs = mean.valueMs ?? latencySampleMs;
    target.relativeLatency.add(latencySampleMs, meanMs, nowMs);
    if (this.usesLearnedCosts) target.addUnreported(latencySampleMs, meanMs);
  }

  /**
   * Chooses the target that would finish the request first.
   * @param request - Request to place.
   * @param awaiting - Number of requests that have a claim on the next permits
   *   of each target.
   */
  private chooseTarget(
    request: DispatchRequest,
    awaiting: ReadonlyMap<TargetId, number>,
  ): TargetChoice | undefined {
    const open = this.getCandidates(request.excluded).filter(
      (target) => target.inFlight < this.getWindow(target),
    );
    return this.chooser.choose(toLearnedRequest(request), open, awaiting);
  }

  private getMeanLatency(kind: string): MeanDuration {
    const known = this.meanLatencies.get(kind);
    if (known !== undefined) return known;
    const added = MeanDuration.create();
    this.meanLatencies.set(kind, added);
    return added;
  }

  private dispatchWaiting(): void {
    if (this.queue.size === 0) return;
    const {clock, rateLimiter} = this.options;
    const nowMs = clock.nowMs();
    const awaiting = new Map<TargetId, number>();
    const awaited = new Map<TargetState, number>();
    for (const item of this.queue.getOrdered(nowMs)) {
      const choice = this.chooseTarget(item.request, awaiting);
      item.awaited = undefined;
      if (choice === undefined) {
        const {excluded} = item.request;
        if (this.getCandidates(excluded).length > 0) continue;
        this.queue.remove(item);
        item.leased.reject(this.createNoTargetError());
        continue;
      }
      const {target, delayMs, horizonMs} = choice;
      if (delayMs === 0) {
        this.queue.remove(item);
        item.leased.resolve(this.createLease(target, item.request));
      } else if (nowMs + delayMs > item.request.deadlineMs) {
        this.queue.remove(item);
        item.leased.reject(this.createOverloadedError(delayMs));
      } else {
        const {id} = target.entry;
        item.awaited = id;
        awaiting.set(id, (awaiting.get(id) ?? 0) + 1);
        awaited.set(target, Math.max(awaited.get(target) ?? 0, horizonMs));
      }
    }
    this.watchLeaving();
    for (const [{entry}, horizonMs] of awaited) {
      rateLimiter?.request(entry, awaiting.get(entry.id) ?? 0, horizonMs);
    }
  }

  private createNoTargetError(): MarigoldpostError {
    const message = `service "${this.id}" has no target left for the request`;
    return MarigoldpostError.create('no_target', message, {
      retryAfterMs: minRetryAfterMs,
    });
  }

  private createOverloadedError(waitMs: number): MarigoldpostError {
    const message = `service "${this.id}" cannot meet the request deadline`;
    return MarigoldpostError.create('overloaded', message, {
      retryAfterMs: Math.max(minRetryAfterMs, waitMs),
    });
  }
}

function toLearnedRequest(request: DispatchRequest): ChooserRequest {
  return {...request, isFirst: request.previousPrompt === undefined};
}

function isSameInstance(left: TargetEntry, right: TargetEntry): boolean {
  return (
    left.startedAtMs === right.startedAtMs &&
    left.address.host === right.address.host &&
    left.address.port === right.address.port
  );
}
