/**
 * Places requests by what they are likely to cost and by what each target still
 * has to do.
 *
 * Load pattern: more daemons than slots of a target, targets of one service that
 * differ in speed by more than two to one, and requests that look alike but cost
 * very different amounts of work. Reports of the load are some hundred
 * milliseconds old, so daemons that all choose the target that looks best would
 * overload it: each compares a few targets chosen at random.
 */
import type {Clock, DataCentreId, Random} from '@marigoldpost/common';
import type {PromptPart} from '@marigoldpost/sites';
import {SharedParts} from '../cost/shared_parts.js';
import {type RequestSize, WorkModel} from '../cost/work_model.js';
import type {OtherLoad, SharedLoads} from '../load/shared_loads.js';
import type {DispatchResult} from '../targets/target_lease.js';
import type {TargetState} from '../targets/target_state.js';

/** Targets chosen at random among those that have most of the prompt. */
const holderChoices = 2;
/** Targets chosen at random among all. */
const randomChoices = 2;
/** Part of the most cached tokens from which on a target has most of a prompt. */
const holderShare = 0.9;
/** Weight of a target of another data centre among these. */
const remoteWeight = 0.2;
/** Delay from each running request: longer decode steps and its prefill. */
const contentionMs = 6;
/**
 * Part of a prefill's time by which it delays each request that the target runs,
 * since engines interleave both.
 */
const prefillDelayShare = 0.5;
/**
 * Part of the slots in use from which on a wait is expected: reports are late, and
 * others place requests by them at the same moment.
 */
const fullShare = 0.75;
/** Latency and price of a whole prompt between data centres. */
const remotePromptPenaltyMs = 30;
/** Latency and price of a short request between data centres. */
const remoteCallPenaltyMs = 6;
/** Mean time in which requests in flight are replaced by others. */
const turnoverMs = 350;
/** Bounds of the relative latency of a target. */
const minRatio = 0.3;
const maxRatio = 10;

/** A request with what is known of its cost. */
export interface LearnedRequest extends RequestSize {
  readonly prompt: readonly PromptPart[];
  /** Whether it begins a chain. */
  readonly isFirst: boolean;
}

/** Own data centre, clock and reports. */
export interface LearnedPlacementOptions {
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: Random;
  readonly loads: SharedLoads;
}

/** Estimate for one target, for decisions and for their explanation. */
export interface TargetEstimate {
  /** Time until the request would have ended, with penalties. */
  readonly finishMs: number;
  readonly workMs: number;
  readonly waitMs: number;
  /** Requests in flight at the target, of all daemons. */
  readonly running: number;
  readonly latencyRatio: number;
  readonly uncachedTokens: number;
}

/** Request that a target is running. */
export interface TrackedRun {
  /** Must be called once, when the request has ended. */
  readonly end: (result: DispatchResult) => void;
}

/** Selects targets and estimates when they would finish a request. */
export class LearnedPlacement {
  readonly model = WorkModel.create();
  private readonly sharedParts = SharedParts.create();

  private constructor(private readonly options: LearnedPlacementOptions) {}

  /**
   * Creates a placement that has learned nothing.
   * @param options - Own data centre, clock and reports.
   */
  static create(options: LearnedPlacementOptions): LearnedPlacement {
    return new LearnedPlacement(options);
  }

  /**
   * Whether the load of enough targets is known; otherwise the own requests
   * decide, as on a site with few daemons.
   * @param targets - Targets that may receive a request.
   */
  hasReports(targets: readonly TargetState[]): boolean {
    const nowMs = this.options.clock.nowMs();
    return targets.some(
      ({entry}) =>
        entry.dataCentre === this.options.dataCentre &&
        this.options.loads.get(entry, nowMs) !== undefined,
    );
  }

