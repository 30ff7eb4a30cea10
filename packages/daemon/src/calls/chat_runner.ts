/** Runs calls to model engines; retries continue a stream on another engine. */
import {
  isErrorOfKind,
  MarigoldpostError,
  type TargetId,
} from '@marigoldpost/common';
import type {CallTicket, ChatAnswer, ChatCall} from '@marigoldpost/programs';
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
} from '@marigoldpost/targets';
import type {RunnerContext} from './runner_context.js';
import {
  type SchedulingFields,
  type TargetRun,
  TargetRunner,
} from './target_runner.js';

/** Kinds of errors after which another engine may continue the stream. */
const retryableKinds = [
  'target_failed',
  'target_timeout',
  'stream_truncated',
  'no_target',
] as const;

/** Progress of one run of a call, with the tokens received so far. */
interface ChatRun extends TargetRun {
  readonly call: ChatCall;
  readonly tokens: string[];
}

/** Runs calls to model engines. */
export class ChatRunner extends TargetRunner<ChatRun> {
  /**
   * Creates a runner.
   * @param context - Parts of the daemon that are needed to run a call.
   */
  static create(context: RunnerContext): ChatRunner {
    return new ChatRunner(context);
  }

  /**
   * Runs a call to its end. The ticket's stream reports the result or the
   * error.
   * @param ticket - The call's ticket, which must own the run.
   * @param call - The ticket's call.
   * @param abandoned - Aborted when the last reader has left and the stream is
   *   not kept.
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
    await this.runToEnd(run);
  }

  /** Resumes the stream that a former holder left on an engine. */
  protected override async resume(run: ChatRun): Promise<boolean> {
    const target = run.turn.previousTarget ?? run.call.resumeTarget;
    if (target === undefined) return false;
    if (this.context.registry.getTarget(target) === undefined) return false;
    try {
      await this.readFromTarget(run, {target, terms: {}}, true);
      return true;
    } catch (error) {
      if (!this.canRetry(run, error)) throw error;
      return false;
    }
  }

  protected override getSchedulingFields({
    call,
    turn,
    tokens,
  }: ChatRun): SchedulingFields {
    const prompt = renderPrompt(turn.messages) + tokens.join('');
    return {
      model: call.model,
      promptTokens: countTokens(prompt),
      maxTokens: call.maxTokens - tokens.length,
      blockHashes: getBlockHashes(call.model, prompt),
    };
  }

  protected override runOnTarget(
    run: ChatRun,
    dispatch: Dispatch,
  ): Promise<void> {
    return this.readFromTarget(run, dispatch, false);
  }

  protected override canRetry(run: ChatRun, error: unknown): boolean {
    return this.hasAttemptsLeft(run) && isErrorOfKind(error, ...retryableKinds);
  }

  protected override getUsedTokens({tokens}: ChatRun): number {
    return tokens.length;
  }

  private async readFromTarget(
    run: ChatRun,
    dispatch: Pick<Dispatch, 'target' | 'terms'>,
    isResumeOnly: boolean,
  ): Promise<void> {
    const {target} = dispatch;
    const {call, ticket} = run;
    const waitMs = this.context.clock.nowMs() - run.admittedMs;
    const {previousOutcome} = run;
    await ticket.commitDispatch(target, {
      previousOutcome,
      isResume: isResumeOnly,
    });
    run.previousOutcome = 'unknown';
    run.attempts += 1;
    const end = await this.readTracked(run, target, isResumeOnly);
    const answer = toAnswer(run, end);
    if (!isResumeOnly) this.context.dispatchLoop.recordFinish(call.callId, end);
    await this.complete(run, answer, dispatch, waitMs);
  }

  private async readTracked(
    run: ChatRun,
    target: TargetId,
    isResumeOnly: boolean,
  ): Promise<EngineEnd> {
    try {
      return await this.trackTargetWork(run, target, () =>
        this.readStream(run, target, isResumeOnly),
      );
    } catch (error) {
      if (run.signal.aborted) this.cancelStream(run, target);
      throw error;
    }
  }

  /** Cancels the engine's stream, unless a new holder resumes it. */
  private cancelStream(run: ChatRun, target: TargetId): void {
    if (isErrorOfKind(run.signal.reason, 'fenced', 'not_holder')) return;
    const engine = this.context.registry.getEngineClientOrThrow(target);
    // If the cancellation is lost, the engine stops at the maximum length.
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
    const message = `stream "${request.streamId}" of target "${target}" ended without its end event`;
    throw MarigoldpostError.create('stream_truncated', message);
  }

  private addToken(
    run: ChatRun,
    index: number,
    text: string,
    isResumeOnly: boolean,
  ): void {
    if (index < run.tokens.length) return;
    if (run.tokens.length === 0) this.recordFirstToken(run, isResumeOnly);
    run.tokens.push(text);
    run.ticket.addToken({index, text});
  }

  private recordFirstToken(run: ChatRun, isResumeOnly: boolean): void {
    const {clock, dispatchLoop, metrics} = this.context;
    const {service, callId} = run.call;
    const waitMs = clock.nowMs() - run.admittedMs;
    metrics.recordValue('first_token_ms', {service}, waitMs);
    if (!isResumeOnly) dispatchLoop.recordFirstToken(callId);
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
    const message = `stream "${run.turn.streamId}" delivered ${completionTokens} tokens, its end event reports ${end.completionTokens}`;
    throw MarigoldpostError.create('stream_truncated', message);
  }
  return {
    kind: 'chat',
    tokens: run.tokens,
    finishReason,
    usage: {promptTokens, cachedTokens, completionTokens},
  };
}
