/** Scheduler with one queue per service and exchangeable policies. */
import {
  type CallId,
  type Clock,
  type DataCentreId,
  MarigoldpostError,
  type ProgramId,
  type Random,
  type ServiceId,
  type TargetId,
} from '@marigoldpost/common';
import type {CacheEvent, EngineLoad} from '@marigoldpost/targets';
import {blockTokens} from '../cache/block_hashes.js';
import {CacheIndex, type CacheIndexOptions} from '../cache/cache_index.js';
import {
  type CacheAction,
  CallScheduler,
  type CallUsage,
  type Dispatch,
  type SchedulerTarget,
  type WaitingCall,
} from '../call_scheduler.js';
import {ExpectedCostHold} from '../hold/expected_cost_hold.js';
import type {HoldPolicy} from '../hold/hold_policy.js';
import {AttainedServiceOrder} from '../order/attained_service_order.js';
import type {OrderPolicy} from '../order/order_policy.js';
import {ExpectedFinishPlacement} from '../placement/expected_finish_placement.js';
import {LeastInFlightPlacement} from '../placement/least_in_flight_placement.js';
import type {
  Placement,
  PlacementPolicy,
} from '../placement/placement_policy.js';
import type {TargetState} from '../targets/target_state.js';
import type {WindowOptions} from '../targets/target_window.js';
import {
  type AdmissionOptions,
  defaultAdmissionOptions,
  isAdmissible,
} from './admission.js';
import type {QueuedCall} from './call_queue.js';
import {ServicePool} from './service_pool.js';
import {TargetTable} from './target_table.js';

/** Environment and policies of a scheduler; each policy has a default. */
export interface PolicySchedulerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  /** Weight from lowest latency (0) to least idle cache (1). */
  readonly cacheWeight: number;
  readonly order?: OrderPolicy;
  readonly placement?: PlacementPolicy;
  readonly hold?: HoldPolicy;
  readonly cacheIndex?: Partial<CacheIndexOptions>;
  readonly window?: Partial<WindowOptions>;
  readonly admission?: Partial<AdmissionOptions>;
}

interface RunningCall {
  readonly call: WaitingCall;
  readonly state: TargetState;
  readonly uncachedTokens: number;
  readonly batchSize: number;
  readonly startedAtMs: number;
  firstTokenAtMs: number | undefined;
}

const defaultWindowOptions: WindowOptions = {initial: 4, min: 2, max: 64};
/** Maximum calls to skip per service as their best target has no room. */
const maxSkippedCalls = 16;
/** Retry interval while skipped calls wait for a better target. */
const skippedRetryMs = 100;

/** Applies the order, placement and hold policies to the calls of a daemon. */
export class PolicyScheduler extends CallScheduler {
  private readonly pools = new Map<ServiceId, ServicePool>();
  private readonly running = new Map<CallId, RunningCall>();
  /** Block hashes of each program's last prompt. */
  private readonly lastBlocks = new Map<ProgramId, readonly string[]>();
  /** Ended programs whose release actions have not been taken yet. */
  private readonly endedPrograms = new Set<ProgramId>();
  private readonly serviceOfCall = new Map<CallId, ServiceId>();
  private readonly plainPlacement: PlacementPolicy;
  private cachedBlocks = new Uint32Array(0);
  private nextSequence = 0;
  private hasSkippedCalls = false;

  private constructor(
    private readonly clock: Clock,
    private readonly order: OrderPolicy,
    private readonly placement: PlacementPolicy,
    private readonly hold: HoldPolicy,
    private readonly index: CacheIndex,
    private readonly table: TargetTable,
    private readonly admission: AdmissionOptions,
    dataCentre: DataCentreId,
  ) {
    super();
    this.plainPlacement = LeastInFlightPlacement.create(dataCentre);
  }

  /**
   * Creates a scheduler without targets.
   * @param options - Environment, cache weight and policies.
   */
  static create(options: PolicySchedulerOptions): PolicyScheduler {
    const {clock, random, dataCentre, cacheWeight} = options;
    const window = {...defaultWindowOptions, ...options.window};
    return new PolicyScheduler(
      clock,
      options.order ?? AttainedServiceOrder.create(),
      options.placement ?? ExpectedFinishPlacement.create({random, dataCentre}),
      options.hold ?? ExpectedCostHold.create({clock, options: {cacheWeight}}),
      CacheIndex.create(options.cacheIndex),
      TargetTable.create(window),
      {...defaultAdmissionOptions, ...options.admission},
      dataCentre,
    );
  }

