/**
 * Simulated agent program of the demo: turns with pauses between them, bookings
 * and sub-agents.
 */
import type {Clock, Random} from '@marigoldpost/common';
import {
  type DemoCaller,
  type DemoMessage,
  DemoRequestError,
} from './demo_caller.js';
import type {BookingEvidence, ProgramEvidence} from './demo_evidence.js';
import type {Deployment} from './deployment.js';

const minTurns = 2;
const maxExtraTurns = 4;
const maxTokens = 24;
const minPauseMs = 50;
const maxExtraPauseMs = 400;
const bookingProbability = 0.5;
const childProbability = 0.25;
const promptWordCount = 60;
const childTurnCount = 2;

/** Environment of a program and the lists that it adds its evidence to. */
export interface AgentProgramOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly caller: DemoCaller;
  readonly deployment: Deployment;
  readonly programs: ProgramEvidence[];
  readonly bookings: BookingEvidence[];
}

/** Runs one program and its sub-agents, and records what callers observed. */
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
   * Creates a program; `run` starts it.
   * @param options - Environment and lists of evidence.
   * @param name - Unique name; part of its prompts and idempotency keys.
   */
  static create(options: AgentProgramOptions, name: string): AgentProgram {
    return new AgentProgram(options, name, undefined);
  }

  /** Runs the program until it ends or a request finally fails. */
  async run(): Promise<void> {
    this.startMs = this.options.clock.nowMs();
    try {
      await this.runTurns();
      await this.finish('');
    } catch (error) {
      if (!(error instanceof DemoRequestError)) throw error;
      await this.finish(error.message);
    }
  }

  private async runTurns(): Promise<void> {
    const {random, caller} = this.options;
    if (this.parent !== undefined) {
      this.program = await caller.openChildProgram(this.parent);
    }
    const turns =
      this.parent === undefined
        ? minTurns + random.nextInteger(maxExtraTurns)
        : childTurnCount;
    for (let turn = 0; turn < turns; turn++) {
      await this.runTurn(turn);
      await this.pause();
    }
  }

  private async runTurn(turn: number): Promise<void> {
    const {random, caller, deployment} = this.options;
    const content = this.createPrompt(turn);
    const message = {role: 'user', content};
    const response = await caller.chat(
      this.program,
      deployment.model,
      message,
      maxTokens,
    );
    this.program = response.program;
    this.expected.push(message, {role: 'assistant', content: response.text});
    if (random.next() < bookingProbability) await this.book(turn);
    const isRoot = this.parent === undefined;
    if (isRoot && random.next() < childProbability) await this.runChild(turn);
  }

  private async book(turn: number): Promise<void> {
    const {caller, deployment, bookings} = this.options;
    const key = `${this.name}-${turn}`;
    const path = `/v1/services/${deployment.plainService}${deployment.bookingPath}`;
    try {
      await caller.book(this.program ?? '', path, key);
      bookings.push({key, result: 'confirmed'});
    } catch (error) {
      if (!(error instanceof DemoRequestError)) throw error;
      const {outcome} = error.failure;
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
    const words = Array.from({length: promptWordCount}, () =>
      random.nextToken(5),
    );
    return `${this.name} turn ${turn}: ${words.join(' ')}`;
  }
}
