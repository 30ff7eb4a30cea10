/** One request and its response over an undici dispatcher. */
import {type Clock, Deferred, type Timer} from '@marigoldpost/common';
import type {Dispatcher} from 'undici';
import type {ChunkBuffer} from './chunk_buffer.js';
import type {ConnectionEnds} from './connection_ends.js';
import type {HttpChunks, HttpFailure, HttpRequest} from './http_types.js';

/** Unread bytes of a streamed response above which reading is paused. */
const highWaterBytes = 64 * 1024;
const firstFinalStatus = 200;
/** Interim (1xx) responses that may precede a response. */
const maxInterimResponses = 8;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Tracks one request from connecting to the end of its response. */
export class HttpExchange implements HttpChunks, Dispatcher.DispatchHandler {
  status = 0;
  headers: Record<string, string> = {};
  private controller: Dispatcher.DispatchController | undefined;
  /** Whether the response has no body, or one with a length or in chunks. */
  isDelimited = true;
  private interimCount = 0;
  private isPaused = false;
  private isEnded = false;
  private failure: HttpFailure | undefined;
  private idleTimer: Timer | undefined;
  private lastActivityMs = 0;
  private clock: Clock | undefined;
  private readonly started = Deferred.create<void>();
  private readonly ended = Deferred.create<void>();
  private readable: Deferred<void> | undefined;
  private readonly onAbort = () =>
    this.fail('aborted', new Error('the request was aborted'));

  private constructor(
    private readonly body: ChunkBuffer,
    private readonly ends: ConnectionEnds,
    private readonly signal: AbortSignal | undefined,
  ) {}

  /**
   * Creates an exchange whose request is not sent yet.
   * @param body - Buffers the body of the response.
   * @param ends - Ends of the dispatcher's connections.
   * @param signal - Aborts the exchange.
   */
  static create(
    body: ChunkBuffer,
    ends: ConnectionEnds,
    signal: AbortSignal | undefined,
  ): HttpExchange {
    return new HttpExchange(body, ends, signal);
  }

  /**
   * Sends the request; fails with `aborted` if the signal is already aborted.
   * @param dispatcher - Connections to the server.
   * @param request - Request to send.
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

  /** Fails the exchange with `timeout`. */
  timeOut(): void {
    this.fail('timeout', new Error('no response within the timeout'));
  }

  /**
   * Fails the exchange with `timeout` when the server sends no data for too
   * long. Time while reading is paused does not count. Also marks the response
   * as streamed.
   * @param clock - Clock for the timeout.
   * @param timeoutMs - Longest period without data.
   */
  startIdleTimeout(clock: Clock, timeoutMs: number): void {
    this.clock = clock;
    this.lastActivityMs = clock.nowMs();
    const check = () => {
      if (this.isPaused) this.recordActivity();
      const leftMs = this.lastActivityMs + timeoutMs - clock.nowMs();
      if (leftMs <= 0) this.timeOut();
      else this.idleTimer = clock.setTimer(leftMs, check);
    };
    this.idleTimer = clock.setTimer(timeoutMs, check);
  }

  /** Waits for the response's head; returns the failure if none arrives. */
  async waitForStart(): Promise<HttpFailure | undefined> {
    await this.started.promise;
    return this.status === 0 ? this.failure : undefined;
  }

  /** Waits for the end of the response; returns the failure, if any. */
  async waitForEnd(): Promise<HttpFailure | undefined> {
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
    this.body.clear();
    if (!this.isEnded) this.onAbort();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // The exchange failed while the connection was being established.
    if (this.failure !== undefined) controller.abort(this.failure.cause);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (status < firstFinalStatus) {
      this.countInterimResponse();
      return;
    }
    this.recordActivity();
    this.status = status;
    this.headers = joinHeaders(headers);
    this.isDelimited =
      bodilessStatuses.has(status) ||
      'content-length' in headers ||
      'transfer-encoding' in headers;
    this.started.resolve();
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.isEnded) return;
    this.recordActivity();
    if (!this.body.add(chunk)) {
      this.fail('cut', new Error('the response body is too large'));
      return;
    }
    if (this.isStreamed() && this.body.size > highWaterBytes) {
      this.isPaused = true;
      controller.pause();
    }
    this.wakeReader();
  }

  onResponseEnd(): void {
    if (this.isDelimited || !this.ends.wasReset) this.end();
    else this.fail('cut', new Error('the connection was reset'));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail('cut', error);
  }

  private countInterimResponse(): void {
    this.interimCount += 1;
    if (this.interimCount <= maxInterimResponses) return;
    const message = `more than ${maxInterimResponses} interim responses`;
    this.fail('cut', new Error(message));
  }

  private fail(reason: HttpFailure['reason'], cause: Error): void {
    if (this.isEnded) return;
    // A reader that is gone leaves its bytes behind.
    if (reason === 'aborted' || !this.isStreamed()) this.body.clear();
    const isSent = this.controller !== undefined;
    this.failure = {kind: 'failure', reason, isSent, cause};
    this.end();
    this.controller?.abort(cause);
  }

  private end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.idleTimer?.cancel();
    this.signal?.removeEventListener('abort', this.onAbort);
    this.started.resolve();
    this.ended.resolve();
    this.wakeReader();
  }

  /** Only streamed exchanges have an idle timeout, and so a clock. */
  private isStreamed(): boolean {
    return this.clock !== undefined;
  }

  private recordActivity(): void {
    if (this.clock !== undefined) this.lastActivityMs = this.clock.nowMs();
  }

  private resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.recordActivity();
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
