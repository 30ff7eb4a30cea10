/** A client's request with its deadline and its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  type Clock,
  MarigoldpostError,
  resetSocket,
  type TargetId,
  type Timer,
  waitUnlessAborted,
} from '@marigoldpost/common';
import type {
  CallAttributes,
  CallerIdentity,
  Route,
  SiteConfig,
  Tenant,
} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {CallAccess} from '../access/call_access.js';
import type {BodyFields} from '../responses/body_end.js';
import {createErrorResponse} from '../responses/error_response.js';
import type {ConnectionOrder} from './connection_order.js';
import {
  getConnectionHeaders,
  type BufferedResponse,
  writeResponse,
} from '../responses/write_response.js';

/**
 * A reset that arrives together with the last bytes looks like a normal end to
 * clients that are built on libuv.
 */
const resetDelayMs = 20;

/**
 * Why a call was aborted before its response was complete. `connection_closed`
 * means that its connection closed while it waited for earlier responses, so
 * that it has not run.
 */
export type CallEndReason =
  'client_gone' | 'connection_closed' | 'timeout' | 'stopping';

/** Head of a response whose body follows in parts. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/**
 * What the end of its response tells the client: `complete`, by a length or a
 * last chunk, `closed`, by the normal end of a connection that delimits the
 * response, `aborted`, by a connection that breaks, or `none`, by a connection
 * that closes before the head of a response.
 */
export type ClientEnd = 'complete' | 'closed' | 'aborted' | 'none';

/** The target's response that is sent to the client, for the log. */
export interface ServedResponse extends BodyFields {
  readonly target: TargetId;
  /** `direct`, or the entry VM that relayed it. */
  readonly via: string;
}

/** Request, response and context of a call. */
export interface IncomingCallOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly attributes: CallAttributes;
  readonly route: Route;
  readonly config: SiteConfig;
  readonly access: CallAccess;
  readonly clock: Clock;
  /** Logger whose context has the request's id. */
  readonly logger: EventLogger;
  readonly arrivedAtMs: number;
  readonly order: ConnectionOrder;
  /** Whether to close the connection after the response. */
  readonly isClosing: () => boolean;
}

/** A client's request that is being served. */
export class IncomingCall {
  readonly requestId: string;
  /** Aborted when the client disconnects, the time is over or the daemon stops. */
  readonly signal: AbortSignal;
  private readonly controller = new AbortController();
  private readonly timer: Timer;
  private reason: CallEndReason | undefined;
  private response: ServedResponse | undefined;
  private told: ClientEnd | undefined;
  /** Status of the response; 0 before it starts. */
  status = 0;
  /** Whether a target may have run it. */
  mayHaveRun = false;

  private constructor(private readonly options: IncomingCallOptions) {
    this.requestId = options.attributes.requestId ?? '';
    this.signal = this.controller.signal;
    const {response, clock} = options;
    response.once('close', () => {
      if (!response.writableFinished) this.end('client_gone');
    });
    this.timer = clock.setTimer(this.leftMs, () => this.end('timeout'));
  }

  /**
   * Creates a call and starts its deadline timer.
   * @param options - Request, route and configuration.
   */
  static create(options: IncomingCallOptions): IncomingCall {
    return new IncomingCall(options);
  }

  /** The client's HTTP request. */
  get request(): IncomingMessage {
    return this.options.request;
  }

  /** Attributes decoded from the request's headers. */
  get attributes(): CallAttributes {
    return this.options.attributes;
  }

  /** Logger whose context has the request's id. */
  get logger(): EventLogger {
    return this.options.logger;
  }

  /** Route that matched the request. */
  get route(): Route {
    return this.options.route;
  }

  /** Tenant whose key the request carries, if any. */
  get tenant(): Tenant | undefined {
    return this.options.access.tenant;
  }

  /** What targets learn of the caller; `undefined` on a site without tenants. */
  get caller(): CallerIdentity | undefined {
    return this.options.access.caller;
  }

  /** Configuration in force when the request was routed. */
  get config(): SiteConfig {
    return this.options.config;
  }

  /** Why the call was aborted; `undefined` if it was not. */
  get endReason(): CallEndReason | undefined {
    return this.reason;
  }

  /** The target's response that is sent to the client, if any. */
  get servedResponse(): ServedResponse | undefined {
    return this.response;
  }

  /** What the client was told at the end. */
  get clientEnd(): ClientEnd {
    return this.told ?? 'none';
  }

  /** Time since the request arrived. */
  get elapsedMs(): number {
    return this.options.clock.nowMs() - this.options.arrivedAtMs;
  }

  /** Time left until the client's deadline or the route's timeout expires. */
  get leftMs(): number {
    const {attributes, route} = this.options;
    const {timeoutMs} = route;
    const limitMs = Math.min(attributes.deadlineMs ?? timeoutMs, timeoutMs);
    return limitMs - this.elapsedMs;
  }

