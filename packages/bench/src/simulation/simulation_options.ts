/** Options and results of one simulated run. */
import type {Clock, Random, TargetId} from '@marigoldpost/common';
import type {PolicyScheduler, WaitingCall} from '@marigoldpost/scheduler';
import type {EngineModel} from '@marigoldpost/standins';
import type {ProgramPlan} from '../workloads/program_plan.js';
import type {Workload} from '../workloads/workload.js';

/** What only the oracle may look at. */
export interface OracleView {
  /** The engines themselves. */
  readonly engines: ReadonlyMap<TargetId, EngineModel>;
  /**
   * Gets the tokens that a call's root program has still to generate.
   * @param call - The call.
   */
  getRemainingTokens(call: WaitingCall): number;
}

/** What a policy's scheduler may be built from. */
export interface SchedulerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly cacheWeight: number;
  readonly oracle: OracleView;
}

/** A policy of the comparison. */
export interface BenchPolicy {
  readonly name: string;
  /** Whether it is a baseline, our own, a variant of ours, or the bound. */
  readonly role: 'baseline' | 'own' | 'variant' | 'bound';
  createScheduler(parts: SchedulerParts): PolicyScheduler;
}

/** One run. */
export interface SimulationOptions {
  readonly workload: Workload;
  readonly policy: BenchPolicy;
  readonly seed: number;
  readonly load: number;
  readonly durationMs?: number;
  /** Programs that arrive before this are not counted. */
  readonly warmUpMs?: number;
  /** Schedulers that each see their part of the traffic. */
  readonly instances?: number;
  readonly cacheWeight?: number;
  readonly eventGapRate?: number;
}

/** How one program went. */
export interface ProgramResult {
  readonly plan: ProgramPlan;
  readonly outcome: 'done' | 'refused' | 'gave_up';
  /** From the first call to the last answer, in milliseconds. */
  readonly latencyMs: number;
  /** Latency without the program's own pauses, in milliseconds. */
  readonly activeMs: number;
}

/** What one run yields. */
export interface SimulationResult {
  readonly programs: readonly ProgramResult[];
  /** Wasted over held block-seconds, from 0 to 1. */
  readonly wastedShare: number;
  /** Wasted block-seconds. */
  readonly wastedBlockSeconds: number;
  /** Cached over all prompt tokens, from 0 to 1. */
  readonly hitShare: number;
  /** Programs done within the counted span, whenever they arrived. */
  readonly doneInSpan: number;
  /** Length of the counted span, in milliseconds. */
  readonly countedMs: number;
}
