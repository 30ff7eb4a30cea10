/** Sends a call to targets, retrying where that is safe. */
import {
  type DaemonId,
  isErrorOfKind,
  MarigoldpostError,
  type ServiceId,
  type TargetId,
} from '@marigoldpost/common';
import type {
  DispatchRequest,
  DispatchResult,
  ProcessedPrompt,
  ServiceDispatcher,
  TargetLease,
} from '@marigoldpost/dispatch';
import {isRepeatable, type TargetEntry} from '@marigoldpost/sites';
import {minRelayedLossSilenceMs} from '../links/loss_detector.js';
import type {BodyEnd, BodyFields} from '../responses/body_end.js';
import {
  type ExchangeOutcome,
  hasNotRun,
  isMisdirected,
  type NotRunResponse,
  type StartedResponse,
  type TargetRequest,
} from '../targets/http_exchange.js';
import type {CallServices} from './call_services.js';
import type {EndedResponse} from './ended_response.js';
import type {IncomingCall} from './incoming_call.js';
import {AttemptLog} from './attempt_log.js';
import {AttemptTrial} from './attempt_trial.js';
import type {TargetRun} from './recent_crashes.js';
import {getBrokenResult, targetResults} from './target_results.js';
import {TrackedRequest} from './tracked_request.js';

/** Targets that may reject one call before the client gets an error. */
const maxRejections = 4;
/** A repeatable call is not retried with this much time left, or less. */
const minRetryRemainingMs = 30;
/** Share of the time left that one attempt of a repeatable call may take. */
const attemptTimeShare = 0.4;
/** An attempt that is not the last is given at least this, if time is left. */
const minAttemptTimeoutMs = 250;
/** Retry-After for a call that no target accepted. */
const rejectedRetryAfterMs = 150;

/** Value of `via` for a request that no other entry VM relays. */
const directPath = 'direct';

/** Body that a target receives. */
export interface CallBody {
  readonly bytes: Uint8Array;
  readonly isPresent: boolean;
  /** Prompt that this one extends; set only for a turn that follows others. */
  readonly previousPrompt?: ProcessedPrompt;
}

/** A started response, with the lease that its request holds on the target. */
export interface LeasedResponse {
  readonly answer: StartedResponse;
  readonly lease: TargetLease;
}

/** The attempts of one call; each target is tried at most once. */
export class TargetAttempts {
  private readonly excluded = new Set<TargetId>();
  /** Attempts that a target may have run; rejections are counted separately. */
  private attempts = 0;
  private rejections = 0;
  /** Whether the current attempt may take the whole time of the call. */
  private mayTakeAllTime = false;
  /** Whether the last attempt waited until the time of the call ended. */
  private hasTimedOut = false;
  /** Entry VM that relayed the last attempt; `undefined` if none did. */
  private peer: DaemonId | undefined;
  /** Target of the last attempt, as the instance that received it. */
  private receiver!: TargetEntry;
  private readonly trackedRequest: TrackedRequest;
  private readonly log: AttemptLog;
  private readonly trial: AttemptTrial;
  /** When the last attempt was sent. */
  sentAtMs = 0;

  private constructor(
    private readonly call: IncomingCall,
    private readonly services: CallServices,
    private readonly service: ServiceId,
    private readonly body: CallBody,
  ) {
    this.trackedRequest = TrackedRequest.create(call, body.bytes);
    this.log = AttemptLog.create(call, services, service);
    const {crashTracker} = services;
    this.trial = AttemptTrial.create(crashTracker, this.trackedRequest);
  }

  /**
   * Creates the attempts of a call; sends nothing yet.
   * @param call - Call whose body has been read.
   * @param services - Components that all calls share.
   * @param service - Service that was selected from the route.
   * @param body - Body that targets receive.
   */
  static create(
    call: IncomingCall,
    services: CallServices,
    service: ServiceId,
    body: CallBody,
  ): TargetAttempts {
    return new TargetAttempts(call, services, service, body);
  }

  /** Whether a retry is allowed after an attempt that may have run. */
  get canRetry(): boolean {
    const {route, leftMs, signal} = this.call;
    return (
      isRepeatable(route) &&
      !this.trial.isActive &&
      !signal.aborted &&
      this.attempts < route.attempts &&
      leftMs > minRetryRemainingMs
    );
  }

