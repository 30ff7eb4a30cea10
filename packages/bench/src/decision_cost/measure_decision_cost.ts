/** Measures CPU time and memory of decisions, also beyond today's sizes. */
import {
  type CallId,
  type ProgramId,
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {PolicyScheduler, type WaitingCall} from '@marigoldpost/scheduler';
import {benchModel} from '../simulation/program_run.js';
import {benchDataCentre} from '../simulation/run_simulation.js';
import {getMean, getQuantile} from '../utils/statistics.js';
import {getCollectedHeapBytes} from '../utils/usage_meter.js';

/** Number of targets, programs and timed decisions. */
export interface DecisionCostOptions {
  readonly targets: number;
  readonly programs: number;
  /** Number of timed decisions; default: 5,000. */
  readonly decisions?: number;
  /** Blocks per prompt; default: 80. */
  readonly promptBlocks?: number;
}

/** Cost of a decision: adding a call and choosing its target. */
export interface DecisionCost {
  readonly targets: number;
  readonly programs: number;
  readonly meanUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
  /** Heap growth while the programs were added, in bytes. */
  readonly heapBytes: number;
}

const service = toId<ServiceId>('llm');
const defaultDecisions = 5_000;
const defaultPromptBlocks = 80;
const sharedBlocks = 16;
const tokensPerBlock = 64;
const usPerMs = 1_000;

/**
 * Measures decisions on the system clock; figures vary between runs.
 * @param options - Sizes to measure.
 */
export function measureDecisionCost(
  options: DecisionCostOptions,
): DecisionCost {
  const {targets, programs} = options;
  const heapBefore = getCollectedHeapBytes();
  const fixture = DecisionFixture.create(options);
  for (let program = 0; program < programs; program += 1) fixture.run(program);
  const heapBytes = getCollectedHeapBytes() - heapBefore;
  const timesUs: number[] = [];
  const decisions = options.decisions ?? defaultDecisions;
  for (let i = 0; i < decisions; i += 1) {
    timesUs.push(fixture.run((i * 7_919) % programs));
  }
  return {
    targets,
    programs,
    meanUs: getMean(timesUs),
    p50Us: getQuantile(timesUs, 0.5),
    p99Us: getQuantile(timesUs, 0.99),
    heapBytes,
  };
}

class DecisionFixture {
  private nextCall = 0;

  private constructor(
    private readonly scheduler: PolicyScheduler,
    private readonly clock: VirtualClock,
    private readonly promptBlocks: number,
  ) {}

  static create(options: DecisionCostOptions): DecisionFixture {
    const clock = VirtualClock.create();
    const scheduler = PolicyScheduler.create({
      clock,
      random: SeededRandom.create(1),
      dataCentre: benchDataCentre,
      cacheWeight: 0.5,
    });
    const {targets, promptBlocks = defaultPromptBlocks} = options;
    scheduler.setTargets(
      Array.from({length: targets}, (_unused, index) => ({
        id: toId<TargetId>(`t${index}`),
        service,
        dataCentre: benchDataCentre,
        models: [benchModel],
        isOpen: true,
      })),
    );
    return new DecisionFixture(scheduler, clock, promptBlocks);
  }

  /** Runs one call of a program and gets the decision's duration in µs. */
  run(program: number): number {
    const call = this.createCall(program);
    this.clock.skip(1);
    const startMs = performance.now();
    this.scheduler.addCall(call);
    this.scheduler.takeDispatches();
    const tookMs = performance.now() - startMs;
    this.scheduler.recordFinished(call.callId, {
      promptTokens: call.promptTokens,
      cachedTokens: 0,
      completionTokens: 100,
    });
    return tookMs * usPerMs;
  }

  private createCall(index: number): WaitingCall {
    const program = toId<ProgramId>(`dc.0.p${index}`);
    const {promptBlocks} = this;
    const blockHashes = Array.from({length: promptBlocks}, (_unused, block) =>
      block < sharedBlocks ? `shared${block}` : `p${index}.${block}`,
    );
    return {
      callId: toId<CallId>(`c${this.nextCall++}`),
      program,
      rootProgram: program,
      service,
      model: benchModel,
      callClass: 'normal',
      promptTokens: promptBlocks * tokensPerBlock,
      maxTokens: 200,
      blockHashes,
      deadlineMs: Infinity,
      excludedTargets: new Set(),
      isExclusive: false,
      turnIndex: 1,
    };
  }
}
