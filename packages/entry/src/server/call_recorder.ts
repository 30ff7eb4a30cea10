/** Records the log events and metrics of one call. */
import {isErrorOfKind, toMarigoldpostError} from '@marigoldpost/common';
import type {
  Call,
  CallAccepted,
  CallFinished,
  Usage,
} from '@marigoldpost/programs';
import type {Exchange} from '../http/exchange.js';
import type {EntryDependencies} from './entry_context.js';

/** Logs and measures one call from its start to its end. */
export class CallRecorder {
  private readonly startedAtMs: number;
  private lastTokenMs: number | undefined;
  private isAccepted = false;
  private isReplay = false;

  private constructor(
    private readonly call: Call,
    private readonly exchange: Exchange,
    private readonly dependencies: EntryDependencies,
  ) {
    this.startedAtMs = dependencies.clock.nowMs();
  }

  /**
   * Creates a recorder and starts measuring the call's duration.
   * @param call - Call to record.
   * @param exchange - The call's request; its log lines get the ids of the call
   *   and of its program.
   * @param dependencies - Clock and metrics.
   */
  static create(
    call: Call,
    exchange: Exchange,
    dependencies: EntryDependencies,
  ): CallRecorder {
    const {callId, program} = call;
    exchange.logger = exchange.logger.withContext({callId, program});
    return new CallRecorder(call, exchange, dependencies);
  }

  /**
   * Logs that the call was accepted.
   * @param event - First event of the call.
   */
  recordAccepted(event: CallAccepted): void {
    const {call, exchange} = this;
    const {program, isReplay} = event;
    const {team, service} = call;
    this.isAccepted = true;
    this.isReplay = isReplay;
    if (call.program === undefined) {
      exchange.logger = exchange.logger.withContext({program});
    }
    exchange.logger.log('call_accepted', {team, service, isReplay});
  }

  /** Measures the time to the first token, or the gap since the last token. */
  recordToken(): void {
    const {metrics, clock} = this.dependencies;
    const {service} = this.call;
    const nowMs = clock.nowMs();
    if (this.lastTokenMs === undefined) {
      metrics.recordValue(
        'first_token_ms',
        {service},
        nowMs - this.startedAtMs,
      );
    } else {
      metrics.recordValue('token_gap_ms', {service}, nowMs - this.lastTokenMs);
    }
    this.lastTokenMs = nowMs;
  }

  /**
   * Logs and counts a finished call, and its tokens unless it is a replay.
   * @param event - Last event of the call.
   */
  recordFinished(event: CallFinished): void {
    const {metrics, clock} = this.dependencies;
    const {team, service} = this.call;
    const {answer, isDurable} = event;
    const durationMs = clock.nowMs() - this.startedAtMs;
    const usage = answer.kind === 'chat' ? answer.usage : undefined;
    if (usage !== undefined && !this.isReplay) this.countTokens(usage);
    metrics.recordValue('call_duration_ms', {service}, durationMs);
    metrics.addToCounter('calls_total', {service, result: 'finished'});
    this.exchange.logger.log('call_finished', {
      team,
      service,
      durationMs,
      isDurable,
      completionTokens: usage?.completionTokens,
    });
  }

  /**
   * Logs and counts a failed call.
   * @param thrown - Value that was thrown.
   */
  recordFailed(thrown: unknown): void {
    const {kind, outcome} = toMarigoldpostError(thrown);
    const {team, service} = this.call;
    const {logger, signal} = this.exchange;
    this.dependencies.metrics.addToCounter('calls_total', {
      service,
      result: kind,
    });
    if (isErrorOfKind(signal.reason, 'cancelled')) {
      logger.log('caller_gone', {team, service});
    } else if (this.isAccepted) {
      logger.log('call_failed', {team, service, kind, outcome});
    }
  }

  private countTokens(usage: Usage): void {
    const {metrics} = this.dependencies;
    const labels = {service: this.call.service};
    const {promptTokens, cachedTokens, completionTokens} = usage;
    metrics.addToCounter('prompt_tokens_total', labels, promptTokens);
    metrics.addToCounter('cached_tokens_total', labels, cachedTokens);
    metrics.addToCounter('completion_tokens_total', labels, completionTokens);
  }
}
