/**
 * Runs calls to plain services. A call that is not safe to repeat is sent to
 * another target only if it certainly did not run on the first.
 */
import {
  type Fingerprint,
  isErrorOfKind,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import type {CallTicket, CallTraits, PlainCall} from '@marigoldpost/programs';
import type {Dispatch} from '@marigoldpost/scheduler';
import {getFingerprint, type PlainResponse} from '@marigoldpost/targets';
import type {RunnerContext} from './runner_context.js';
import {
  type SchedulingFields,
  type TargetRun,
  TargetRunner,
} from './target_runner.js';

/** Progress of one run of a call. */
interface PlainRun extends TargetRun {
  readonly call: PlainCall;
  readonly traits: CallTraits;
}

/** Runs calls to plain services. */
export class PlainRunner extends TargetRunner<PlainRun> {
  /**
   * Creates a runner.
   * @param context - Parts of the daemon that are needed to run a call.
   */
  static create(context: RunnerContext): PlainRunner {
    return new PlainRunner(context);
  }

  /**
   * Runs a call to its end. The ticket's stream reports the result or the
   * error.
   * @param ticket - The call's ticket, which must own the run.
   * @param call - The ticket's call.
   * @param traits - Whether the call may be sent twice.
   */
  async run(
    ticket: CallTicket,
    call: PlainCall,
    traits: CallTraits,
  ): Promise<void> {
    const admittedMs = this.context.clock.nowMs();
    const turn = await ticket.waitForTurn(ticket.signal);
    const timeoutMs = Math.min(call.timeoutMs, turn.remainingWallMs);
    await this.runToEnd({
      ticket,
      signal: ticket.signal,
      call,
      traits,
      turn,
      fingerprint: getCallFingerprint(call),
      admittedMs,
      deadlineMs: admittedMs + timeoutMs,
      excludedTargets: new Set(),
      attempts: 0,
      previousOutcome: undefined,
    });
  }

  protected override getSchedulingFields(): SchedulingFields {
    return {promptTokens: 0, maxTokens: 0, blockHashes: []};
  }

  protected override canRetry(run: PlainRun, error: unknown): boolean {
    if (!this.hasAttemptsLeft(run)) return false;
    if (!(error instanceof MarigoldpostError)) return false;
    if (!isErrorOfKind(error, 'target_failed', 'target_timeout', 'no_target')) {
      return false;
    }
    const {isIdempotent, deduplicatesByKey} = run.traits;
    return error.outcome === 'not_run' || isIdempotent || deduplicatesByKey;
  }

  protected override getUsedTokens(): number {
    return 0;
  }

  protected override getRetryOutcome(run: PlainRun): 'not_run' | 'unknown' {
    return run.previousOutcome ?? 'unknown';
  }

  protected override async runOnTarget(
    run: PlainRun,
    dispatch: Dispatch,
  ): Promise<void> {
    const {target} = dispatch;
    const {call, ticket, previousOutcome} = run;
    const waitMs = this.context.clock.nowMs() - run.admittedMs;
    await ticket.commitDispatch(target, {previousOutcome});
    run.attempts += 1;
    const response = await this.send(run, target);
    this.context.dispatchLoop.recordFinish(call.callId, {
      promptTokens: 0,
      cachedTokens: 0,
      completionTokens: 0,
    });
    await this.complete(run, {kind: 'plain', response}, dispatch, waitMs);
  }

  private send(run: PlainRun, target: TargetId): Promise<PlainResponse> {
    const client = this.context.registry.getPlainClientOrThrow(target);
    const {call, signal} = run;
    return this.trackTargetWork(run, target, () =>
      client.send(call.request, signal),
    );
  }
}

function getCallFingerprint(call: PlainCall): Fingerprint {
  const {method, path, body} = call.request;
  const content = JSON.stringify([method, path, body]);
  return getFingerprint(call.team, call.service, content);
}
