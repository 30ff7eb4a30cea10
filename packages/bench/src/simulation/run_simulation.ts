/**
 * Runs the real scheduler against the engines' timing model on a virtual clock.
 * Network, platform and the daemons' state are not modelled.
 */
import {
  type DataCentreId,
  SeededRandom,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import type {
  CallUsage,
  SchedulerTarget,
  WaitingCall,
} from '@marigoldpost/scheduler';
import {EngineModel} from '@marigoldpost/standins';
import {
  type Arrival,
  countAllTokens,
  type ProgramPlan,
} from '../workloads/program_plan.js';
import {benchModel, ProgramRun} from './program_run.js';
import {SimulatedDaemon} from './simulated_daemon.js';
import type {
  OracleView,
  ProgramResult,
  SimulationOptions,
  SimulationResult,
} from './simulation_options.js';

const defaultDurationMs = 420_000;
const defaultWarmUpMs = 120_000;
const defaultInstances = 4;

/** Data centre of every target and scheduler in a run. */
export const benchDataCentre = toId<DataCentreId>('bench');

interface Fleet {
  readonly engines: ReadonlyMap<TargetId, EngineModel>;
  readonly targets: readonly SchedulerTarget[];
}

/**
 * Simulates one policy on one workload; equal options give equal results.
 * @param options - Workload, policy, seed and load.
 */
export function runSimulation(options: SimulationOptions): SimulationResult {
  return Simulation.create(options).run();
}

class Simulation {
  private readonly clock = VirtualClock.create();
  private readonly durationMs: number;
  private readonly warmUpMs: number;
  private readonly fleet: Fleet;
  private readonly plans = new Map<string, ProgramPlan>();
  private readonly programs: ProgramResult[] = [];
  private promptTokens = 0;
  private cachedTokens = 0;
  private unfinishedPrograms = 0;
  private doneInSpan = 0;

  private constructor(private readonly options: SimulationOptions) {
    this.durationMs = options.durationMs ?? defaultDurationMs;
    this.warmUpMs = options.warmUpMs ?? defaultWarmUpMs;
    this.fleet = createFleet(this.clock, options);
  }

  static create(options: SimulationOptions): Simulation {
    return new Simulation(options);
  }

  run(): SimulationResult {
    const {workload, seed, load} = this.options;
    const {durationMs} = this;
    const daemons = this.createDaemons();
    const arrivals = workload.drawArrivals({seed, load, durationMs});
    for (const engine of this.fleet.engines.values()) {
      engine.setAccountSpan(this.warmUpMs, durationMs);
    }
    for (const daemon of daemons) daemon.startReports(2 * durationMs);
    this.unfinishedPrograms = arrivals.length;
    arrivals.forEach((arrival, index) => {
      const daemon = daemons[index % daemons.length] as SimulatedDaemon;
      this.scheduleArrival(arrival, `p${index}`, daemon);
    });
    while (this.unfinishedPrograms > 0 && this.clock.fireNext());
    return this.getResult();
  }

  private scheduleArrival(
    {atMs, plan}: Arrival,
    name: string,
    daemon: SimulatedDaemon,
  ): void {
    this.plans.set(`dc.0.${name}`, plan);
    const onEnd = (result: ProgramResult, usages: CallUsage[]) => {
      this.unfinishedPrograms -= 1;
      this.countDone(result);
      if (atMs >= this.warmUpMs) this.addResult(result, usages);
    };
    const {clock} = this;
    clock.setTimer(atMs, () =>
      ProgramRun.start({clock, daemon, plan, name, onEnd}),
    );
  }

  private countDone({outcome}: ProgramResult): void {
    const nowMs = this.clock.nowMs();
    const isCounted = nowMs >= this.warmUpMs && nowMs < this.durationMs;
    if (isCounted && outcome === 'done') this.doneInSpan += 1;
  }

  private addResult(result: ProgramResult, usages: CallUsage[]): void {
    this.programs.push(result);
    for (const {promptTokens, cachedTokens} of usages) {
      this.promptTokens += promptTokens;
      this.cachedTokens += cachedTokens;
    }
  }

  private createDaemons(): SimulatedDaemon[] {
    const {policy, workload, seed} = this.options;
    const count = this.options.instances ?? defaultInstances;
    const {clock, fleet} = this;
    const cacheWeight = this.options.cacheWeight ?? workload.cacheWeight;
    const oracle = this.createOracleView();
    return Array.from({length: count}, (_unused, index) => {
      const random = SeededRandom.create(seed * 101 + index);
      const parts = {clock, random, cacheWeight, oracle};
      const scheduler = policy.createScheduler(parts);
      scheduler.setTargets(fleet.targets);
      return SimulatedDaemon.create(clock, scheduler, fleet.engines);
    });
  }

  private createOracleView(): OracleView {
    const {engines} = this.fleet;
    const getRemainingTokens = ({rootProgram, promptTokens}: WaitingCall) => {
      const plan = this.plans.get(rootProgram);
      if (plan === undefined) return 0;
      return Math.max(0, countAllTokens(plan) - promptTokens);
    };
    return {engines, getRemainingTokens};
  }

  private getResult(): SimulationResult {
    let heldMs = 0;
    let wastedMs = 0;
    for (const engine of this.fleet.engines.values()) {
      const account = engine.getCacheAccount();
      heldMs += account.heldBlockMs;
      wastedMs += account.wastedBlockMs;
    }
    return {
      programs: this.programs,
      wastedShare: heldMs === 0 ? 0 : wastedMs / heldMs,
      wastedBlockSeconds: wastedMs / 1_000,
      hitShare: this.cachedTokens / Math.max(1, this.promptTokens),
      doneInSpan: this.doneInSpan,
      countedMs: this.durationMs - this.warmUpMs,
    };
  }
}

function createFleet(clock: VirtualClock, options: SimulationOptions): Fleet {
  const {workload, seed, eventGapRate} = options;
  const engines = new Map<TargetId, EngineModel>();
  const targets: SchedulerTarget[] = [];
  for (const service of workload.services) {
    for (let index = 0; index < service.engines; index += 1) {
      const id = toId<TargetId>(`${service.id}-${index}`);
      const random = SeededRandom.create(seed * 1_009 + engines.size);
      const gapRate = eventGapRate ?? workload.engine.eventGapRate;
      const engineOptions = {
        ...workload.engine,
        models: [benchModel],
        eventGapRate: gapRate,
      };
      engines.set(
        id,
        EngineModel.create({clock, random, options: engineOptions}),
      );
      targets.push({
        id,
        service: service.id,
        dataCentre: benchDataCentre,
        models: [benchModel],
        isOpen: true,
      });
    }
  }
  return {engines, targets};
}
