/** Processor time and memory of decisions, beyond today's sizes. */
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

/** Sizes to measure. */
export interface DecisionCostOptions {
  readonly targets: number;
  readonly programs: number;
  /** Decisions to time; 5,000 by default. */
  readonly decisions?: number;
  /** Blocks of a prompt; 80 by default. */
  readonly promptBlocks?: number;
}

/** Cost of a decision: adding a call, choosing its target, noting its end. */
export interface DecisionCost {
  readonly targets: number;
  readonly programs: number;
  readonly meanUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
  /** Growth of the heap while the programs were taken in, in bytes. */
  readonly heapBytes: number;
}

const service = toId<ServiceId>('llm');
const defaultDecisions = 5_000;
const defaultPromptBlocks = 80;
const sharedBlocks = 16;
const tokensPerBlock = 64;
const usPerMs = 1_000;

/**
 * Times decisions on the machine's own clock; figures vary between runs.
 * @param options - Sizes.
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

  /** Runs one call of a program; returns the decision's time in µs. */
  run(program: number): number {
    const call = this.createCall(program);
    this.clock.skip(1);
    const startMs = performance.now();
    this.scheduler.addCall(call);
    this.scheduler.takeDispatches();
    const tookMs = performance.now() - startMs;
    this.scheduler.noteFinished(call.callId, {
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
      isAlone: false,
      turnIndex: 1,
    };
  }
}
