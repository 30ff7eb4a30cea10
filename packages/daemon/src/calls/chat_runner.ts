/** Runs one call to a model engine, on as many engines as it takes. */
import {
  type Fingerprint,
  isErrorOfKind,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import type {
  CallTicket,
  ChatAnswer,
  ChatCall,
  TurnContext,
} from '@marigoldpost/programs';
import {
  countTokens,
  type Dispatch,
  getBlockHashes,
  renderPrompt,
} from '@marigoldpost/scheduler';
import {
  type EngineEnd,
  type EngineRequest,
  getFingerprint,
  type TargetWork,
} from '@marigoldpost/targets';
import {checkQuarantine} from './quarantine_check.js';
import type {RunnerContext} from './runner_context.js';

/** Engines that one call may be sent to, the first included. */
const maxAttempts = 3;

/** What one run of a call has got to. */
interface ChatRun {
  readonly ticket: CallTicket;
  /** Aborted when the call must stop. */
  readonly signal: AbortSignal;
  readonly call: ChatCall;
  readonly turn: TurnContext;
  readonly fingerprint: Fingerprint;
  readonly admittedMs: number;
  readonly deadlineMs: number;
  readonly tokens: string[];
  readonly excludedTargets: Set<TargetId>;
  attempts: number;
  previousOutcome: 'not_run' | 'unknown' | undefined;
}

/** Runs calls to model engines. */
export class ChatRunner {
  private constructor(private readonly context: RunnerContext) {}

  /**
   * Creates a runner.
   * @param context - Parts of the daemon.
   */
  static create(context: RunnerContext): ChatRunner {
    return new ChatRunner(context);
  }

  /**
   * Runs a call to its end; the ticket's stream tells how it went.
   * @param ticket - The call's ticket, which must own the run.
   * @param call - The call.
   * @param abandoned - Aborted when no reader is left and none may come back.
   */
  async run(
    ticket: CallTicket,
    call: ChatCall,
    abandoned: AbortSignal,
  ): Promise<void> {
    const admittedMs = this.context.clock.nowMs();
    const signal = AbortSignal.any([ticket.signal, abandoned]);
    const turn = await ticket.waitForTurn(signal);
    const run = createRun({ticket, signal, call, turn, admittedMs});
    try {
      await this.runWithPermit(run);
    } catch (error) {
      await ticket.fail(error instanceof Error ? error : new Error('failed'));
    }
  }

  private async runWithPermit(run: ChatRun): Promise<void> {
    const {limiter, quarantine} = this.context;
    checkQuarantine(quarantine, run.fingerprint, 'not_run');
    const permit = await limiter.acquire(run.call, run.signal);
    try {
      await this.runAttempts(run);
    } finally {
      permit.release(run.tokens.length);
    }
  }

  private async runAttempts(run: ChatRun): Promise<void> {
    if (await this.resumeOnPreviousTarget(run)) return;
    for (;;) {
      const dispatch = await this.waitForDispatch(run);
      try {
        await this.runOnTarget(run, dispatch, false);
        return;
      } catch (error) {
        this.prepareRetry(run, dispatch.target, error);
      }
    }
  }

  /** Picks up the stream that a former holder left on an engine. */
  private async resumeOnPreviousTarget(run: ChatRun): Promise<boolean> {
    const target = run.turn.previousTarget ?? run.call.resumeTarget;
    if (target === undefined) return false;
    if (this.context.registry.getTarget(target) === undefined) return false;
    try {
      await this.runOnTarget(run, {target, terms: {}}, true);
      return true;
    } catch (error) {
      if (!isRetryable(run, error)) throw error;
      return false;
    }
  }

  private waitForDispatch(run: ChatRun): Promise<Dispatch> {
    const {call, turn, ticket} = run;
    const prompt = renderPrompt(turn.messages) + run.tokens.join('');
    return this.context.dispatchLoop.waitForDispatch(
      {
        callId: call.callId,
        program: ticket.program,
        rootProgram: turn.rootProgram,
        service: call.service,
        model: call.model,
        callClass: call.callClass,
        promptTokens: countTokens(prompt),
        maxTokens: call.maxTokens - run.tokens.length,
        blockHashes: getBlockHashes(call.model, prompt),
        deadlineMs: run.deadlineMs,
        excludedTargets: run.excludedTargets,
        isAlone: this.context.quarantine.isSuspect(run.fingerprint),
        turnIndex: turn.turnIndex,
      },
      run.signal,
    );
  }

  private async runOnTarget(
    run: ChatRun,
    {target, terms}: Pick<Dispatch, 'target' | 'terms'>,
    isResumeOnly: boolean,
  ): Promise<void> {
    const {call, ticket} = run;
    const waitMs = this.context.clock.nowMs() - run.admittedMs;
    const {previousOutcome} = run;
    await ticket.commitDispatch(target, {
      previousOutcome,
      isResume: isResumeOnly,
    });
    run.previousOutcome = 'unknown';
    run.attempts += 1;
    const end = await this.readWatched(run, target, isResumeOnly);
    const answer = toAnswer(run, end);
    if (!isResumeOnly) this.context.dispatchLoop.noteFinished(call.callId, end);
    const {clock, metrics} = this.context;
    const {service} = call;
    metrics.recordValue('queue_wait_ms', {service}, waitMs);
    const answeredMs = clock.nowMs();
    await ticket.complete(answer, {target, waitMs, terms});
    metrics.recordValue('commit_wait_ms', {}, clock.nowMs() - answeredMs);
  }

  /** Reads a stream and tells the registry how the target fared. */
  private async readWatched(
    run: ChatRun,
    target: TargetId,
    isResumeOnly: boolean,
  ): Promise<EngineEnd> {
    const {registry, quarantine} = this.context;
    const {fingerprint} = run;
    const {callId} = run.call;
    const work: TargetWork = {target, callId, fingerprint};
    registry.noteStarted(work);
    try {
      const end = await this.readStream(run, target, isResumeOnly);
      registry.noteSuccess(work);
      quarantine.noteSurvived(fingerprint);
      return end;
    } catch (error) {
      await registry.noteFailure(work, error);
      if (run.signal.aborted) this.cancelStream(run, target);
      if (isErrorOfKind(error) && error.outcome === 'not_run') {
        run.previousOutcome = 'not_run';
      }
      throw error;
    }
  }

  /** Frees the engine, unless a new holder goes on with the stream. */
  private cancelStream(run: ChatRun, target: TargetId): void {
    if (isErrorOfKind(run.signal.reason, 'fenced', 'not_holder')) return;
    const engine = this.context.registry.getEngineClientOrThrow(target);
    // An engine that does not hear of it stops at the answer's longest length.
    engine.cancelStream(run.turn.streamId).catch(() => undefined);
  }

  private async readStream(
    run: ChatRun,
    target: TargetId,
    isResumeOnly: boolean,
  ): Promise<EngineEnd> {
    const engine = this.context.registry.getEngineClientOrThrow(target);
    const request = toEngineRequest(run, isResumeOnly);
    const {signal} = run;
    for await (const event of engine.generate(request, signal)) {
      if (event.kind === 'end') return event;
      this.addToken(run, event.index, event.text, isResumeOnly);
    }
    const message = `stream "${request.streamId}" of target "${target}" ended without its last event`;
    throw MarigoldpostError.create('stream_truncated', message);
  }

  private addToken(
    run: ChatRun,
    index: number,
    text: string,
    isResumeOnly: boolean,
  ): void {
    if (index < run.tokens.length) return;
    if (run.tokens.length === 0) this.noteFirstToken(run, isResumeOnly);
    run.tokens.push(text);
    run.ticket.addToken({index, text});
  }

  private noteFirstToken(run: ChatRun, isResumeOnly: boolean): void {
    const {clock, dispatchLoop, metrics} = this.context;
    const {service, callId} = run.call;
    const waitMs = clock.nowMs() - run.admittedMs;
    metrics.recordValue('first_token_ms', {service}, waitMs);
    if (!isResumeOnly) dispatchLoop.noteFirstToken(callId);
  }

  /** Throws the error when the call must not be tried again. */
  private prepareRetry(run: ChatRun, target: TargetId, error: unknown): void {
    this.context.dispatchLoop.removeCall(run.call.callId);
    if (!isRetryable(run, error)) throw error;
    run.excludedTargets.add(target);
    checkQuarantine(this.context.quarantine, run.fingerprint, 'unknown');
  }
}

function createRun({
  ticket,
  signal,
  call,
  turn,
  admittedMs,
}: Pick<
  ChatRun,
  'ticket' | 'signal' | 'call' | 'turn' | 'admittedMs'
>): ChatRun {
  const timeoutMs = Math.min(call.timeoutMs, turn.remainingWallMs);
  const content = JSON.stringify([call.model, turn.messages, call.maxTokens]);
  return {
    ticket,
    signal,
    call,
    turn,
    fingerprint: getFingerprint(call.team, call.service, content),
    admittedMs,
    deadlineMs: admittedMs + timeoutMs,
    tokens: [],
    excludedTargets: new Set(),
    attempts: 0,
    previousOutcome: undefined,
  };
}

function toEngineRequest(run: ChatRun, isResumeOnly: boolean): EngineRequest {
  const {call, turn, ticket, tokens} = run;
  return {
    streamId: turn.streamId,
    model: call.model,
    program: ticket.program,
    messages: turn.messages,
    maxTokens: call.maxTokens,
    offsetTokens: tokens.length,
    answerPrefix: tokens.length > 0 ? [...tokens] : undefined,
    isResumeOnly,
  };
}

function toAnswer(run: ChatRun, end: EngineEnd): ChatAnswer {
  const {finishReason, promptTokens, cachedTokens} = end;
  const completionTokens = run.tokens.length;
  if (end.completionTokens !== completionTokens) {
    const message = `stream "${run.turn.streamId}" has ${completionTokens} tokens, its end says ${end.completionTokens}`;
    throw MarigoldpostError.create('stream_truncated', message);
  }
  return {
    kind: 'chat',
    tokens: run.tokens,
    finishReason,
    usage: {promptTokens, cachedTokens, completionTokens},
  };
}

function isRetryable(run: ChatRun, error: unknown): boolean {
  if (run.signal.aborted || run.attempts >= maxAttempts) return false;
  return isErrorOfKind(
    error,
    'target_failed',
    'target_timeout',
    'stream_truncated',
    'no_target',
  );
}
