/** Finds a target that takes a call, trying again where that is safe. */
import {
  isErrorOfKind,
  MarigoldpostError,
  type ServiceId,
  type TargetId,
} from '@marigoldpost/common';
import type {
  DispatchRequest,
  DispatchResult,
  SeenPrompt,
  ServiceDispatcher,
  TargetLease,
  TargetResult,
} from '@marigoldpost/dispatch';
import {isRepeatable} from '@marigoldpost/sites';
import type {StartedAnswer} from '../targets/target_exchange.js';
import {
  type ExchangeOutcome,
  type FailedExchange,
  TargetExchange,
} from '../targets/target_exchange.js';
import type {CallServices} from './call_services.js';
import type {SuspectRequest} from './crash_suspects.js';
import type {IncomingCall} from './incoming_call.js';

/** Targets that may turn one call away before the caller is told. */
const maxTurnedAway = 4;
/** Time left below which a repeatable call is not tried again. */
const minRetryLeftMs = 30;
/** Share of the time left that a repeatable call waits for one target. */
const attemptShare = 0.4;
/** A first attempt is never cut off sooner than this. */
const minAttemptMs = 250;
/** Retry-After for a call that every target turned away. */
const turnedAwayRetryMs = 150;

/** What a target receives. */
export interface CallBody {
  readonly bytes: Uint8Array;
  readonly isPresent: boolean;
  /** Prompt that it continues; nothing for all but turns of a chain. */
  readonly continues?: SeenPrompt;
}

/** An answer that has begun, with the place that it holds. */
export interface TargetAnswer {
  readonly answer: StartedAnswer;
  readonly lease: TargetLease;
}

const targetResults: Record<FailedExchange['reason'], TargetResult> = {
  unreachable: 'unreachable',
  broken: 'broken',
  silent: 'silent',
  cancelled: 'cancelled',
};

/** Attempts of one call. */
export class TargetAttempts {
  private readonly excluded = new Set<TargetId>();
  private attempts = 0;
  private turnedAway = 0;
  private sentAtMs = 0;
  private mayHaveRun = false;

  private constructor(
    private readonly call: IncomingCall,
    private readonly services: CallServices,
    private readonly service: ServiceId,
    private readonly body: CallBody,
  ) {}

  /**
   * Creates the attempts of a call.
   * @param call - The call.
   * @param services - Parts that calls share.
   * @param service - Service that the route chose.
   * @param body - What targets receive.
   */
  static create(
    call: IncomingCall,
    services: CallServices,
    service: ServiceId,
    body: CallBody,
  ): TargetAttempts {
    return new TargetAttempts(call, services, service, body);
  }

  /** Whether another attempt may follow one that may have run. */
  get canRepeat(): boolean {
    const {route, leftMs, signal} = this.call;
    return (
      isRepeatable(route) &&
      !signal.aborted &&
      this.attempts < route.attempts &&
      leftMs > minRetryLeftMs
    );
  }

  /**
   * Gets an answer that has begun. Throws what the caller is to be told when
   * there is none.
   */
  async next(): Promise<TargetAnswer> {
    for (;;) {
      this.checkSuspicion();
      const lease = await this.acquire();
      this.sentAtMs = this.services.clock.nowMs();
      const outcome = await this.send(lease);
      if (outcome.kind === 'answer') {
        this.noteSent();
        return {answer: outcome, lease};
      }
      this.noteFailure(lease, outcome);
    }
  }

  /**
   * Notes that an answer broke after it had begun.
   * @param lease - Place at its target.
   * @param message - What went wrong.
   */
  noteBrokenAnswer(lease: TargetLease, message: string): void {
    this.excluded.add(lease.target.id);
    this.release(lease, {result: 'broken'});
    this.logFailure(lease, 'broken', true, message);
  }

  /**
   * Notes that a target closed its connection while it ran the request.
   * @param lease - Place at the target.
   */
  noteCrash({target}: TargetLease): void {
    const ranMs = this.services.clock.nowMs() - this.sentAtMs;
    this.services.suspects.noteBroken(this.suspect, target.id, ranMs);
  }

  /**
   * Gives a place back after an answer.
   * @param lease - The place.
   * @param result - How the request ended.
   */
  release(lease: TargetLease, result: DispatchResult): void {
    lease.release(result);
    if (result.result === 'answered') {
      this.services.suspects.noteAnswered(this.suspect);
    }
    const {service} = this;
    this.services.metrics.addToCounter('attempts_total', {
      service,
      result: result.result,
    });
  }

  /** Gets what the caller is told when nothing more can be tried. */
  createFailure(message: string): MarigoldpostError {
    const isLate = this.call.endReason === 'timeout';
    if (this.mayHaveRun) {
      const kind = isLate ? 'target_timeout' : 'target_failed';
      return MarigoldpostError.create(kind, message);
    }
    return MarigoldpostError.create('no_target', message, {
      retryAfterMs: turnedAwayRetryMs,
    });
  }