  /**
   * Sends the call to targets until one responds. The lease must be released
   * after use. Throws the error to send to the client if no target responds.
   */
  async nextResponse(): Promise<LeasedResponse> {
    try {
      return await this.findResponse();
    } catch (error) {
      // Otherwise the end of the attempt has ended the trial.
      if (this.attempts === 0) this.trial.end('not_run');
      throw error;
    }
  }

  private async findResponse(): Promise<LeasedResponse> {
    for (;;) {
      this.rejectIfRefused();
      const lease = await this.acquireUnlessQuarantined();
      this.services.crashTracker.recordSend(
        this.trackedRequest,
        lease.target.id,
      );
      this.sentAtMs = this.services.clock.nowMs();
      const outcome = await this.send(lease);
      if (outcome.kind !== 'failed') {
        this.recordResponse(outcome);
      }
      if (outcome.kind === 'answer') {
        this.attempts += 1;
        return {answer: outcome, lease};
      }
      this.handleFailure(lease, outcome);
    }
  }

  /**
   * Records an unusable response, releases its lease and excludes its target
   * from further attempts.
   * @param lease - Lease of the attempt.
   * @param message - Why the response is unusable.
   * @param body - How the body ended, if it has been read.
   */
  recordBrokenResponse(
    lease: TargetLease,
    message: string,
    body?: BodyFields,
  ): void {
    this.excluded.add(lease.target.id);
    const result = getBrokenResult(this.call, body);
    this.release(lease, {result});
    this.logFailure(lease, result, true, message, body);
  }

  /**
   * Records that a connection was closed while a target ran the request.
   * @param end - How the response ended.
   */
  recordCrash({silentMs}: BodyEnd): void {
    const {receiver: target, services} = this;
    const {crashTracker} = services;
    if (this.peer === undefined) {
      crashTracker.recordCrash(this.trackedRequest, target, this.getRun());
    } else void this.recordRelayedCrash(target, this.peer, silentMs);
  }

  /** Records that a target was running the request and has not responded. */
  recordSilence(): void {
    const {crashTracker} = this.services;
    const run = this.getRun();
    crashTracker.recordSilence(this.trackedRequest, this.receiver, run);
  }

  /**
   * Finds why the target of a response is lost; `undefined` while it may go on.
   * @param lease - Lease of the attempt.
   * @param silentMs - Time since the last bytes of the response.
   */
  findLoss({target}: TargetLease, silentMs: number): string | undefined {
    const {lossDetector} = this.services;
    return lossDetector.findLoss({target, peer: this.peer, silentMs});
  }

  /**
   * Releases the lease of an attempt that the target may have run, and counts
   * it.
   * @param lease - Lease of the attempt.
   * @param result - How the attempt ended.
   */
  release(lease: TargetLease, result: DispatchResult): void {
    this.releaseLease(lease, result);
    this.trial.watch(this.receiver, this.getRun());
  }

  /**
   * Releases the lease of an attempt whose response is not truncated.
   * @param lease - Lease of the attempt.
   * @param response - What is known of the response.
   */
  complete(
    lease: TargetLease,
    {status, proof, latencySampleMs, run}: EndedResponse,
  ): void {
    const {crashTracker} = this.services;
    const {trackedRequest} = this;
    const target = this.receiver;
    if (proof === 'complete') {
      this.trial.end('survived');
      this.release(lease, {result: 'answered', latencySampleMs, run});
      crashTracker.recordCompletion(trackedRequest, target.id, status);
      return;
    }
    this.release(lease, {result: 'answered'});
    crashTracker.recordUnprovenEnd(
      trackedRequest,
      target,
      this.getRun(),
      status,
    );
  }

  /** `direct`, or the entry VM that relayed the last response. */
  get path(): string {
    return this.peer ?? directPath;
  }

  /** Creates the error for the client when no further attempt is allowed. */
  createFailure(message: string): MarigoldpostError {
    const isLate = this.hasTimedOut || this.call.endReason === 'timeout';
    if (this.attempts > 0) {
      const kind = isLate ? 'target_timeout' : 'target_failed';
      return MarigoldpostError.create(kind, message);
    }
    return MarigoldpostError.create('no_target', message, {
      retryAfterMs: rejectedRetryAfterMs,
    });
  }

