/** Sends one request on the way to a target and awaits the response's head. */
import type http from 'node:http';
import type {Socket} from 'node:net';
import type {DaemonId} from '@marigoldpost/common';
import type {CallCodec, ResponseAttributes} from '@marigoldpost/sites';
import type {TargetBody} from '../responses/target_body.js';
import {connectTimeoutMs} from './wait_for_connect.js';

/** Prefix of the error codes of Node's HTTP parser. */
const parserErrorPrefix = 'HPE_';
/** Status of a target that is not the one that the request names. */
const misdirectedStatus = 421;
/** Interim (1xx) responses that may precede a response. */
const maxInterimResponses = 8;

/** Request that a target receives. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query as the client sent them. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly requestId: string;
}

/** A response whose head has arrived. */
export interface StartedResponse {
  readonly kind: 'answer';
  readonly response: http.IncomingMessage;
  readonly body: TargetBody;
  readonly attributes: ResponseAttributes;
  /** Start of the instance that responded, if another entry VM states it. */
  readonly targetStartedAtMs?: number;
}

/** A response which guarantees that the target did not run the request. */
export interface NotRunResponse {
  readonly kind: 'not_run';
  readonly status: number;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly attributes: ResponseAttributes;
  /** Start of the instance that responded, if another entry VM states it. */
  readonly targetStartedAtMs?: number;
}

/** Why an exchange has no usable response. */
export type FailureReason = 'unreachable' | 'broken' | 'silent' | 'cancelled';

/** An exchange without a usable response. */
export interface FailedExchange {
  readonly kind: 'failed';
  readonly reason: FailureReason;
  /** Whether the target may have received the request. */
  readonly isSent: boolean;
  readonly message: string;
  /** Whether the target sent bytes that are no response to the request. */
  readonly isMalformed?: boolean;
  /** Relaying entry VM that failed itself, so that the target is not at fault. */
  readonly failedPeer?: DaemonId;
  /** Start of the instance that received it, if another entry VM states it. */
  readonly targetStartedAtMs?: number;
  /** Entry VM that did not relay the request, since the target is leaving. */
  readonly leavingSource?: DaemonId;
}

/** Result of an exchange. */
export type ExchangeOutcome = StartedResponse | NotRunResponse | FailedExchange;

/**
 * Checks whether another target has responded, which now has the address of the
 * one that was meant.
 * @param outcome - Result of an exchange.
 */
export function isMisdirected(outcome: ExchangeOutcome): boolean {
  return outcome.kind === 'not_run' && outcome.status === misdirectedStatus;
}

/**
 * Whether the target has surely not run the request.
 * @param outcome - Result of an exchange.
 */
export function hasNotRun(outcome: ExchangeOutcome): boolean {
  if (outcome.kind === 'failed') return !outcome.isSent;
  return outcome.kind === 'not_run';
}

/** Request and limits of an exchange. */
export interface HttpExchangeOptions {
  readonly codec: CallCodec;
  readonly request: TargetRequest;
  /** Timeout for the head of the response. */
  readonly headTimeoutMs: number;
  /** Aborts the exchange and closes the connection, also during the body. */
  readonly signal: AbortSignal;
}

/** Ends an exchange that has failed. */
export type FailExchange = (reason: FailureReason, message: string) => void;

/** Pause between two checks of the bytes that have arrived without a head. */
const headCheckIntervalMs = 100;
/**
 * Bytes that may arrive before the head has. Blank lines before it are not
 * counted by the parser, which limits a head to 16 KiB.
 */
const maxBytesBeforeHead = 64 * 1024;

/** One request on one connection; never retries. */
export abstract class HttpExchange {
  private isConnected = false;
  private onSettled!: (outcome: ExchangeOutcome) => void;
  private body: TargetBody | undefined;

  protected constructor(private readonly exchange: HttpExchangeOptions) {}

  /** Creates the request and sends it; may throw before it is sent. */
  protected abstract createRequest(): http.ClientRequest;

  /**
   * Handles the head of the response: settles the exchange or fails it.
   * @param response - Response whose body has not been read.
   * @param fail - Ends the exchange and closes the connection.
   */
  protected abstract handleHead(
    response: http.IncomingMessage,
    fail: FailExchange,
  ): void;

  /**
   * Sets the body as soon as the head has arrived, since it observes how the
   * connection ends.
   * @param body - Body of the response, which has not been read.
   */
  protected setBody(body: TargetBody): void {
    this.body = body;
  }

  /**
   * Ends the exchange with an outcome.
   * @param outcome - Outcome of the exchange.
   */
  protected settle(outcome: ExchangeOutcome): void {
    this.onSettled(outcome);
  }