  private get suspect(): SuspectRequest {
    return {call: this.call, body: this.body.bytes};
  }

  private checkSuspicion(): void {
    const outcome = this.mayHaveRun ? 'unknown' : 'not_run';
    this.services.suspects.check(this.suspect, outcome);
  }

  private async acquire(): Promise<TargetLease> {
    const dispatcher = this.getDispatcher();
    const startMs = this.services.clock.nowMs();
    try {
      const lease = await dispatcher.acquire(
        this.createRequest(),
        this.call.signal,
      );
      const waitedMs = this.services.clock.nowMs() - startMs;
      this.logPlaced(lease, dispatcher, waitedMs);
      return lease;
    } catch (error) {
      if (!this.mayHaveRun || !isErrorOfKind(error)) throw error;
      throw this.createFailure(error.message);
    }
  }

  private getDispatcher(): ServiceDispatcher {
    const dispatcher = this.services.site.getDispatcher(this.service);
    if (dispatcher !== undefined) return dispatcher;
    const message = `service "${this.service}" is not configured`;
    throw MarigoldpostError.create('no_target', message, {
      retryAfterMs: turnedAwayRetryMs,
    });
  }

  private createRequest(): DispatchRequest {
    const {route, attributes, leftMs} = this.call;
    const nowMs = this.services.clock.nowMs();
    const finishMs = attributes.finishMs ?? Number.POSITIVE_INFINITY;
    return {
      prompt: attributes.prompt,
      priority: route.priority,
      finishByMs: nowMs + finishMs - this.call.elapsedMs,
      giveUpAtMs: nowMs + leftMs,
      excluded: this.excluded,
      continues: this.body.continues,
      kind: route.name,
    };
  }

  private send(lease: TargetLease): Promise<ExchangeOutcome> {
    const {call, services, body} = this;
    const {target} = lease;
    const {request} = call;
    const leftMs = Math.max(1, Math.floor(call.leftMs));
    const headers = services.codec.encodeForTarget(request.rawHeaders, {
      target: target.id,
      deadlineMs: leftMs,
      bodyBytes: body.bytes.byteLength,
      hasBody: body.isPresent,
    });
    return TargetExchange.send({
      target,
      agent: services.agents.get(target),
      codec: services.codec,
      request: {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body: body.isPresent ? body.bytes : undefined,
        requestId: call.requestId,
      },
      silenceMs: this.getSilenceMs(leftMs),
      signal: call.signal,
    });
  }

  private getSilenceMs(leftMs: number): number {
    const isLast = this.attempts + 1 >= this.call.route.attempts;
    if (!isRepeatable(this.call.route) || isLast) return leftMs;
    return Math.min(leftMs, Math.max(minAttemptMs, leftMs * attemptShare));
  }

  private noteFailure(
    lease: TargetLease,
    outcome: Exclude<ExchangeOutcome, StartedAnswer>,
  ): void {
    this.excluded.add(lease.target.id);
    if (outcome.kind === 'not_run') {
      this.turnedAway += 1;
      this.release(lease, {result: 'turned_away'});
      this.logFailure(lease, 'turned_away', false, `status ${outcome.status}`);
      if (this.turnedAway < maxTurnedAway) return;
      throw this.createFailure('every target asked turned the call away');
    }
    const {reason, isSent, message} = outcome;
    this.release(lease, {result: targetResults[reason]});
    this.logFailure(lease, reason, isSent, message);
    if (reason === 'broken') this.noteCrash(lease);
    if (reason === 'silent') this.services.agents.get(lease.target).closeIdle();
    if (isSent) this.noteSent();
    const mayGoOn = isSent ? this.canRepeat : !this.call.signal.aborted;
    if (!mayGoOn) throw this.createFailure(message);
  }

  private noteSent(): void {
    this.attempts += 1;
    this.mayHaveRun = true;
  }

  private logPlaced(
    lease: TargetLease,
    dispatcher: ServiceDispatcher,
    waitedMs: number,
  ): void {
    const {call, services, service} = this;
    services.metrics.recordValue('target_wait_ms', {service}, waitedMs);
    call.logger.log('call_placed', {
      route: call.route.name,
      service,
      target: lease.target.id,
      attempt: this.attempts + this.turnedAway + 1,
      waitedMs: Math.round(waitedMs),
      load: dispatcher.getLoad(lease.target.id),
      leftMs: Math.round(call.leftMs),
      configVersion: call.config.version,
    });
  }

  private logFailure(
    lease: TargetLease,
    result: string,
    isSent: boolean,
    reason: string,
  ): void {
    this.call.logger.log('attempt_failed', {
      target: lease.target.id,
      result,
      isSent,
      reason,
      elapsedMs: Math.round(this.call.elapsedMs),
    });
  }
}
