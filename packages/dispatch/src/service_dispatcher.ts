/** Gives the requests of one service to its targets. */
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
  getUsualPace,
  type PlacementRequest,
} from './placement/placement_cost.js';
import {type WaitingItem, WaitingQueue} from './queue/waiting_queue.js';
import {MeanDuration} from './targets/pace.js';
import type {TargetResult} from './targets/target_health.js';
import {TargetState} from './targets/target_state.js';

/** A prompt that a target has read, for whichever daemon. */
export interface SeenPrompt {
  readonly target: TargetId;
  readonly prompt: readonly PromptPart[];
}

/** A request that asks for a target. */
export interface DispatchRequest extends PlacementRequest {
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** When its program should be finished; infinite without such a wish. */
  readonly finishByMs: number;
  /** Time after which a target is of no use. */
  readonly giveUpAtMs: number;
  /** Targets that have already turned the request away or failed it. */
  readonly excluded: ReadonlySet<TargetId>;
  /** What the request continues; nothing when it begins a line. */
  readonly continues: SeenPrompt | undefined;
  /** Requests with this name take about equally long. */
  readonly kind: string;
}

/** How a request ended at its target. */
export interface DispatchResult {
  readonly result: TargetResult;
  /** Duration that is compared with other targets; nothing when not telling. */
  readonly paceMs?: number;
}

/** Options of a dispatcher. */
export interface ServiceDispatcherOptions {
  readonly service: Service;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: Random;
  /** Called when a target is left out after failures. */
  readonly onEjected?: (target: TargetEntry, result: TargetResult) => void;
}

/** Requests beyond an engine's slots wait here, where they can be ordered. */
const engineWindowFactor = 1;
/** A plain target gets a short queue of its own, so that it never idles. */
const plainWindowFactor = 2;
/** Share of a target's connections that one daemon uses at most. */
const connectionShare = 0.8;
/** Mean time of a request before any has ended. */
const defaultServiceMs = 100;
const minRetryAfterMs = 100;

interface Waiting extends WaitingItem {
  readonly request: DispatchRequest;
  readonly placed: Deferred<TargetLease>;
}

/** A place at a target, held until the request has ended there. */
export class TargetLease {
  private isReleased = false;

  private constructor(
    /** The target. */
    readonly target: TargetEntry,
    private readonly onReleased: (result: DispatchResult) => void,
  ) {}

  /**
   * Creates a lease.
   * @param target - The target.
   * @param onReleased - Called once, when the request has ended.
   */
  static create(
    target: TargetEntry,
    onReleased: (result: DispatchResult) => void,
  ): TargetLease {
    return new TargetLease(target, onReleased);
  }

  /**
   * Gives the place back; later calls are ignored.
   * @param result - How the request ended.
   */
  release(result: DispatchResult): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onReleased(result);
  }
}

/** Dispatcher of one service on one daemon. */
export class ServiceDispatcher {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly queue = WaitingQueue.create<Waiting>();
  private readonly means = new Map<string, MeanDuration>();
  private readonly serviceTime = MeanDuration.create();
  private service: Service;

  private constructor(private readonly options: ServiceDispatcherOptions) {
    this.service = options.service;
  }

  /**
   * Creates a dispatcher without targets.
   * @param options - The service.
   */
  static create(options: ServiceDispatcherOptions): ServiceDispatcher {
    return new ServiceDispatcher(options);
  }

