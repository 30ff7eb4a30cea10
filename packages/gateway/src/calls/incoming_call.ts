/** One request of a client, its time limits and its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock, MarigoldpostError, Timer} from '@marigoldpost/common';
import type {CallAttributes, Route, SiteConfig} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import {toRefusal} from '../answers/refusal.js';
import {
  getConnectionHeaders,
  type WholeAnswer,
  writeAnswer,
} from '../answers/write_answer.js';

/** Why a call ended before its answer was complete. */
export type CallEndReason = 'client_gone' | 'timeout';

/** Options of a call. */
export interface IncomingCallOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly attributes: CallAttributes;
  readonly route: Route;
  readonly config: SiteConfig;
  readonly clock: Clock;
  /** Names the request in each line. */
  readonly logger: EventLogger;
  readonly arrivedAtMs: number;
  /** Whether the connection is to be closed after the answer. */
  readonly isClosing: () => boolean;
}

/** Call of a client. */
export class IncomingCall {
  readonly requestId: string;
  /** Aborted when the client has left or the time is up. */
  readonly signal: AbortSignal;
  private readonly controller = new AbortController();
  private readonly timer: Timer;
  private reason: CallEndReason | undefined;
  /** Status of the answer; 0 before it begins. */
  status = 0;

  private constructor(private readonly options: IncomingCallOptions) {
    this.requestId = options.attributes.requestId ?? '';
    this.signal = this.controller.signal;
    const {response, clock} = options;
    response.once('close', () => {
      this.timer.cancel();
      if (!response.writableFinished) this.end('client_gone');
    });
    this.timer = clock.setTimer(this.leftMs, () => this.end('timeout'));
  }

  /**
   * Creates a call.
   * @param options - Request, route and configuration.
   */
  static create(options: IncomingCallOptions): IncomingCall {
    return new IncomingCall(options);
  }

  /** The client's request. */
  get request(): IncomingMessage {
    return this.options.request;
  }

  /** What its headers say. */
  get attributes(): CallAttributes {
    return this.options.attributes;
  }

  /** Logger whose lines name the request. */
  get logger(): EventLogger {
    return this.options.logger;
  }

  /** Its route. */
  get route(): Route {
    return this.options.route;
  }

  /** Configuration that gave it its route. */
  get config(): SiteConfig {
    return this.options.config;
  }

  /** Why it ended early; nothing while it has not. */
  get endReason(): CallEndReason | undefined {
    return this.reason;
  }

  /** Time since it arrived. */
  get elapsedMs(): number {
    return this.options.clock.nowMs() - this.options.arrivedAtMs;
  }

  /** Time left until client or route give up. */
  get leftMs(): number {
    const {attributes, route} = this.options;
    const {timeoutMs} = route;
    const limitMs = Math.min(attributes.deadlineMs ?? timeoutMs, timeoutMs);
    return limitMs - this.elapsedMs;
  }

  /** Whether any part of an answer has been sent. */
  get isAnswered(): boolean {
    return this.options.response.headersSent;
  }

  /**
   * Sends a whole answer; ignored once an answer has begun.
   * @param answer - The answer.
   */
  answer(answer: WholeAnswer): void {
    const {response, isClosing} = this.options;
    if (this.isAnswered || response.destroyed) return;
    this.status = answer.status;
    writeAnswer(response, answer, isClosing());
  }

  /**
   * Answers with an error of the project's own.
   * @param error - The error.
   */
  refuse(error: MarigoldpostError): void {
    this.answer(toRefusal(error));
  }

  /**
   * Begins an answer whose length is not known.
   * @param status - Its status.
   * @param headers - Names and values in turn.
   */
  begin(status: number, headers: readonly string[]): void {
    this.status = status;
    const {response, isClosing} = this.options;
    const closing = getConnectionHeaders(isClosing());
    response.writeHead(status, [...headers, ...closing]);
  }

  /**
   * Sends a part of a begun answer; false when the client reads too slowly.
   * @param chunk - The part.
   */
  write(chunk: Uint8Array): boolean {
    return this.options.response.write(chunk);
  }

  /**
   * Waits until the client has read what was sent.
   * @param onDrained - Called then.
   */
  onceDrained(onDrained: () => void): void {
    this.options.response.once('drain', onDrained);
  }

  /** Completes a begun answer. */
  complete(): void {
    this.options.response.end();
  }

  /** Closes the connection once the answer has been sent. */
  closeAfter(): void {
    const {request, response} = this.options;
    response.once('finish', () => request.socket.destroySoon());
  }

  /** Closes the connection, so that a begun answer does not look complete. */
  breakOff(): void {
    this.options.response.destroy();
  }

  private end(reason: CallEndReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.controller.abort();
  }
}