  override addCall(call: WaitingCall): void {
    const nowMs = this.clock.nowMs();
    const pool = this.getPool(call.service);
    const waitMs = pool.getExpectedWaitMs();
    if (!isAdmissible(call, waitMs, nowMs, this.admission)) {
      throw createOverloadedError(call, waitMs);
    }
    const rank = this.order.getRank(call, nowMs);
    const sequence = this.nextSequence++;
    pool.queue.addCall({call, rank, sequence, addedAtMs: nowMs});
    this.serviceOfCall.set(call.callId, call.service);
  }

  override removeCall(callId: CallId): void {
    const service = this.serviceOfCall.get(callId);
    if (service === undefined) return;
    this.serviceOfCall.delete(callId);
    if (this.getPool(service).queue.removeCall(callId)) return;
    this.removeRunning(callId);
  }

  override takeDispatches(): readonly Dispatch[] {
    const dispatches: Dispatch[] = [];
    this.hasSkippedCalls = false;
    for (const pool of this.pools.values()) this.dispatchPool(pool, dispatches);
    return dispatches;
  }

  override recordFirstToken(callId: CallId): void {
    const running = this.running.get(callId);
    if (running === undefined || running.firstTokenAtMs !== undefined) return;
    running.firstTokenAtMs = this.clock.nowMs();
    running.state.removePrefill(running.uncachedTokens);
  }

  override recordFinished(callId: CallId, usage: CallUsage): void {
    this.recordFirstToken(callId);
    const running = this.removeRunning(callId);
    this.serviceOfCall.delete(callId);
    if (running === undefined) return;
    this.order.recordUsage(running.call, usage);
    this.updateEstimates(running, usage);
  }

  override recordProgramEnd(program: ProgramId): void {
    this.order.removeProgram(program);
    this.hold.recordProgramEnd(program);
    this.endedPrograms.add(program);
  }

  override setTargets(targets: readonly SchedulerTarget[]): void {
    const closed = this.table.setTargets(targets);
    const groups = this.table.groupByService();
    for (const service of groups.keys()) this.getPool(service);
    for (const [service, pool] of this.pools) {
      pool.setTargets(groups.get(service) ?? []);
    }
    for (const state of closed) this.moveCacheFrom(state, groups);
  }

  override updateLoad(target: TargetId, load: EngineLoad): void {
    const state = this.table.getState(target);
    if (state === undefined) return;
    state.updateLoad(load);
    this.index.setCapacity(state.slot, load.totalBlocks);
  }

  override applyCacheEvents(
    target: TargetId,
    events: readonly CacheEvent[],
  ): void {
    const state = this.table.getState(target);
    if (state === undefined || !this.placement.usesCacheIndex) return;
    this.index.addEvents(state.slot, events);
  }

  override takeCacheActions(): readonly CacheAction[] {
    const actions = this.hold.takeActions();
    for (const {kind, program, target} of actions) {
      const state = this.table.getState(target);
      const blocks = this.lastBlocks.get(program);
      if (kind !== 'release' || state === undefined || !blocks) continue;
      this.index.removeReleasedBlocks(state.slot, program, blocks);
    }
    for (const program of this.endedPrograms) this.lastBlocks.delete(program);
    this.endedPrograms.clear();
    return actions;
  }

  override getNextWakeMs(): number | undefined {
    const holdMs = this.hold.getNextDueMs();
    if (!this.hasSkippedCalls) return holdMs;
    return Math.min(holdMs ?? Infinity, this.clock.nowMs() + skippedRetryMs);
  }

  override getQueueLength(): number {
    let length = 0;
    for (const pool of this.pools.values()) length += pool.queue.size;
    return length;
  }

  private dispatchPool(pool: ServicePool, dispatches: Dispatch[]): void {
    const skipped: QueuedCall[] = [];
    while (skipped.length < maxSkippedCalls && pool.hasRoom) {
      const queued = pool.queue.takeFirst();
      if (queued === undefined) break;
      const dispatch = this.tryDispatch(pool, queued);
      if (dispatch === undefined) skipped.push(queued);
      else dispatches.push(dispatch);
    }
    if (pool.queue.size > 0 && !pool.hasRoom) pool.recordWindowsFull();
    for (const queued of skipped) pool.queue.addCall(queued);
    if (skipped.length > 0) this.hasSkippedCalls = true;
  }

