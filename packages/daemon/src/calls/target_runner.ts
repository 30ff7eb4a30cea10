/** Limits, dispatches and retries calls to engines and plain services. */
import {
  type Fingerprint,
  isErrorOfKind,
  type TargetId,
} from '@marigoldpost/common';
import type {
  CallAnswer,
  CallTicket,
  ChatCall,
  PlainCall,
  TurnContext,
} from '@marigoldpost/programs';
import type {Dispatch, WaitingCall} from '@marigoldpost/scheduler';
import type {TargetWork} from '@marigoldpost/targets';
import {checkQuarantine} from './quarantine_check.js';
import type {RunnerContext} from './runner_context.js';

/** Attempts per call, the first included. */
const maxAttempts = 3;

/** Progress of one run of a call. */
export interface TargetRun {
  readonly ticket: CallTicket;
  /** Aborted when the run must stop. */
  readonly signal: AbortSignal;
  readonly call: ChatCall | PlainCall;
  readonly turn: TurnContext;
  readonly fingerprint: Fingerprint;
  readonly admittedMs: number;
  readonly deadlineMs: number;
  readonly excludedTargets: Set<TargetId>;
  attempts: number;
  previousOutcome: 'not_run' | 'unknown' | undefined;
}

/** Fields of a waiting call that depend on the kind of call. */
export type SchedulingFields = Pick<
  WaitingCall,
  'model' | 'promptTokens' | 'maxTokens' | 'blockHashes'
>;

/** Runs one kind of call, with retries on other targets. */
export abstract class TargetRunner<Run extends TargetRun> {
  protected constructor(protected readonly context: RunnerContext) {}

  /** Gets the fields for the scheduler that depend on the kind of call. */
  protected abstract getSchedulingFields(run: Run): SchedulingFields;

  /** Sends the call to a target and commits its answer. */
  protected abstract runOnTarget(run: Run, dispatch: Dispatch): Promise<void>;

  /** Whether a failed call may be sent to another target. */
  protected abstract canRetry(run: Run, error: unknown): boolean;

  /** Tokens that the call has generated. */
  protected abstract getUsedTokens(run: Run): number;

  /**
   * Resumes the stream that a former holder left on a target; false if there is
   * none to resume.
   */
  protected resume(_run: Run): Promise<boolean> {
    return Promise.resolve(false);
  }

  /** Whether earlier attempts of a call that is retried may have run. */
  protected getRetryOutcome(_run: Run): 'not_run' | 'unknown' {
    return 'unknown';
  }

  /** Runs a call; its ticket's stream reports the result or the error. */
  protected async runToEnd(run: Run): Promise<void> {
    try {
      await this.runWithPermit(run);
    } catch (error) {
      const failure = error instanceof Error ? error : new Error('failed');
      await run.ticket.fail(failure);
    }
  }

  /** Runs work at a target; records its result with registry and quarantine. */
  protected async trackTargetWork<Result>(
    run: Run,
    target: TargetId,
    work: () => Promise<Result>,
  ): Promise<Result> {
    const {registry, quarantine} = this.context;
    const {fingerprint} = run;
    const {callId} = run.call;
    const started: TargetWork = {target, callId, fingerprint};
    registry.recordStart(started);
    try {
      const result = await work();
      registry.recordSuccess(started);
      quarantine.recordSurvival(fingerprint);
      return result;
    } catch (error) {
      await registry.recordFailure(started, error);
      const isNotRun = isErrorOfKind(error) && error.outcome === 'not_run';
      run.previousOutcome = isNotRun ? 'not_run' : 'unknown';
      throw error;
    }
  }

  /** Commits an answer; records the waits for dispatch and for the commit. */
  protected async complete(
    run: Run,
    answer: CallAnswer,
    {target, terms}: Pick<Dispatch, 'target' | 'terms'>,
    waitMs: number,
  ): Promise<void> {
    const {clock, metrics} = this.context;
    const {service} = run.call;
    metrics.recordValue('queue_wait_ms', {service}, waitMs);
    const answeredMs = clock.nowMs();
    await run.ticket.complete(answer, {target, waitMs, terms});
    metrics.recordValue('commit_wait_ms', {}, clock.nowMs() - answeredMs);
  }

  /** Whether the run is not aborted and has attempts left. */
  protected hasAttemptsLeft({signal, attempts}: Run): boolean {
    return !signal.aborted && attempts < maxAttempts;
  }

  private async runWithPermit(run: Run): Promise<void> {
    const {limiter, quarantine} = this.context;
    checkQuarantine(quarantine, run.fingerprint, 'not_run');
    const permit = await limiter.acquire(run.call, run.signal);
    try {
      await this.runAttempts(run);
    } finally {
      permit.release(this.getUsedTokens(run));
    }
  }

  private async runAttempts(run: Run): Promise<void> {
    if (await this.resume(run)) return;
    for (;;) {
      const dispatch = await this.waitForDispatch(run);
      try {
        await this.runOnTarget(run, dispatch);
        return;
      } catch (error) {
        this.prepareRetry(run, dispatch.target, error);
      }
    }
  }

  private waitForDispatch(run: Run): Promise<Dispatch> {
    const {call, turn, ticket, fingerprint} = run;
    const {callId, service, callClass} = call;
    const {rootProgram, turnIndex} = turn;
    return this.context.dispatchLoop.waitForDispatch(
      {
        callId,
        program: ticket.program,
        rootProgram,
        service,
        callClass,
        ...this.getSchedulingFields(run),
        deadlineMs: run.deadlineMs,
        excludedTargets: run.excludedTargets,
        isExclusive: this.context.quarantine.isSuspect(fingerprint),
        turnIndex,
      },
      run.signal,
    );
  }

  /** Excludes the failed target; throws if the call must not be retried. */
  private prepareRetry(run: Run, target: TargetId, error: unknown): void {
    this.context.dispatchLoop.removeCall(run.call.callId);
    if (!this.canRetry(run, error)) throw error;
    run.excludedTargets.add(target);
    const outcome = this.getRetryOutcome(run);
    checkQuarantine(this.context.quarantine, run.fingerprint, outcome);
  }
}