  private recordResponse(outcome: StartedResponse | NotRunResponse): void {
    const {receiver: target, services} = this;
    const {crashTracker, targetLimits} = services;
    const {sentAtMs} = this;
    if (!isMisdirected(outcome)) crashTracker.recordResponse(target, sentAtMs);
    const {rateLimitPerS: limitPerS, isLeaving, isSigned} = outcome.attributes;
    const statement = {limitPerS, isLeaving, sentAtMs, isSigned};
    targetLimits.recordResponse(target, statement);
  }

  /**
   * Either hop may have lost its connection; a peer that runs has not, unless
   * it gave up a silent response. Then only a loss of the target is a crash.
   */
  private async recordRelayedCrash(
    target: TargetEntry,
    peer: DaemonId,
    silentMs: number,
  ): Promise<void> {
    const {crashTracker, sender} = this.services;
    const run = this.getRun();
    const isGivenUp = silentMs >= minRelayedLossSilenceMs;
    if (isGivenUp || !(await sender.isPeerRunning(peer))) {
      crashTracker.recordSilence(this.trackedRequest, target, run);
    } else {
      crashTracker.recordCrash(this.trackedRequest, target, run);
    }
  }

  private getRun(): TargetRun {
    const runEndedAtMs = this.services.clock.nowMs();
    return {runStartedAtMs: this.sentAtMs, runEndedAtMs};
  }

  private rejectIfRefused(): void {
    const outcome = this.attempts > 0 ? 'unknown' : 'not_run';
    this.trial.admit(outcome);
    this.services.responseMemory.check(outcome);
  }

  private releaseLease(lease: TargetLease, result: DispatchResult): void {
    lease.release(result);
    const {service} = this;
    this.services.metrics.addToCounter('attempts_total', {
      service,
      result: result.result,
    });
  }

  private async acquireUnlessQuarantined(): Promise<TargetLease> {
    if (this.trial.isActive) {
      const dispatcher = this.services.site.getDispatcher(this.service);
      await this.trial.confirm(dispatcher, this.excluded);
      return this.acquire(this.call.signal);
    }
    const {crashTracker} = this.services;
    const controller = new AbortController();
    const stopWatching = crashTracker.watch(this.trackedRequest, () =>
      controller.abort(),
    );
    const signal = AbortSignal.any([this.call.signal, controller.signal]);
    try {
      const lease = await this.acquire(signal);
      if (!controller.signal.aborted) return lease;
      lease.release({result: 'cancelled'});
    } catch (error) {
      if (!controller.signal.aborted) throw error;
    } finally {
      stopWatching();
    }
    this.rejectIfRefused();
    return this.acquireUnlessQuarantined();
  }

  private async acquire(signal: AbortSignal): Promise<TargetLease> {
    const dispatcher = this.getDispatcher();
    const startMs = this.services.clock.nowMs();
    try {
      const lease = await dispatcher.acquire(this.createRequest(), signal);
      if (!dispatcher.mayReceive(lease.target, this.excluded)) {
        // A response has stated since that the target is leaving.
        lease.release({result: 'cancelled'});
        return await this.acquire(signal);
      }
      const waitedMs = this.services.clock.nowMs() - startMs;
      const attempt = this.attempts + this.rejections + 1;
      const load = dispatcher.getLoad(lease.target.id);
      this.log.logPlacement(lease.target, {attempt, load, waitedMs});
      return lease;
    } catch (error) {
      if (this.attempts === 0 || !isErrorOfKind(error)) throw error;
      throw this.createFailure(error.message);
    }
  }

  private getDispatcher(): ServiceDispatcher {
    const dispatcher = this.services.site.getDispatcher(this.service);
    if (dispatcher !== undefined) return dispatcher;
    const message = `service "${this.service}" is not configured`;
    throw MarigoldpostError.create('no_target', message, {
      retryAfterMs: rejectedRetryAfterMs,
    });
  }

  private createRequest(): DispatchRequest {
    const {route, attributes, leftMs} = this.call;
    const nowMs = this.services.clock.nowMs();
    const finishMs = attributes.finishMs ?? Number.POSITIVE_INFINITY;
    return {
      prompt: attributes.prompt,
      tenantPriority: this.call.tenant?.priority ?? 0,
      priority: route.priority,
      finishByMs: nowMs + finishMs - this.call.elapsedMs,
      deadlineMs: nowMs + leftMs,
      excluded: this.excluded,
      previousPrompt: this.body.previousPrompt,
      kind: route.name,
      outputHintTokens: attributes.outputHintTokens,
      maxOutputTokens: attributes.maxOutputTokens,
    };
  }

