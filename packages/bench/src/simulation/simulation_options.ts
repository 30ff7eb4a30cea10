/** Options and results of one simulation. */
import type {Clock, Random, TargetId} from '@marigoldpost/common';
import type {PolicyScheduler, WaitingCall} from '@marigoldpost/scheduler';
import type {EngineModel} from '@marigoldpost/standins';
import type {ProgramPlan} from '../workloads/program_plan.js';
import type {Workload} from '../workloads/workload.js';

/** Simulation state that only the oracle policy may read. */
export interface OracleView {
  /** Engines by target id, with their exact caches. */
  readonly engines: ReadonlyMap<TargetId, EngineModel>;
  /**
   * Gets the number of prompt and output tokens that a call's root program
   * still adds after the prompt of the call.
   * @param call - Waiting call.
   */
  getRemainingTokens(call: WaitingCall): number;
}

/** Dependencies that a policy may use to create its scheduler. */
export interface SchedulerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly cacheWeight: number;
  readonly oracle: OracleView;
}

/** Policy of the comparison. */
export interface BenchPolicy {
  readonly name: string;
  /**
   * Baseline, the project's own policy, a variant of it, or the oracle bound.
   */
  readonly role: 'baseline' | 'own' | 'variant' | 'bound';
  createScheduler(parts: SchedulerParts): PolicyScheduler;
}

/** Options of one simulation. */
export interface SimulationOptions {
  readonly workload: Workload;
  readonly policy: BenchPolicy;
  readonly seed: number;
  readonly load: number;
  readonly durationMs?: number;
  /** Warm-up, whose arrivals are not counted, in ms; default: 120000. */
  readonly warmUpMs?: number;
  /** Number of schedulers that share the traffic; default: 4. */
  readonly instances?: number;
  readonly cacheWeight?: number;
  readonly eventGapRate?: number;
}

/** Outcome and latency of one program. */
export interface ProgramResult {
  readonly plan: ProgramPlan;
  readonly outcome: 'done' | 'refused' | 'gave_up';
  /** Time from the first call to the last answer, in milliseconds. */
  readonly latencyMs: number;
  /** Latency without the program's own pauses, in milliseconds. */
  readonly activeMs: number;
}

/** Results of one simulation. */
export interface SimulationResult {
  readonly programs: readonly ProgramResult[];
  /** Ratio of wasted to held block-seconds, from 0 to 1. */
  readonly wastedShare: number;
  /** Block-seconds of idle blocks that were not used again. */
  readonly wastedBlockSeconds: number;
  /** Ratio of cached to all prompt tokens, from 0 to 1. */
  readonly hitShare: number;
  /** Programs completed in the measured interval, whenever they arrived. */
  readonly doneInSpan: number;
  /** Length of the measured interval, in milliseconds. */
  readonly countedMs: number;
}