  /** The service. */
  get id(): ServiceId {
    return this.service.id;
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Gets the targets. */
  getTargets(): IterableIterator<TargetState> {
    return this.targets.values();
  }

  /**
   * Gets the requests of this daemon that a target has.
   * @param target - The target.
   */
  getLoad(target: TargetId): number {
    return this.targets.get(target)?.inFlight ?? 0;
  }

  /**
   * Sets the service's terms.
   * @param service - The terms in force.
   */
  setService(service: Service): void {
    this.service = service;
  }

  /**
   * Sets the targets that may get requests.
   * @param entries - Their entries.
   */
  setTargets(entries: readonly TargetEntry[]): void {
    const ids = new Set(entries.map(({id}) => id));
    for (const id of this.targets.keys()) {
      if (!ids.has(id)) this.targets.delete(id);
    }
    for (const entry of entries) {
      const known = this.targets.get(entry.id);
      if (known !== undefined && isSameStart(known.entry, entry)) {
        known.entry = entry;
        continue;
      }
      const rank = this.options.random.next();
      const state = TargetState.create(entry, this.service.engine, rank);
      this.targets.set(entry.id, state);
    }
    this.placeWaiting();
  }

  /**
   * Waits for a place at a target. Throws `no_target` when there is none to
   * wait for, `overloaded` when the wait would be too long; the request has not
   * run then.
   * @param request - The request.
   * @param signal - Gives up.
   */
  async acquire(
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<TargetLease> {
    this.learnPrompt(request);
    const target = this.choose(request);
    if (target !== undefined) return this.lease(target, request);
    this.checkWait(request);
    return this.wait(request, signal);
  }

  /** Another daemon may have sent the line's earlier prompt. */
  private learnPrompt({continues}: DispatchRequest): void {
    if (continues === undefined) return;
    this.targets.get(continues.target)?.cache.notePrompt(continues.prompt);
  }

  private async wait(
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<TargetLease> {
    const {clock} = this.options;
    const placed = Deferred.create<TargetLease>();
    const nowMs = clock.nowMs();
    const {priority, finishByMs} = request;
    const item = {priority, finishByMs, arrivedAtMs: nowMs, request, placed};
    const giveUp = () => {
      if (this.queue.remove(item)) placed.reject(this.createOverloaded(0));
    };
    this.queue.add(item);
    const timer = clock.setTimer(request.giveUpAtMs - nowMs, giveUp);
    signal.addEventListener('abort', giveUp, {once: true});
    try {
      return await placed.promise;
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', giveUp);
    }
  }

  /** Turns a request away at once when it could not be served in time. */
  private checkWait(request: DispatchRequest): void {
    const candidates = [...this.targets.values()].filter(
      ({entry}) => !request.excluded.has(entry.id),
    );
    if (candidates.length === 0) throw this.createNoTarget();
    const nowMs = this.options.clock.nowMs();
    const {priority, finishByMs} = request;
    const item = {priority, finishByMs, arrivedAtMs: nowMs};
    const ahead = this.queue.countAhead(item, nowMs) + 1;
    const places = candidates.length * this.getWindow(candidates[0]);
    const meanMs = this.serviceTime.valueMs ?? defaultServiceMs;
    const waitMs = (ahead / Math.max(1, places)) * meanMs;
    if (nowMs + waitMs > request.giveUpAtMs) {
      throw this.createOverloaded(waitMs);
    }
  }

  private choose(request: DispatchRequest): TargetState | undefined {
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
    // Failures may be this daemon's own, so it never leaves out every target.
    const candidates = usable.length > 0 ? usable : open;
    const usualPace = getUsualPace(candidates, nowMs);
    const place = {dataCentre, nowMs, usualPace};
    let best: TargetState | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const target of candidates) {
      const costMs = estimateFinishMs(target, request, place);
      if (costMs >= bestMs) continue;
      best = target;
      bestMs = costMs;
    }
    return best;
  }

  /** Most requests that this daemon sends to a target at a time. */
  private getWindow(target: TargetState | undefined): number {
    if (target === undefined) return 0;
    const {slots} = target.entry;
    const {engine, maxConnections} = this.service;
    const factor =
      engine === undefined ? plainWindowFactor : engineWindowFactor;
    const connections = Math.floor(maxConnections * connectionShare);
    return Math.max(1, Math.min(slots * factor, connections));
  }

  private lease(target: TargetState, request: DispatchRequest): TargetLease {
    const startMs = this.options.clock.nowMs();
    target.inFlight += 1;
    target.cache.notePrompt(request.prompt);
    return TargetLease.create(target.entry, (result) => {
      target.inFlight -= 1;
      this.noteResult(target, request, result, startMs);
      this.placeWaiting();
    });
  }

  private noteResult(
    target: TargetState,
    request: DispatchRequest,
    {result, paceMs}: DispatchResult,
    startMs: number,
  ): void {
    const nowMs = this.options.clock.nowMs();
    if (target.health.noteResult(result, nowMs)) {
      this.options.onEjected?.(target.entry, result);
    }
    if (result !== 'answered') return;
    this.serviceTime.add(nowMs - startMs);
    if (paceMs === undefined) return;
    const mean = this.getMean(request.kind);
    mean.add(paceMs);
    target.pace.add(paceMs, mean.valueMs ?? paceMs, nowMs);
  }

  private getMean(kind: string): MeanDuration {
    const known = this.means.get(kind);
    if (known !== undefined) return known;
    const added = MeanDuration.create();
    this.means.set(kind, added);
    return added;
  }

  private placeWaiting(): void {
    if (this.queue.size === 0) return;
    for (const item of this.queue.getOrdered(this.options.clock.nowMs())) {
      const target = this.choose(item.request);
      if (target === undefined) continue;
      this.queue.remove(item);
      item.placed.resolve(this.lease(target, item.request));
    }
  }

  private createNoTarget(): MarigoldpostError {
    const message = `service "${this.id}" has no target for the request`;
    return MarigoldpostError.create('no_target', message, {
      retryAfterMs: minRetryAfterMs,
    });
  }

  private createOverloaded(waitMs: number): MarigoldpostError {
    const message = `service "${this.id}" cannot serve the request in time`;
    return MarigoldpostError.create('overloaded', message, {
      retryAfterMs: Math.max(minRetryAfterMs, waitMs),
    });
  }
}

function isSameStart(left: TargetEntry, right: TargetEntry): boolean {
  return (
    left.startedAtMs === right.startedAtMs &&
    left.address.host === right.address.host &&
    left.address.port === right.address.port
  );
}
