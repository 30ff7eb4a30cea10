/** Events and metrics of one call. */
import {toMarigoldpostError} from '@marigoldpost/common';
import type {
  Call,
  CallAccepted,
  CallFinished,
  Usage,
} from '@marigoldpost/programs';
import type {Exchange} from '../http/exchange.js';
import type {EntryParts} from './entry_context.js';

/** What is logged and measured about a call. */
export class CallRecord {
  private readonly startedMs: number;
  private lastTokenMs: number | undefined;
  private isAccepted = false;
  private isReplay = false;

  private constructor(
    private readonly call: Call,
    private readonly exchange: Exchange,
    private readonly parts: EntryParts,
  ) {
    this.startedMs = parts.clock.nowMs();
  }

  /**
   * Starts the record of a call.
   * @param call - The call.
   * @param exchange - Its request; its log lines carry the call from now on.
   * @param parts - Where to measure.
   */
  static create(call: Call, exchange: Exchange, parts: EntryParts): CallRecord {
    const {callId, program} = call;
    exchange.logger = exchange.logger.withContext({callId, program});
    return new CallRecord(call, exchange, parts);
  }

  /**
   * Notes that the call was accepted.
   * @param event - Its first event.
   */
  noteAccepted(event: CallAccepted): void {
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

  /** Notes a token on its way to the caller. */
  noteToken(): void {
    const {metrics, clock} = this.parts;
    const {service} = this.call;
    const nowMs = clock.nowMs();
    if (this.lastTokenMs === undefined) {
      metrics.recordValue('first_token_ms', {service}, nowMs - this.startedMs);
    } else {
      metrics.recordValue('token_gap_ms', {service}, nowMs - this.lastTokenMs);
    }
    this.lastTokenMs = nowMs;
  }

  /**
   * Notes the complete answer.
   * @param event - The call's last event.
   */
  noteFinished(event: CallFinished): void {
    const {metrics, clock} = this.parts;
    const {team, service} = this.call;
    const {answer, isDurable} = event;
    const durationMs = clock.nowMs() - this.startedMs;
    const usage = answer.kind === 'chat' ? answer.usage : undefined;
    if (usage !== undefined && !this.isReplay) this.addTokens(usage);
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
   * Notes a failure.
   * @param thrown - What was thrown.
   */
  noteFailed(thrown: unknown): void {
    const {kind, outcome} = toMarigoldpostError(thrown);
    const {team, service} = this.call;
    const {logger, signal} = this.exchange;
    this.parts.metrics.addToCounter('calls_total', {service, result: kind});
    if (signal.aborted) logger.log('caller_gone', {team, service});
    else if (this.isAccepted) {
      logger.log('call_failed', {team, service, kind, outcome});
    }
  }

  private addTokens(usage: Usage): void {
    const {metrics} = this.parts;
    const labels = {service: this.call.service};
    const {promptTokens, cachedTokens, completionTokens} = usage;
    metrics.addToCounter('prompt_tokens_total', labels, promptTokens);
    metrics.addToCounter('cached_tokens_total', labels, cachedTokens);
    metrics.addToCounter('completion_tokens_total', labels, completionTokens);
  }
}
