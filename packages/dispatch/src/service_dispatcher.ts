/** Assigns the requests of one service to its targets. */
import {
  type Clock,
  type DataCentreId,
  Deferred,
  MarigoldpostError,
  type Random,
  type ServiceId,
  type TargetId,
} from '@marigoldpost/common';
import type {PromptPart, Service, TargetEntry} from '@marigoldpost/sites';
import {
  estimateFinishMs,
  getMedianLatencyRatio,
  type PlacementRequest,
} from './placement/placement_cost.js';
import {type QueueItem, RequestQueue} from './queue/request_queue.js';
import {MeanDuration} from './targets/relative_latency.js';
import type {TargetResult} from './targets/target_health.js';
import {TargetState} from './targets/target_state.js';

/** A prompt that a target has processed, sent by this or another daemon. */
export interface ProcessedPrompt {
  readonly target: TargetId;
  readonly prompt: readonly PromptPart[];
}

/** A request to be assigned to a target. */
export interface DispatchRequest extends PlacementRequest {
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
}

/** Outcome of a request at its target. */
export interface DispatchResult {
  readonly result: TargetResult;
  /** Latency to compare with other targets; undefined if not comparable. */
  readonly latencySampleMs?: number;
}

/** Service, environment and callbacks of a dispatcher. */
export interface ServiceDispatcherOptions {
  readonly service: Service;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: Random;
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
/** Maximum fraction of a target's connections that one daemon uses. */
const maxConnectionShare = 0.8;
/** Assumed mean service time until a request has completed. */
const defaultServiceTimeMs = 100;
const minRetryAfterMs = 100;

interface QueuedRequest extends QueueItem {
  readonly request: DispatchRequest;
  readonly leased: Deferred<TargetLease>;
}

/** Slot in a target's window, held until the request ends. */
export class TargetLease {
  private isReleased = false;

  private constructor(
    /** Target to send the request to. */
    readonly target: TargetEntry,
    private readonly onReleased: (result: DispatchResult) => void,
  ) {}

  /**
   * Creates a lease.
   * @param target - Target to send the request to.
   * @param onReleased - Called once, with the outcome of the request.
   */
  static create(
    target: TargetEntry,
    onReleased: (result: DispatchResult) => void,
  ): TargetLease {
    return new TargetLease(target, onReleased);
  }

  /**
   * Releases the slot; later calls are ignored.
   * @param result - Outcome of the request.
   */
  release(result: DispatchResult): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onReleased(result);
  }
}

/** Assigns and queues the requests of one service on one daemon. */
export class ServiceDispatcher {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly queue = RequestQueue.create<QueuedRequest>();
  private readonly meanLatencies = new Map<string, MeanDuration>();
  private readonly serviceTime = MeanDuration.create();
  private service: Service;

  private constructor(private readonly options: ServiceDispatcherOptions) {
    this.service = options.service;
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
   * excluded, and `overloaded` if the expected wait exceeds the deadline, the
   * deadline passes or the caller aborts. The request has not run then.
   * @param request - Request to assign.
   * @param signal - Aborts the wait.
   */
  async acquire(
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<TargetLease> {
    this.recordPreviousPrompt(request);
    const target = this.chooseTarget(request);
    if (target !== undefined) return this.createLease(target, request);
    this.checkExpectedWait(request);
    return this.waitForLease(request, signal);
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
  ): Promise<TargetLease> {
    const {clock} = this.options;
    const leased = Deferred.create<TargetLease>();
    const nowMs = clock.nowMs();
    const {priority, finishByMs} = request;
    const item = {priority, finishByMs, arrivedAtMs: nowMs, request, leased};
    const abandon = () => {
      if (this.queue.remove(item)) leased.reject(this.createOverloadedError(0));
    };
    this.queue.add(item);
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
   * Throws `no_target` if every target is excluded, and `overloaded` if the
   * expected wait exceeds the deadline.
   */
  private checkExpectedWait(request: DispatchRequest): void {
    const candidates = [...this.targets.values()].filter(
      ({entry}) => !request.excluded.has(entry.id),
    );
    if (candidates.length === 0) throw this.createNoTargetError();
    const nowMs = this.options.clock.nowMs();
    const {priority, finishByMs} = request;
    const item = {priority, finishByMs, arrivedAtMs: nowMs};
    const ahead = this.queue.countAhead(item, nowMs) + 1;
    const totalWindow = candidates.length * this.getWindow(candidates[0]);
    const meanMs = this.serviceTime.valueMs ?? defaultServiceTimeMs;
    const waitMs = (ahead / Math.max(1, totalWindow)) * meanMs;
    if (nowMs + waitMs > request.deadlineMs) {
      throw this.createOverloadedError(waitMs);
    }
  }

  private chooseTarget(request: DispatchRequest): TargetState | undefined {
    const nowMs = this.options.clock.nowMs();
    const {dataCentre} = this.options;
    const open = [...this.targets.values()].filter(
      (target) =>
        !request.excluded.has(target.entry.id) &&
        target.inFlight < this.getWindow(target),
    );
    const usable = open.filter(({health, inFlight}) =>
      health.isUsable(nowMs, inFlight),
    );
    // If all targets fail, the fault may be this daemon's: ignore ejections.
    const candidates = usable.length > 0 ? usable : open;
    const medianLatencyRatio = getMedianLatencyRatio(candidates, nowMs);
    const context = {dataCentre, nowMs, medianLatencyRatio};
    let best: TargetState | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const target of candidates) {
      const costMs = estimateFinishMs(target, request, context);
      if (costMs >= bestMs) continue;
      best = target;
      bestMs = costMs;
    }
    return best;
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
    const startMs = this.options.clock.nowMs();
    target.inFlight += 1;
    target.promptCache.recordPrompt(request.prompt);
    return TargetLease.create(target.entry, (result) => {
      target.inFlight -= 1;
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
    if (target.health.recordResult(result, nowMs)) {
      this.options.onEjected?.(target.entry, result);
    }
    if (result !== 'answered') return;
    this.serviceTime.add(nowMs - startMs);
    if (latencySampleMs === undefined) return;
    const mean = this.getMeanLatency(request.kind);
    mean.add(latencySampleMs);
    target.relativeLatency.add(
      latencySampleMs,
      mean.valueMs ?? latencySampleMs,
      nowMs,
    );
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
    for (const item of this.queue.getOrdered(this.options.clock.nowMs())) {
      const target = this.chooseTarget(item.request);
      if (target === undefined) continue;
      this.queue.remove(item);
      item.leased.resolve(this.createLease(target, item.request));
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

function isSameInstance(left: TargetEntry, right: TargetEntry): boolean {
  return (
    left.startedAtMs === right.startedAtMs &&
    left.address.host === right.address.host &&
    left.address.port === right.address.port
  );
}