  /**
   * Counts a request in the backlog of its target until it ends, and learns from
   * it then.
   * @param target - Target that receives it.
   * @param request - Request with its prompt, which the target has not yet.
   */
  track(target: TargetState, request: LearnedRequest): TrackedRun {
    const {clock} = this.options;
    const {prompt, isFirst, kind} = request;
    const startMs = clock.nowMs();
    const uncachedTokens = this.getUncachedTokens(target, prompt);
    const workMs = this.estimateWorkMs(target, request);
    const entry = target.backlog.add(workMs, startMs);
    if (isFirst) this.sharedParts.recordChain(prompt);
    return {
      end: ({result, run}) => {
        target.backlog.remove(entry);
        if (result !== 'answered') return;
        if (run !== undefined) {
          this.model.recordRun({...request, ...run, uncachedTokens});
        } else if (prompt.length === 0) {
          this.model.recordCall(kind, clock.nowMs() - startMs);
        }
      },
    };
  }

  /**
   * Selects the targets to compare: the one that has most of the prompt, and a
   * few at random, faster and larger ones more often.
   * @param targets - Targets that may receive the request.
   * @param request - Request to place.
   */
  selectTargets(
    targets: readonly TargetState[],
    {prompt}: LearnedRequest,
  ): TargetState[] {
    if (targets.length <= randomChoices + holderChoices) return [...targets];
    const selected = new Set<TargetState>();
    this.draw(findHolders(targets, prompt), holderChoices, selected);
    this.draw(targets, randomChoices, selected);
    return [...selected];
  }

  /**
   * Gets the probability that `selectTargets` selects none of some targets.
   * Draws nothing.
   * @param targets - Targets that may receive the request.
   * @param request - Request to place.
   * @param missed - Some of these targets.
   */
  getMissProbability(
    targets: readonly TargetState[],
    {prompt}: LearnedRequest,
    missed: ReadonlySet<TargetState>,
  ): number {
    if (missed.size === 0) return 1;
    if (targets.length <= randomChoices + holderChoices) return 0;
    const ofHolders = this.getDrawMiss(findHolders(targets, prompt), missed);
    const ofAll = this.getDrawMiss(targets, missed);
    return ofHolders ** holderChoices * ofAll ** randomChoices;
  }

  /** Probability that one draw yields none of some targets. */
  private getDrawMiss(
    targets: readonly TargetState[],
    missed: ReadonlySet<TargetState>,
  ): number {
    let total = 0;
    let kept = 0;
    for (const target of targets) {
      const weight = this.getWeight(target);
      total += weight;
      if (!missed.has(target)) kept += weight;
    }
    return total === 0 ? 1 : kept / total;
  }

  /** Adds targets at random, larger and nearer ones more often. */
  private draw(
    targets: readonly TargetState[],
    count: number,
    selected: Set<TargetState>,
  ): void {
    const weights = targets.map((target) => this.getWeight(target));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (let drawn = 0; drawn < count; drawn++) {
      let left = this.options.random.next() * total;
      const index = weights.findIndex((weight) => (left -= weight) < 0);
      const target = targets[index] ?? targets.at(-1);
      if (target !== undefined) selected.add(target);
    }
  }

  /**
   * Estimates when a target would have finished a request.
   * @param target - Target to estimate for.
   * @param request - Request to place.
   * @param meanUse - Mean of the requests in flight by slots of all targets.
   */
  estimate(
    target: TargetState,
    request: LearnedRequest,
    meanUse: number,
  ): TargetEstimate {
    const nowMs = this.options.clock.nowMs();
    const {slots, dataCentre} = target.entry;
    const others = this.options.loads.get(target.entry, nowMs);
    const running = target.inFlight + predictOthers(others, meanUse * slots);
    const latencyRatio = this.getRatio(target, others);
    const isEngine = request.prompt.length > 0;
    const uncachedTokens = this.getUncachedTokens(target, request.prompt);
    const workMs = isEngine
      ? this.model.estimateWorkMs(request, uncachedTokens) +
        Math.min(running, slots) * this.getDelayMs(uncachedTokens)
      : this.model.getCallMs(request.kind) * (1 + running / slots);
    const leftMs =
      target.backlog.getRemainingMs(nowMs) +
      predictWork(others, running, workMs);
    const ahead = Math.max(0, running + 1 - slots * fullShare);
    const meanLeftMs = running > 0 ? Math.max(leftMs / running, 1) : 0;
    const waitMs = (ahead / slots) * meanLeftMs * 2;
    const isRemote = dataCentre !== this.options.dataCentre;
    const penaltyMs = isEngine ? remotePromptPenaltyMs : remoteCallPenaltyMs;
    const finishMs =
      (waitMs + workMs) * latencyRatio + (isRemote ? penaltyMs : 0);
    return {
      finishMs,
      workMs,
      waitMs,
      running,
      latencyRatio,
      uncachedTokens,
    };
  }

