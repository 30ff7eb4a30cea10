/** Runs the programs of one deployment while faults are injected. */
import {type Clock, type Random, SeededRandom} from '@marigoldpost/common';
import {AgentProgram} from './agent_program.js';
import {DemoCaller} from './demo_caller.js';
import type {
  BookingEvidence,
  DemoEvidence,
  ProgramEvidence,
} from './demo_evidence.js';
import {DemoFleet} from './demo_fleet.js';
import type {Deployment} from './deployment.js';

const programCount = 120;
const startIntervalMs = 120;
const killAfterMs = 5000;
const outageAfterMs = 10_000;
const outageMs = 4000;
const progressIntervalMs = 2000;
const cacheReleaseWaitMs = 2000;
/**
 * Token budget that the verdict checks for each program with its sub-agents. No
 * demo program uses up its team's budget in the example configurations.
 */
const budgetTokens = 400_000;
const seed = 7;

/** Prints one line of progress. */
export type ShowProgress = (line: string) => void;

/** Starts a fleet, runs its programs, injects faults and collects evidence. */
export class DemoRun {
  private readonly programs: ProgramEvidence[] = [];
  private readonly bookings: BookingEvidence[] = [];
  private readonly random: Random = SeededRandom.create(seed);
  private readonly clock: Clock;

  private constructor(
    private readonly fleet: DemoFleet,
    private readonly show: ShowProgress,
  ) {
    this.clock = fleet.clock;
  }

  /**
   * Runs a deployment and gets the evidence of its callers and stand-ins.
   * @param deployment - Deployment to run.
   * @param show - Receives progress lines.
   */
  static async run(
    deployment: Deployment,
    show: ShowProgress,
  ): Promise<DemoEvidence> {
    const fleet = DemoFleet.create(deployment);
    const run = new DemoRun(fleet, show);
    try {
      await fleet.start();
      await run.runPrograms();
      return run.getEvidence();
    } finally {
      await fleet.stop();
    }
  }

  private async runPrograms(): Promise<void> {
    const {title, dataCentres} = this.fleet.deployment;
    this.show(
      `${title}: 8 entry VMs in ${dataCentres.length} data centres are up`,
    );
    const faults = this.injectFaults();
    const progress = this.startProgress();
    const started: Array<Promise<void>> = [];
    for (let index = 0; index < programCount; index++) {
      started.push(this.createProgram(index).run());
      await this.clock.sleep(startIntervalMs);
    }
    await Promise.all([...started, faults]);
    progress.cancel();
    await this.clock.sleep(cacheReleaseWaitMs);
  }

  private createProgram(index: number): AgentProgram {
    const {deployment} = this.fleet;
    const caller = DemoCaller.create({
      clock: this.clock,
      random: this.random,
      key: `${deployment.team}-example-key`,
      chooseAddress: () =>
        this.fleet.getCallerAddress(
          this.random.nextInteger(this.fleet.daemons.length),
        ),
    });
    const {programs, bookings} = this;
    return AgentProgram.create(
      {
        clock: this.clock,
        random: this.random,
        caller,
        deployment,
        programs,
        bookings,
      },
      `${deployment.exampleName}-${index}`,
    );
  }

  private async injectFaults(): Promise<void> {
    await this.clock.sleep(killAfterMs);
    this.show('killing entry VM entry-1');
    await this.fleet.daemons[0]?.kill();
    await this.clock.sleep(outageAfterMs - killAfterMs);
    this.show('starting an outage of the platform');
    this.fleet.site.store.setOutage(true);
    await this.clock.sleep(outageMs);
    this.fleet.site.store.setOutage(false);
    this.show('ended the outage of the platform');
  }

  private startProgress(): {cancel(): void} {
    const interval = setInterval(() => {
      const finished = this.programs.length;
      this.show(
        `  ${finished} programs ended, ${this.bookings.length} bookings`,
      );
    }, progressIntervalMs);
    return {cancel: () => clearInterval(interval)};
  }

  private getEvidence(): DemoEvidence {
    const {site, deployment} = this.fleet;
    const engines = [...site.getEngines().values()];
    const accounts = engines.map(({engine}) => engine.model.getCacheAccount());
    const streams = engines.flatMap((server) => server.getStreams());
    const ledger = site.getLedgerOrThrow(deployment.plainService);
    return {
      programs: this.programs,
      bookings: this.bookings,
      executedKeys: ledger.getExecutions().map(({key}) => key),
      engineTokens: streams.map(({program, promptTokens, generatedTokens}) => ({
        program,
        tokens: promptTokens + generatedTokens,
      })),
      budgetTokens,
      heldBlockMs: sum(accounts.map(({heldBlockMs}) => heldBlockMs)),
      wastedBlockMs: sum(accounts.map(({wastedBlockMs}) => wastedBlockMs)),
    };
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
