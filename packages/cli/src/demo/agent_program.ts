/** One agent program of the demo: turns, pauses, a booking, a sub-agent. */
import type {Clock, Random} from '@marigoldpost/common';
import {
  type DemoCaller,
  type DemoMessage,
  DemoRefusalError,
} from './demo_caller.js';
import type {BookingEvidence, ProgramEvidence} from './demo_evidence.js';
import type {Deployment} from './deployment.js';

const minTurns = 2;
const maxExtraTurns = 4;
const maxTokens = 24;
const minPauseMs = 50;
const maxExtraPauseMs = 400;
const bookingShare = 0.5;
const childShare = 0.25;
const promptWords = 60;
const childTurns = 2;

/** What programs run against, and where they leave their evidence. */
export interface AgentProgramOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly caller: DemoCaller;
  readonly deployment: Deployment;
  readonly programs: ProgramEvidence[];
  readonly bookings: BookingEvidence[];
}

/** Runs one program and its sub-agents. */
export class AgentProgram {
  private readonly expected: DemoMessage[] = [];
  private program: string | undefined;
  private startMs = 0;

  private constructor(
    private readonly options: AgentProgramOptions,
    private readonly name: string,
    private readonly parent: string | undefined,
  ) {}

  /**
   * Creates a program that is not started.
   * @param options - What it runs against.
   * @param name - Tells its prompts from those of others.
   */
  static create(options: AgentProgramOptions, name: string): AgentProgram {
    return new AgentProgram(options, name, undefined);
  }

  /** Runs the program to its end, or until it is refused. */
  async run(): Promise<void> {
    this.startMs = this.options.clock.nowMs();
    try {
      await this.runTurns();
      await this.finish('');
    } catch (error) {
      if (!(error instanceof DemoRefusalError)) throw error;
      await this.finish(error.message);
    }
  }

  private async runTurns(): Promise<void> {
    const {random, caller} = this.options;
    if (this.parent !== undefined) {
      this.program = await caller.addChild(this.parent);
    }
    const turns =
      this.parent === undefined
        ? minTurns + random.nextInteger(maxExtraTurns)
        : childTurns;
    for (let turn = 0; turn < turns; turn++) {
      await this.runTurn(turn);
      await this.pause();
    }
  }

  private async runTurn(turn: number): Promise<void> {
    const {random, caller, deployment} = this.options;
    const content = this.createPrompt(turn);
    const message = {role: 'user', content};
    const answer = await caller.chat(
      this.program,
      deployment.model,
      message,
      maxTokens,
    );
    this.program = answer.program;
    this.expected.push(message, {role: 'assistant', content: answer.text});
    if (random.next() < bookingShare) await this.book(turn);
    const isRoot = this.parent === undefined;
    if (isRoot && random.next() < childShare) await this.runChild(turn);
  }

  private async book(turn: number): Promise<void> {
    const {caller, deployment, bookings} = this.options;
    const key = `${this.name}-${turn}`;
    const path = `/v1/services/${deployment.plainService}${deployment.bookingPath}`;
    try {
      await caller.book(this.program ?? '', path, key);
      bookings.push({key, result: 'confirmed'});
    } catch (error) {
      if (!(error instanceof DemoRefusalError)) throw error;
      const {outcome} = error.refusal;
      const result = outcome === 'not_run' ? 'not_run' : 'unknown';
      bookings.push({key, result});
    }
  }

  private async runChild(turn: number): Promise<void> {
    const name = `${this.name}-sub-${turn}`;
    const child = new AgentProgram(this.options, name, this.program);
    await child.run();
  }

  private async pause(): Promise<void> {
    const {clock, random} = this.options;
    await clock.sleep(minPauseMs + random.nextInteger(maxExtraPauseMs));
  }

  private async finish(failure: string): Promise<void> {
    const {clock, caller, programs} = this.options;
    const latencyMs = clock.nowMs() - this.startMs;
    const {program} = this;
    const isFinished = failure === '';
    const history =
      program !== undefined && isFinished
        ? await caller.getHistory(program)
        : undefined;
    programs.push({
      program: program ?? '',
      isFinished,
      failure,
      latencyMs,
      expected: this.expected,
      history,
      root: this.parent ?? program ?? '',
    });
    const isRoot = this.parent === undefined;
    if (isRoot && program !== undefined) await caller.end(program);
  }

  private createPrompt(turn: number): string {
    const {random} = this.options;
    const words = Array.from({length: promptWords}, () => random.nextToken(5));
    return `${this.name} turn ${turn}: ${words.join(' ')}`;
  }
}
