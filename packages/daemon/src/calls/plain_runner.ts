/** Runs one call to a plain service; a non-idempotent one is sent once. */
import {
  type Fingerprint,
  isErrorOfKind,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import type {
  CallTicket,
  CallTraits,
  PlainCall,
  TurnContext,
} from '@marigoldpost/programs';
import type {Dispatch} from '@marigoldpost/scheduler';
import {
  getFingerprint,
  type PlainResponse,
  type TargetWork,
} from '@marigoldpost/targets';
import {checkQuarantine} from './quarantine_check.js';
import type {RunnerContext} from './runner_context.js';

/** Instances that one call may be sent to, the first included. */
const maxAttempts = 3;

/** What one run of a call has got to. */
interface PlainRun {
  readonly ticket: CallTicket;
  readonly call: PlainCall;
  readonly traits: CallTraits;
  readonly turn: TurnContext;
  readonly fingerprint: Fingerprint;
  readonly admittedMs: number;
  readonly deadlineMs: number;
  readonly excludedTargets: Set<TargetId>;
  attempts: number;
  previousOutcome: 'not_run' | 'unknown' | undefined;
}

/** Runs calls to plain services. */
export class PlainRunner {
  private constructor(private readonly context: RunnerContext) {}

  /**
   * Creates a runner.
   * @param context - Parts of the daemon.
   */
  static create(context: RunnerContext): PlainRunner {
    return new PlainRunner(context);
  }

  /**
   * Runs a call to its end; the ticket's stream tells how it went.
   * @param ticket - The call's ticket, which must own the run.
   * @param call - The call.
   * @param traits - Whether it may be sent twice.
   */
  async run(
    ticket: CallTicket,
    call: PlainCall,
    traits: CallTraits,
  ): Promise<void> {
    const admittedMs = this.context.clock.nowMs();
    const turn = await ticket.waitForTurn(ticket.signal);
    const timeoutMs = Math.min(call.timeoutMs, turn.remainingWallMs);
    const run: PlainRun = {
      ticket,
      call,
      traits,
      turn,
      fingerprint: getCallFingerprint(call),
      admittedMs,
      deadlineMs: admittedMs + timeoutMs,
      excludedTargets: new Set(),
      attempts: 0,
      previousOutcome: undefined,
    };
    try {
      await this.runWithPermit(run);
    } catch (error) {
      await ticket.fail(error instanceof Error ? error : new Error('failed'));
    }
  }

  private async runWithPermit(run: PlainRun): Promise<void> {
    const {limiter, quarantine} = this.context;
    checkQuarantine(quarantine, run.fingerprint, 'not_run');
    const permit = await limiter.acquire(run.call, run.ticket.signal);
    try {
      await this.runAttempts(run);
    } finally {
      permit.release(0);
    }
  }

  private async runAttempts(run: PlainRun): Promise<void> {
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

  private waitForDispatch(run: PlainRun): Promise<Dispatch> {
    const {call, turn, ticket} = run;
    return this.context.dispatchLoop.waitForDispatch(
      {
        callId: call.callId,
        program: ticket.program,
        rootProgram: turn.rootProgram,
        service: call.service,
        callClass: call.callClass,
        promptTokens: 0,
        maxTokens: 0,
        blockHashes: [],
        deadlineMs: run.deadlineMs,
        excludedTargets: run.excludedTargets,
        isAlone: this.context.quarantine.isSuspect(run.fingerprint),
        turnIndex: turn.turnIndex,
      },
      ticket.signal,
    );
  }

  private async runOnTarget(run: PlainRun, dispatch: Dispatch): Promise<void> {
    const {target, terms} = dispatch;
    const {call, ticket, previousOutcome} = run;
    const waitMs = this.context.clock.nowMs() - run.admittedMs;
    await ticket.commitDispatch(target, {previousOutcome});
    run.attempts += 1;
    const response = await this.sendWatched(run, target);
    this.context.dispatchLoop.noteFinished(call.callId, {
      promptTokens: 0,
      cachedTokens: 0,
      completionTokens: 0,
    });
    const report = {target, waitMs, terms};
    const {clock, metrics} = this.context;
    const {service} = call;
    metrics.recordValue('queue_wait_ms', {service}, waitMs);
    const answeredMs = clock.nowMs();
    await ticket.complete({kind: 'plain', response}, report);
    metrics.recordValue('commit_wait_ms', {}, clock.nowMs() - answeredMs);
  }

  /** Sends the request and tells the registry how the target fared. */
  private async sendWatched(
    run: PlainRun,
    target: TargetId,
  ): Promise<PlainResponse> {
    const {registry, quarantine} = this.context;
    const {fingerprint, call, ticket} = run;
    const work: TargetWork = {target, callId: call.callId, fingerprint};
    const client = registry.getPlainClientOrThrow(target);
    registry.noteStarted(work);
    try {
      const response = await client.send(call.request, ticket.signal);
      registry.noteSuccess(work);
      quarantine.noteSurvived(fingerprint);
      return response;
    } catch (error) {
      await registry.noteFailure(work, error);
      const isNotRun = isErrorOfKind(error) && error.outcome === 'not_run';
      run.previousOutcome = isNotRun ? 'not_run' : 'unknown';
      throw error;
    }
  }

  /** Throws the error when the call must not be tried again. */
  private prepareRetry(run: PlainRun, target: TargetId, error: unknown): void {
    this.context.dispatchLoop.removeCall(run.call.callId);
    if (!isRetryable(run, error)) throw error;
    run.excludedTargets.add(target);
    const outcome = run.previousOutcome ?? 'unknown';
    checkQuarantine(this.context.quarantine, run.fingerprint, outcome);
  }
}

function getCallFingerprint(call: PlainCall): Fingerprint {
  const {method, path, body} = call.request;
  const content = JSON.stringify([method, path, body]);
  return getFingerprint(call.team, call.service, content);
}

function isRetryable(run: PlainRun, error: unknown): boolean {
  if (run.ticket.signal.aborted || run.attempts >= maxAttempts) return false;
  if (!(error instanceof MarigoldpostError)) return false;
  if (!isErrorOfKind(error, 'target_failed', 'target_timeout', 'no_target')) {
    return false;
  }
  const {isIdempotent, deduplicatesByKey} = run.traits;
  return error.outcome === 'not_run' || isIdempotent || deduplicatesByKey;
}