  private async send({target}: TargetLease): Promise<ExchangeOutcome> {
    const {call} = this;
    call.mayHaveRun = true;
    const {outcome, peer, receiver} = await this.services.sender.send({
      target,
      createRequest: () => this.createTargetRequest(target),
      getHeadTimeoutMs: () => this.getHeadTimeoutMs(target, this.wholeLeftMs),
      signal: call.signal,
      onRelay: (relay) => this.log.logRelay(target, relay),
    });
    this.peer = peer;
    this.receiver = receiver;
    if (hasNotRun(outcome) && this.attempts === 0) call.mayHaveRun = false;
    return outcome;
  }

  private get wholeLeftMs(): number {
    return Math.max(1, Math.floor(this.call.leftMs));
  }

  private createTargetRequest(target: TargetEntry): TargetRequest {
    const {call, services, body} = this;
    const {request} = call;
    const headers = services.codec.encodeForTarget(request.rawHeaders, {
      target: target.id,
      deadlineMs: this.wholeLeftMs,
      bodyBytes: body.bytes.byteLength,
      hasBody: body.isPresent,
      caller: call.caller,
    });
    return {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers,
      body: body.isPresent ? body.bytes : undefined,
      requestId: call.requestId,
    };
  }

  private getHeadTimeoutMs(target: TargetEntry, leftMs: number): number {
    const shareMs = Math.max(minAttemptTimeoutMs, leftMs * attemptTimeShare);
    const mayEnd = !this.isLastAttempt && this.hasTargetBeside(target);
    const timeoutMs = mayEnd ? Math.min(leftMs, shareMs) : leftMs;
    this.mayTakeAllTime = timeoutMs === leftMs;
    return timeoutMs;
  }

  /** Whether no attempt may follow one that may have run. */
  private get isLastAttempt(): boolean {
    const {route} = this.call;
    if (this.trial.isActive || !isRepeatable(route)) return true;
    return this.attempts + 1 >= route.attempts;
  }

  private hasTargetBeside({id}: TargetEntry): boolean {
    const tried = new Set([...this.excluded, id]);
    const dispatcher = this.services.site.getDispatcher(this.service);
    return dispatcher?.hasTarget(tried) === true;
  }

  private handleFailure(
    lease: TargetLease,
    outcome: Exclude<ExchangeOutcome, StartedResponse>,
  ): void {
    this.excluded.add(lease.target.id);
    if (outcome.kind === 'not_run') {
      this.rejections += 1;
      this.releaseLease(lease, {result: 'turned_away'});
      this.logFailure(lease, 'turned_away', false, `status ${outcome.status}`);
      if (this.rejections < maxRejections) return;
      throw this.createFailure(`${this.rejections} targets rejected the call`);
    }
    const {reason, isSent, message, failedPeer, isMalformed} = outcome;
    // The timer of the attempt may run out just before that of the call.
    this.hasTimedOut = reason === 'silent' && this.mayTakeAllTime;
    const isPeerFault = failedPeer !== undefined;
    if (outcome.leavingSource !== undefined) {
      const {targetLimits} = this.services;
      targetLimits.recordLeaving(lease.target, outcome.leavingSource);
    }
    const isSound = isPeerFault || outcome.leavingSource !== undefined;
    const result = isSound ? 'cancelled' : targetResults[reason];
    this.releaseLease(lease, {result});
    this.logFailure(lease, reason, isSent, message);
    if (isMalformed !== true) {
      const {crashTracker} = this.services;
      if (reason === 'broken' && !isPeerFault) {
        const run = this.getRun();
        crashTracker.recordCrash(this.trackedRequest, this.receiver, run);
      } else if (isSent) this.recordSilence();
    }
    if (reason === 'silent') this.services.agents.get(lease.target).closeIdle();
    if (isSent) {
      this.attempts += 1;
      this.trial.watch(this.receiver, this.getRun());
    }
    const mayContinue = isSent ? this.canRetry : !this.call.signal.aborted;
    if (!mayContinue) throw this.createFailure(message);
  }

  private logFailure(
    lease: TargetLease,
    result: string,
    isSent: boolean,
    reason: string,
    body?: BodyFields,
  ): void {
    const {path: via} = this;
    this.log.logFailure(lease.target, {via, result, isSent, reason, ...body});
  }
}
