/** Sends one request to a target and awaits the head of the response. */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {
  ResponseAttributes,
  CallCodec,
  TargetEntry,
} from '@marigoldpost/sites';
import {TargetBody} from '../responses/target_body.js';
import type {TargetAgent} from './target_agent.js';

/** Connect timeout; far above the round trip between data centres. */
const connectTimeoutMs = 120;

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
}

/** A response which guarantees that the target did not run the request. */
export interface NotRunResponse {
  readonly kind: 'not_run';
  readonly status: number;
  readonly attributes: ResponseAttributes;
}

/** An exchange without a usable response. */
export interface FailedExchange {
  readonly kind: 'failed';
  readonly reason: 'unreachable' | 'broken' | 'silent' | 'cancelled';
  /** Whether the target may have received the request. */
  readonly isSent: boolean;
  readonly message: string;
}

/** Result of an exchange. */
export type ExchangeOutcome = StartedResponse | NotRunResponse | FailedExchange;

/** Target, request and limits of an exchange. */
export interface TargetExchangeOptions {
  readonly target: TargetEntry;
  readonly agent: TargetAgent;
  readonly codec: CallCodec;
  readonly request: TargetRequest;
  /** Timeout for the head of the response. */
  readonly headTimeoutMs: number;
  /** Aborts the exchange and closes the connection, also during the body. */
  readonly signal: AbortSignal;
}

/** One request to one target; never retries. */
export class TargetExchange {
  private isSent = false;
  private body: TargetBody | undefined;
  private settle!: (outcome: ExchangeOutcome) => void;

  private constructor(private readonly options: TargetExchangeOptions) {}

  /**
   * Sends a request and waits for the head of the response; never rejects.
   * @param options - Target, request and limits.
   */
  static send(options: TargetExchangeOptions): Promise<ExchangeOutcome> {
    return new TargetExchange(options).run();
  }

  private run(): Promise<ExchangeOutcome> {
    const {signal, headTimeoutMs} = this.options;
    if (signal.aborted) {
      return Promise.resolve(
        this.createFailure('cancelled', 'the call was aborted'),
      );
    }
    return new Promise((resolve) => {
      const request = this.createRequest();
      const fail = (reason: FailedExchange['reason'], message: string) => {
        this.settle(this.createFailure(reason, message));
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
      this.settle = (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      this.addRequestListeners(request, fail);
    });
  }

  private createRequest(): http.ClientRequest {
    const {target, agent, request} = this.options;
    const {host, port} = target.address;
    const {method, path, headers, body} = request;
    const sent = http.request({
      agent,
      host,
      port,
      method,
      path,
      headers: headers as unknown as http.OutgoingHttpHeaders,
    });
    sent.end(body);
    return sent;
  }

  private addRequestListeners(
    request: http.ClientRequest,
    fail: (reason: FailedExchange['reason'], message: string) => void,
  ): void {
    request.once('socket', (socket) => this.watchConnect(socket, fail));
    request.once('response', (response) =>
      this.handleResponseHead(response, fail),
    );
    request.on('error', (error) => {
      this.body?.fail(error);
      // A target resets connections beyond its limit before it reads them, but
      // a reset may also follow a request that was read. Only a failed connect
      // proves that the request was not sent.
      const reason = this.isSent ? 'broken' : 'unreachable';
      this.settle(this.createFailure(reason, error.message));
    });
  }

  private watchConnect(
    socket: Socket,
    fail: (reason: FailedExchange['reason'], message: string) => void,
  ): void {
    if (!socket.connecting) {
      this.isSent = true;
      return;
    }
    const timer = setTimeout(
      () => fail('unreachable', `no connection within ${connectTimeoutMs} ms`),
      connectTimeoutMs,
    );
    socket.once('connect', () => {
      this.isSent = true;
      clearTimeout(timer);
    });
    socket.once('close', () => clearTimeout(timer));
  }

  private handleResponseHead(
    response: http.IncomingMessage,
    fail: (reason: FailedExchange['reason'], message: string) => void,
  ): void {
    const {codec, request} = this.options;
    const body = TargetBody.create(response, request.method);
    this.body = body;
    const status = response.statusCode ?? 0;
    const attributes = codec.decodeResponse(status, response.headers);
    const {requestId, isNotRun} = attributes;
    if (requestId !== undefined && requestId !== request.requestId) {
      fail('broken', `the response belongs to request "${requestId}"`);
      return;
    }
    if (isNotRun) {
      response.resume();
      this.settle({kind: 'not_run', status, attributes});
      return;
    }
    this.settle({kind: 'answer', response, body, attributes});
  }

  private createFailure(
    reason: FailedExchange['reason'],
    message: string,
  ): FailedExchange {
    return {kind: 'failed', reason, isSent: this.isSent, message};
  }
}