  private tryDispatch(
    pool: ServicePool,
    queued: QueuedCall,
  ): Dispatch | undefined {
    const {call} = queued;
    const placement = this.choosePlacement(pool, queued);
    if (placement === undefined) return undefined;
    const {target: state, terms} = placement;
    const cached = (this.cachedBlocks[state.slot] ?? 0) * blockTokens;
    const uncachedTokens = Math.max(0, call.promptTokens - cached);
    state.addCall(call.isExclusive, uncachedTokens);
    this.running.set(call.callId, {
      call,
      state,
      uncachedTokens,
      batchSize: state.expectedBatch,
      startedAtMs: this.clock.nowMs(),
      firstTokenAtMs: undefined,
    });
    if (call.model !== undefined) this.recordCacheUse(call, state);
    return {callId: call.callId, target: state.id, terms};
  }

  private choosePlacement(
    pool: ServicePool,
    {call, addedAtMs}: QueuedCall,
  ): Placement | undefined {
    const isPlain = call.model === undefined;
    const placement = isPlain ? this.plainPlacement : this.placement;
    this.countCachedBlocks(call, placement);
    return placement.choose(call, pool.getCandidates(call), {
      nowMs: this.clock.nowMs(),
      addedAtMs,
      estimates: pool.estimates,
      cachedBlocks: this.cachedBlocks,
    });
  }

  private countCachedBlocks(
    call: WaitingCall,
    {usesCacheIndex}: PlacementPolicy,
  ): void {
    const {slotCount} = this.table;
    if (this.cachedBlocks.length < slotCount) {
      this.cachedBlocks = new Uint32Array(slotCount);
    }
    if (!usesCacheIndex) this.cachedBlocks.fill(0);
    else this.index.countCachedBlocks(call.blockHashes, this.cachedBlocks);
  }

  private recordCacheUse(call: WaitingCall, state: TargetState): void {
    const {program, blockHashes} = call;
    if (this.placement.usesCacheIndex) {
      this.index.addDispatchedBlocks(state.slot, program, blockHashes);
    }
    this.lastBlocks.set(program, blockHashes);
    this.hold.recordCallStart(program, state.id);
  }

  private removeRunning(callId: CallId): RunningCall | undefined {
    const running = this.running.get(callId);
    if (running === undefined) return undefined;
    this.running.delete(callId);
    const {call, state, firstTokenAtMs, uncachedTokens} = running;
    if (firstTokenAtMs === undefined) state.removePrefill(uncachedTokens);
    state.removeCall();
    if (call.model !== undefined) this.hold.recordCallEnd(call.program);
    return running;
  }

  private updateEstimates(running: RunningCall, usage: CallUsage): void {
    const {call, startedAtMs, firstTokenAtMs, batchSize} = running;
    const nowMs = this.clock.nowMs();
    const {estimates} = this.getPool(call.service);
    if (call.model === undefined) {
      estimates.addCallTime(nowMs - startedAtMs);
      return;
    }
    estimates.addObservation({
      uncachedTokens: usage.promptTokens - usage.cachedTokens,
      completionTokens: usage.completionTokens,
      batchSize,
      firstTokenMs: (firstTokenAtMs ?? nowMs) - startedAtMs,
      totalMs: nowMs - startedAtMs,
    });
  }

  private moveCacheFrom(
    closed: TargetState,
    groups: ReadonlyMap<ServiceId, readonly TargetState[]>,
  ): void {
    this.index.removeSlot(closed.slot);
    const peers = groups.get(closed.target.service) ?? [];
    const open = peers.filter((peer) => peer.target.isOpen);
    open.sort((left, right) => left.expectedBatch - right.expectedBatch);
    this.hold.recordTargetClosed(closed.id, open[0]?.id);
  }

  private getPool(service: ServiceId): ServicePool {
    let pool = this.pools.get(service);
    if (pool === undefined) {
      pool = ServicePool.create();
      this.pools.set(service, pool);
    }
    return pool;
  }
}

function createOverloadedError(
  call: WaitingCall,
  waitMs: number,
): MarigoldpostError {
  const wait = `about ${Math.round(waitMs)} ms`;
  return MarigoldpostError.create(
    'overloaded',
    `service "${call.service}" has an expected wait of ${wait}`,
    {retryAfterMs: Math.ceil(waitMs)},
  );
}