  /**
   * Ends the exchange with a target's response.
   * @param body - Body of the response.
   * @param attributes - Decoded headers of the response.
   * @param targetStartedAtMs - Start of the instance, if it is stated.
   */
  protected settleResponse(
    body: TargetBody,
    attributes: ResponseAttributes,
    targetStartedAtMs?: number,
  ): void {
    const {response} = body;
    const instance = targetStartedAtMs === undefined ? {} : {targetStartedAtMs};
    if (!attributes.isNotRun) {
      this.settle({kind: 'answer', response, body, attributes, ...instance});
      return;
    }
    body.discard();
    const {statusCode: status = 0, rawHeaders} = response;
    this.settle({
      kind: 'not_run',
      status,
      rawHeaders,
      attributes,
      ...instance,
    });
  }

  /**
   * Creates the outcome of a failed exchange.
   * @param reason - Why it failed.
   * @param isSent - Whether the request may have left this daemon.
   * @param message - Text for the log.
   */
  protected createFailure(
    reason: FailureReason,
    isSent: boolean,
    message: string,
  ): FailedExchange {
    return {kind: 'failed', reason, isSent, message};
  }

  /** Sends the request and waits for the head; never rejects. */
  protected run(): Promise<ExchangeOutcome> {
    if (this.exchange.signal.aborted) {
      const message = 'the call was aborted';
      return Promise.resolve(this.createFailure('cancelled', false, message));
    }
    let request: http.ClientRequest;
    try {
      request = this.createRequest();
    } catch (error) {
      // Node.js throws on ports and headers out of range instead of an event.
      const message = error instanceof Error ? error.message : String(error);
      const failure = this.createFailure('unreachable', false, message);
      return Promise.resolve(failure);
    }
    return this.waitForHead(request);
  }

  private waitForHead(request: http.ClientRequest): Promise<ExchangeOutcome> {
    const {signal, headTimeoutMs} = this.exchange;
    return new Promise((resolve) => {
      const fail: FailExchange = (reason, message) => {
        const failure = this.createFailure(reason, this.isConnected, message);
        // The connection is still open, so the target has not closed it.
        const isMalformed = reason === 'broken';
        this.settle({...failure, isMalformed});
        this.body?.abort(message);
        request.destroy();
      };
      const timer = setTimeout(
        () => fail('silent', `no response within ${headTimeoutMs} ms`),
        headTimeoutMs,
      );
      const onAbort = () => fail('cancelled', 'the call was aborted');
      signal.addEventListener('abort', onAbort, {once: true});
      request.once('close', () => signal.removeEventListener('abort', onAbort));
      const headCheck = this.watchHead(request, fail);
      this.onSettled = (outcome) => {
        clearTimeout(timer);
        clearInterval(headCheck);
        resolve(outcome);
      };
      this.addRequestListeners(request, fail);
    });
  }

  /** Fails an exchange whose target sends bytes that are no head. */
  private watchHead(
    request: http.ClientRequest,
    fail: FailExchange,
  ): NodeJS.Timeout {
    let bytesBefore = 0;
    request.once('socket', (socket) => {
      bytesBefore = socket.bytesRead;
    });
    return setInterval(() => {
      const bytes = (request.socket?.bytesRead ?? 0) - bytesBefore;
      if (bytes <= maxBytesBeforeHead) return;
      fail('broken', `no head in ${bytes} bytes`);
    }, headCheckIntervalMs);
  }

  private addRequestListeners(
    request: http.ClientRequest,
    fail: FailExchange,
  ): void {
    request.once('socket', (socket) => this.watchConnect(socket, fail));
    request.once('response', (response) => this.handleHead(response, fail));
    let interim = 0;
    request.on('information', () => {
      interim += 1;
      if (interim !== maxInterimResponses + 1) return;
      fail('broken', `more than ${maxInterimResponses} interim responses`);
    });
    request.on('error', (error: NodeJS.ErrnoException) => {
      this.body?.fail(error);
      // A target resets connections beyond its limit before it reads them, but
      // a reset may also follow a request that was read. Only a failed connect
      // proves that the request was not sent.
      const isSent = this.isConnected;
      const reason = isSent ? 'broken' : 'unreachable';
      const failure = this.createFailure(reason, isSent, error.message);
      const isMalformed = error.code?.startsWith(parserErrorPrefix) === true;
      this.settle({...failure, isMalformed});
    });
  }

  private watchConnect(socket: Socket, fail: FailExchange): void {
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    const failUnlessConnected = () => {
      if (this.isConnected) return;
      fail('unreachable', `no connection within ${connectTimeoutMs} ms`);
    };
    // A connection may have opened while the process did not run; its event
    // follows the timers and precedes immediates.
    const timer = setTimeout(
      () => setImmediate(failUnlessConnected),
      connectTimeoutMs,
    );
    socket.once('connect', () => {
      this.isConnected = true;
      clearTimeout(timer);
    });
    socket.once('close', () => clearTimeout(timer));
  }
}
