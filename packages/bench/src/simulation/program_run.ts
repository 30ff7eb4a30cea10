/** Simulates a program's caller: calls, pauses and sub-agents. */
import {
  type CallId,
  type Clock,
  isErrorOfKind,
  type ModelId,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import {
  blockTokens,
  type CallUsage,
  type WaitingCall,
} from '@marigoldpost/scheduler';
import type {EngineModelRequest} from '@marigoldpost/standins';
import {
  type CallPlan,
  countAllTokens,
  getPauseMs,
  type ProgramPlan,
} from '../workloads/program_plan.js';
import type {SimulatedDaemon} from './simulated_daemon.js';
import type {ProgramResult} from './simulation_options.js';

/** Dependencies and plan of a program run. */
export interface ProgramRunParts {
  readonly clock: Clock;
  readonly daemon: SimulatedDaemon;
  readonly plan: ProgramPlan;
  readonly name: string;
  readonly rootName?: string;
  /** Called once, when the program has ended. */
  readonly onEnd: (result: ProgramResult, usages: CallUsage[]) => void;
}

const idleTimeoutMs = 600_000;
const noTargets: ReadonlySet<never> = new Set<never>();
/** Model of all simulated calls. */
export const benchModel = toId<ModelId>('bench');

/** Runs one program's plan against one simulated daemon. */
export class ProgramRun {
  private readonly program: ProgramId;
  private readonly hashes: readonly string[];
  private readonly startedAtMs: number;
  private readonly usages: CallUsage[] = [];
  private tokens: number;
  private nextCall = 0;
  private pausedMs = 0;

  private constructor(private readonly parts: ProgramRunParts) {
    this.program = toId<ProgramId>(`dc.0.${parts.name}`);
    this.hashes = createHashes(parts.plan, parts.name);
    this.tokens = parts.plan.systemTokens;
    this.startedAtMs = parts.clock.nowMs();
  }

  /**
   * Starts a program with its first call.
   * @param parts - Plan, clock, daemon and end listener.
   */
  static start(parts: ProgramRunParts): void {
    new ProgramRun(parts).startCall();
  }

  private startCall(): void {
    const plan = this.parts.plan.calls[this.nextCall] as CallPlan;
    this.tokens += plan.newTokens;
    const call = this.createCall(plan);
    const request = this.createRequest(plan, call.callId);
    try {
      this.parts.daemon.addCall(call, request, {
        onDone: (usage) => this.completeCall(plan, usage),
        onTimeout: () => this.end('gave_up'),
      });
    } catch (error) {
      if (!isErrorOfKind(error, 'overloaded')) throw error;
      this.end('refused');
    }
  }

  private completeCall(plan: CallPlan, usage: CallUsage): void {
    this.usages.push(usage);
    this.tokens += plan.outputTokens;
    this.nextCall += 1;
    this.runSubAgents(plan, () => this.pauseBeforeNextCall(plan));
  }

  private runSubAgents({subAgents}: CallPlan, then: () => void): void {
    let remaining = subAgents.length;
    if (remaining === 0) {
      then();
      return;
    }
    const {parts} = this;
    subAgents.forEach((plan, index) => {
      const name = `${parts.name}-${this.nextCall}-${index}`;
      const onEnd: ProgramRunParts['onEnd'] = (result, usages) => {
        this.usages.push(...usages);
        remaining -= 1;
        if (remaining === 0) then();
      };
      const rootName = parts.rootName ?? parts.name;
      ProgramRun.start({...parts, plan, name, rootName, onEnd});
    });
  }

  private pauseBeforeNextCall({pauseMs}: CallPlan): void {
    if (this.nextCall >= this.parts.plan.calls.length) {
      this.end('done');
      return;
    }
    this.pausedMs += pauseMs;
    this.parts.clock.setTimer(pauseMs, () => this.startCall());
  }

  private end(outcome: ProgramResult['outcome']): void {
    const {clock, daemon, plan, onEnd} = this.parts;
    if (plan.notifiesEnd) daemon.endProgram(this.program);
    else clock.setTimer(idleTimeoutMs, () => daemon.endProgram(this.program));
    const latencyMs = clock.nowMs() - this.startedAtMs;
    const activeMs = latencyMs - Math.min(this.pausedMs, getPauseMs(plan));
    onEnd({plan, outcome, latencyMs, activeMs}, this.usages);
  }

  private createCall(plan: CallPlan): WaitingCall {
    const {name, rootName, clock} = this.parts;
    const {service, callClass, callTimeoutMs} = this.parts.plan;
    const blocks = Math.floor(this.tokens / blockTokens);
    return {
      callId: toId<CallId>(`${name}/${this.nextCall}`),
      program: this.program,
      rootProgram: toId<ProgramId>(`dc.0.${rootName ?? name}`),
      service,
      model: benchModel,
      callClass,
      promptTokens: this.tokens,
      maxTokens: Math.max(256, 2 * plan.outputTokens),
      blockHashes: this.hashes.slice(0, blocks),
      deadlineMs: clock.nowMs() + callTimeoutMs,
      excludedTargets: noTargets,
      isExclusive: false,
      turnIndex: this.nextCall,
    };
  }

  private createRequest(plan: CallPlan, callId: CallId): EngineModelRequest {
    const total = this.tokens + plan.outputTokens;
    return {
      streamId: callId,
      program: this.program,
      model: benchModel,
      promptTokens: this.tokens,
      outputTokens: plan.outputTokens,
      finishReason: 'stop',
      blockHashes: this.hashes.slice(0, Math.floor(total / blockTokens)),
    };
  }
}

function createHashes(plan: ProgramPlan, name: string): string[] {
  const shared = Math.floor(plan.systemTokens / blockTokens);
  const count = Math.floor(countAllTokens(plan) / blockTokens);
  return Array.from({length: count}, (_unused, index) =>
    index < shared ? `${plan.systemPrompt}.${index}` : `${name}.${index}`,
  );
}