  /**
   * Gets the mean of the requests in flight by slots.
   * @param targets - Targets of the service.
   */
  getMeanUse(targets: readonly TargetState[]): number {
    const nowMs = this.options.clock.nowMs();
    let requests = 0;
    let slots = 0;
    for (const {entry} of targets) {
      const others = this.options.loads.get(entry, nowMs);
      if (others === undefined) continue;
      requests += others.requests;
      slots += entry.slots;
    }
    return slots === 0 ? 0 : requests / slots;
  }

  /**
   * Estimates the work of a request at a target, in milliseconds.
   * @param target - Target that receives it.
   * @param request - Request that is placed.
   */
  private estimateWorkMs(target: TargetState, request: LearnedRequest): number {
    if (request.prompt.length === 0) return this.model.getCallMs(request.kind);
    const uncachedTokens = this.getUncachedTokens(target, request.prompt);
    const workMs = this.model.estimateWorkMs(request, uncachedTokens);
    const others = this.options.loads.get(
      target.entry,
      this.options.clock.nowMs(),
    );
    return workMs * this.getRatio(target, others);
  }

  /**
   * Estimates the prompt tokens that a target has to read.
   * @param target - Target that receives the prompt.
   * @param prompt - Parts of the prompt, in order.
   */
  private getUncachedTokens(
    target: TargetState,
    prompt: readonly PromptPart[],
  ): number {
    let tokens = 0;
    for (const part of prompt) tokens += part.tokens;
    const known = target.promptCache.getCachedTokens(prompt);
    return tokens - this.sharedParts.estimateCachedTokens(prompt, known);
  }

  /** Delay by and of each request that a target runs, in milliseconds. */
  private getDelayMs(uncachedTokens: number): number {
    const prefillMs = uncachedTokens * this.model.prefillMsPerToken;
    return contentionMs + prefillMs * prefillDelayShare;
  }

  private getWeight({entry: {slots, dataCentre}}: TargetState): number {
    const isRemote = dataCentre !== this.options.dataCentre;
    return slots * (isRemote ? remoteWeight : 1);
  }

  /** Latency of a target relative to its peers, of all daemons if known. */
  private getRatio(target: TargetState, others: OtherLoad | undefined): number {
    const nowMs = this.options.clock.nowMs();
    const ratio =
      others?.latencyRatio ?? target.relativeLatency.getRatio(nowMs);
    return Math.min(maxRatio, Math.max(minRatio, ratio));
  }
}

/** Finds the targets that have most of a prompt; none if none has any. */
function findHolders(
  targets: readonly TargetState[],
  prompt: readonly PromptPart[],
): TargetState[] {
  const cached = targets.map((target) =>
    target.promptCache.getCachedTokens(prompt),
  );
  const mostTokens = Math.max(0, ...cached);
  if (mostTokens === 0) return [];
  return targets.filter(
    (_target, index) => (cached[index] ?? 0) >= mostTokens * holderShare,
  );
}

/**
 * Predicts the requests of other daemons: as time passes, what a report told of
 * one target says less than the mean of all. Without a report, it is the mean:
 * targets of a data centre that does not report would otherwise seem free, and all
 * daemons would choose them at once.
 */
function predictOthers(others: OtherLoad | undefined, mean: number): number {
  if (others === undefined) return mean;
  const kept = Math.exp(-others.ageMs / turnoverMs);
  return mean + (others.requests - mean) * kept;
}

/** Predicts the work left; without a report, requests are half done on average. */
function predictWork(
  others: OtherLoad | undefined,
  running: number,
  workMs: number,
): number {
  if (others === undefined) return (running * workMs) / 2;
  if (others.requests === 0) return 0;
  return (others.workMs / others.requests) * Math.max(0, running);
}