  /** Whether the client's deadline ended the call before the route's time-out. */
  get hasMissedDeadline(): boolean {
    const {attributes, route} = this.options;
    const {deadlineMs = Number.POSITIVE_INFINITY} = attributes;
    return this.reason === 'timeout' && deadlineMs < route.timeoutMs;
  }

  /** Whether a response could still reach the client. */
  get canBeAnswered(): boolean {
    return this.reason !== 'client_gone' && this.reason !== 'connection_closed';
  }

  /** Whether the client has been told how the response ends. */
  get hasEnded(): boolean {
    return this.told !== undefined;
  }

  /** Whether the head of the response has been sent. */
  get isHeadSent(): boolean {
    return this.options.response.headersSent;
  }

  /**
   * Waits until the responses to earlier requests of the connection have been
   * sent: a call that ran before might get no response, since one of these may
   * end with the connection. Throws an error if the call ends before.
   */
  async waitForEarlierResponses(): Promise<void> {
    const isConnected = await waitUnlessAborted(
      this.options.order.waitForEarlierResponses(),
      this.signal,
      () => this.createWaitError(),
    );
    if (isConnected) return;
    this.end('connection_closed');
    throw this.createWaitError();
  }

  /**
   * Calls a function when the response has been sent, or its connection is lost.
   * @param onClosed - Called once.
   */
  onceClosed(onClosed: () => void): void {
    const {response} = this.options;
    if (response.closed) onClosed();
    else response.once('close', onClosed);
  }

  /**
   * Records the target's response that is sent to the client.
   * @param response - Its target and how its body ended.
   */
  recordTargetResponse(response: ServedResponse): void {
    this.response = response;
  }

  /**
   * Sends a complete response; does nothing if a response has started.
   * @param answer - Status, headers and body.
   */
  answer(answer: BufferedResponse): void {
    const {request, response, isClosing} = this.options;
    if (this.isHeadSent || response.destroyed) return;
    // Keeping the connection would require reading the rest of the body.
    writeResponse(response, answer, isClosing() || !request.complete);
    // Node.js throws for a status or header that it does not send.
    this.status = answer.status;
    this.told = answer.isUndelimited === true ? 'closed' : 'complete';
  }

  /**
   * Sends the error response; does nothing if a response has started.
   * @param error - Error that ended the call.
   */
  reject(error: MarigoldpostError): void {
    this.answer(createErrorResponse(error));
  }

  /**
   * Starts a response of unknown length. It is sent in chunks also if the
   * target's is not: if this process ends, the kernel closes its connections
   * normally, and only the missing last chunk shows that the response is not
   * whole. A client that speaks HTTP/1.0 gets no chunks.
   * @param head - Status and headers.
   */
  writeHead({status, headers}: ResponseHead): void {
    this.status = status;
    const {response, isClosing} = this.options;
    const closing = getConnectionHeaders(response, isClosing());
    response.writeHead(status, [...headers, ...closing]);
  }

  /**
   * Sends a chunk of a started response. False if the write buffer is full; the
   * next chunk should then wait for `onceDrained`.
   * @param chunk - Next bytes of the body.
   */
  write(chunk: Uint8Array): boolean {
    return this.options.response.write(chunk);
  }

  /**
   * Notifies once when the write buffer is empty again.
   * @param onDrained - Called at most once.
   */
  onceDrained(onDrained: () => void): void {
    this.options.response.once('drain', onDrained);
  }

  /** Ends a started response normally. */
  complete(): void {
    const {response} = this.options;
    this.told = response.chunkedEncoding ? 'complete' : 'closed';
    response.end();
  }

  /**
   * Stops the deadline timer, which keeps the request in memory, once the call
   * has been served. A response that waits for earlier ones does not close with
   * its connection.
   */
  stopTimer(): void {
    this.timer.cancel();
  }

  /** Aborts the call because this daemon stops. */
  stop(): void {
    this.end('stopping');
  }

  /**
   * Breaks the connection of a started response, so that it does not look
   * complete.
   */
  abortResponse(): void {
    this.told = 'aborted';
    const {request, response, clock} = this.options;
    if (response.chunkedEncoding) {
      response.destroy();
      return;
    }
    // Without chunks, a normal end of the connection would complete the
    // response.
    clock.setTimer(resetDelayMs, () => resetSocket(request.socket));
  }

  private createWaitError(): MarigoldpostError {
    const kind = this.reason === 'stopping' ? 'draining' : 'deadline_exceeded';
    const message = 'the call ended before earlier ones of its connection';
    return MarigoldpostError.create(kind, message);
  }

  private end(reason: CallEndReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.controller.abort();
  }
}
