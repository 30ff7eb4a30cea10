/** One request and its answer over an undici dispatcher. */
import {type Clock, Deferred, type Timer} from '@marigoldpost/common';
import type {Dispatcher} from 'undici';
import type {HttpBody} from './http_body.js';
import type {HttpChunks, HttpFailure, HttpRequest} from './http_types.js';

/** Unread bytes above which the connection is paused. */
const highWaterBytes = 64 * 1024;
const firstFinalStatus = 200;

/** Follows one request from the connection to the end of its answer. */
export class HttpExchange implements HttpChunks, Dispatcher.DispatchHandler {
  status = 0;
  headers: Record<string, string> = {};
  private controller: Dispatcher.DispatchController | undefined;
  private isPaused = false;
  private isEnded = false;
  private failure: HttpFailure | undefined;
  private silenceTimer: Timer | undefined;
  private lastActivityMs = 0;
  private clock: Clock | undefined;
  private readonly started = Deferred.create<void>();
  private readonly ended = Deferred.create<void>();
  private readable: Deferred<void> | undefined;
  private readonly onAbort = () =>
    this.fail('aborted', new Error('the request was given up'));

  private constructor(
    private readonly body: HttpBody,
    private readonly signal: AbortSignal | undefined,
  ) {}

  /**
   * Creates an exchange that has not begun.
   * @param body - Takes the answer's bytes.
   * @param signal - Gives up.
   */
  static create(body: HttpBody, signal: AbortSignal | undefined): HttpExchange {
    return new HttpExchange(body, signal);
  }

  /**
   * Sends the request.
   * @param dispatcher - Its connections.
   * @param request - The request.
   */
  dispatch(dispatcher: Dispatcher, request: HttpRequest): void {
    if (this.signal?.aborted) {
      this.onAbort();
      return;
    }
    this.signal?.addEventListener('abort', this.onAbort, {once: true});
    const {method, path, headers, body} = request;
    try {
      dispatcher.dispatch({method, path, headers, body: body ?? null}, this);
    } catch (error) {
      this.fail('cut', toError(error));
    }
  }

  /** Times the exchange out now. */
  expire(): void {
    this.fail('timeout', new Error('no answer within the time allowed'));
  }

  /**
   * Times the exchange out whenever the other side is silent for too long.
   * @param clock - Source of time.
   * @param timeoutMs - Longest silence.
   */
  expireWhenSilent(clock: Clock, timeoutMs: number): void {
    this.clock = clock;
    this.lastActivityMs = clock.nowMs();
    const check = () => {
      if (this.isPaused) this.noteActivity();
      const leftMs = this.lastActivityMs + timeoutMs - clock.nowMs();
      if (leftMs <= 0) this.expire();
      else this.silenceTimer = clock.setTimer(leftMs, check);
    };
    this.silenceTimer = clock.setTimer(timeoutMs, check);
  }

  /** Waits for the answer's head; gives the failure that came instead. */
  async whenStarted(): Promise<HttpFailure | undefined> {
    await this.started.promise;
    return this.status === 0 ? this.failure : undefined;
  }

  /** Waits for the end of the answer; gives the failure that came instead. */
  async whenEnded(): Promise<HttpFailure | undefined> {
    await this.ended.promise;
    return this.failure;
  }

  async next(): Promise<Buffer | HttpFailure | undefined> {
    for (;;) {
      const chunk = this.body.take();
      this.resume();
      if (chunk !== undefined) return chunk;
      if (this.isEnded) return this.failure;
      this.readable = Deferred.create<void>();
      await this.readable.promise;
    }
  }

  cancel(): void {
    if (!this.isEnded) this.onAbort();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // The exchange failed while the connection was still being made.
    if (this.failure !== undefined) controller.abort(this.failure.cause);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (status < firstFinalStatus) return;
    this.noteActivity();
    this.status = status;
    this.headers = joinHeaders(headers);
    this.started.resolve();
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.noteActivity();
    if (!this.body.add(chunk)) {
      this.fail('cut', new Error('the answer is too large'));
      return;
    }
    if (this.isStreamed() && this.body.size > highWaterBytes) {
      this.isPaused = true;
      controller.pause();
    }
    this.wakeReader();
  }

  onResponseEnd(): void {
    this.end();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail('cut', error);
  }

  private fail(reason: HttpFailure['reason'], cause: Error): void {
    if (this.isEnded) return;
    const isSent = this.controller !== undefined;
    this.failure = {kind: 'failure', reason, isSent, cause};
    this.end();
    this.controller?.abort(cause);
  }

  private end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.silenceTimer?.cancel();
    this.signal?.removeEventListener('abort', this.onAbort);
    this.started.resolve();
    this.ended.resolve();
    this.wakeReader();
  }

  /** Only an exchange that expires on silence is read as it comes. */
  private isStreamed(): boolean {
    return this.clock !== undefined;
  }

  private noteActivity(): void {
    if (this.clock !== undefined) this.lastActivityMs = this.clock.nowMs();
  }

  private resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.noteActivity();
    this.controller?.resume();
  }

  private wakeReader(): void {
    this.readable?.resolve();
    this.readable = undefined;
  }
}

function joinHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    joined[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return joined;
}

function toError(error: unknown): Error {
  return error instanceof Error ? error : new Error(String(error));
}
