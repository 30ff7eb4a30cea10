/** Base class of workloads: services, kinds of programs and arrivals. */
import {type Random, SeededRandom, type ServiceId} from '@marigoldpost/common';
import type {EngineModelOptions} from '@marigoldpost/standins';
import {drawExponential} from './distributions.js';
import type {Arrival, ProgramPlan} from './program_plan.js';

/** Service of model engines, with the programs that start at it. */
export interface BenchService {
  readonly id: ServiceId;
  readonly engines: number;
  /** Draws a program that starts at this service. */
  readonly drawProgram: (random: Random) => ProgramPlan;
}

/** Seed, load and duration of a run. */
export interface ArrivalOptions {
  readonly seed: number;
  /** Ratio of offered work to the engines' capacity. */
  readonly load: number;
  /** Duration of the arrivals, in milliseconds. */
  readonly durationMs: number;
}

/** Time before 0 at which the earliest programs of a run arrive. */
const historyMs = 900_000;
const calibrationSeed = 71;
const calibrationPrograms = 1_000;

/** Workload whose arrivals are determined by a seed. */
export abstract class Workload {
  /** Name on the command line and in reports. */
  abstract readonly name: string;
  /** Weight between latency and wasted cache that the user would configure. */
  abstract readonly cacheWeight: number;
  abstract readonly services: readonly BenchService[];
  abstract readonly engine: EngineModelOptions;

  /**
   * Gets the ratio of the arrival rate to its mean.
   * @param atMs - Time in the run.
   */
  getRateFactor(atMs: number): number {
    void atMs;
    return 1;
  }

  /**
   * Draws the arrivals of a run, in time order.
   * @param options - Seed, load and duration.
   */
  drawArrivals(options: ArrivalOptions): readonly Arrival[] {
    const arrivals = this.services.flatMap((service, index) => {
      const random = SeededRandom.create(options.seed * 31 + index);
      return this.drawServiceArrivals(service, random, options);
    });
    return arrivals.sort((left, right) => left.atMs - right.atMs);
  }

  private drawServiceArrivals(
    service: BenchService,
    random: Random,
    {load, durationMs}: ArrivalOptions,
  ): Arrival[] {
    const workMs = this.getMeanWorkMs(service);
    const meanGapMs = workMs / (load * service.engines);
    const arrivals: Arrival[] = [];
    let atMs = -historyMs;
    for (;;) {
      const factor = this.getRateFactor(atMs);
      atMs += drawExponential(random, meanGapMs / factor);
      if (atMs >= durationMs) return arrivals;
      const arrival = {atMs, plan: service.drawProgram(random)};
      const visible = atMs < 0 ? this.skipToTimeZero(arrival) : arrival;
      if (visible !== undefined) arrivals.push(visible);
    }
  }

  /**
   * Gets the calls that remain at time 0 of a program that arrived earlier;
   * `undefined` if none remain. Without such programs a run would start far
   * below its load.
   */
  private skipToTimeZero({atMs, plan}: Arrival): Arrival | undefined {
    let nowMs = atMs;
    let skippedTokens = 0;
    for (const [index, call] of plan.calls.entries()) {
      if (nowMs >= 0) {
        const first = {...call, newTokens: call.newTokens + skippedTokens};
        const calls = [first, ...plan.calls.slice(index + 1)];
        return {atMs: nowMs, plan: {...plan, calls}};
      }
      nowMs += call.outputTokens * this.getStepMs() + call.pauseMs;
      skippedTokens += call.newTokens + call.outputTokens;
    }
    return undefined;
  }

  /**
   * Gets a program's mean engine time if its own prefixes are always cached.
   */
  private getMeanWorkMs(service: BenchService): number {
    const random = SeededRandom.create(calibrationSeed);
    let sumMs = 0;
    for (let i = 0; i < calibrationPrograms; i += 1) {
      sumMs += this.getWorkMs(service.drawProgram(random));
    }
    return sumMs / calibrationPrograms;
  }

  private getWorkMs(plan: ProgramPlan): number {
    let workMs = 0;
    for (const call of plan.calls) {
      workMs += this.getPrefillMs(call.newTokens);
      workMs += call.outputTokens * this.getStepMs() * this.getBatchShare();
      for (const child of call.subAgents) workMs += this.getWorkMs(child);
    }
    return workMs;
  }

  private getPrefillMs(tokens: number): number {
    const {prefillChunkTokens, prefillMsPerToken} = this.engine;
    const stepMs = this.getStepMs() + prefillChunkTokens * prefillMsPerToken;
    const decodedMs = this.getStepMs();
    // A full batch continues to decode one token per stream in a prefill step.
    return (tokens / prefillChunkTokens) * (stepMs - decodedMs);
  }

  private getStepMs(): number {
    const {stepBaseMs, stepPerStreamMs, maxRunning} = this.engine;
    return stepBaseMs + stepPerStreamMs * maxRunning;
  }

  private getBatchShare(): number {
    return 1 / this.engine.maxRunning;
  }
}
