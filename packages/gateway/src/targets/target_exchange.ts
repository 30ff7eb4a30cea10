/** One request to a target, up to the head of its answer. */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {
  AnswerAttributes,
  CallCodec,
  TargetEntry,
} from '@marigoldpost/sites';
import type {TargetAgent} from './target_agent.js';

/** Longest time to connect: far above the way between data centres. */
const connectTimeoutMs = 120;

/** Request to a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query, as the client sent them. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly requestId: string;
}

/** An answer that has begun. */
export interface StartedAnswer {
  readonly kind: 'answer';
  readonly response: http.IncomingMessage;
  readonly attributes: AnswerAttributes;
}

/** The target surely has not run the request. */
export interface NotRunAnswer {
  readonly kind: 'not_run';
  readonly status: number;
}

/** No usable answer. */
export interface FailedExchange {
  readonly kind: 'failed';
  readonly reason: 'unreachable' | 'broken' | 'silent' | 'cancelled';
  /** Whether the target may have received the request. */
  readonly isSent: boolean;
  readonly message: string;
}

/** What became of a request. */
export type ExchangeOutcome = StartedAnswer | NotRunAnswer | FailedExchange;

/** Options of an exchange. */
export interface TargetExchangeOptions {
  readonly target: TargetEntry;
  readonly agent: TargetAgent;
  readonly codec: CallCodec;
  readonly request: TargetRequest;
  /** Longest wait for the head of the answer. */
  readonly silenceMs: number;
  /** Gives up and closes the connection, also while the answer is read. */
  readonly signal: AbortSignal;
}

/** Exchange with one target. */
export class TargetExchange {
  private isSent = false;
  private response: http.IncomingMessage | undefined;
  private settle!: (outcome: ExchangeOutcome) => void;

  private constructor(private readonly options: TargetExchangeOptions) {}

  /**
   * Sends a request and waits for the head of the answer.
   * @param options - Target and request.
   */
  static send(options: TargetExchangeOptions): Promise<ExchangeOutcome> {
    return new TargetExchange(options).run();
  }

  private run(): Promise<ExchangeOutcome> {
    const {signal, silenceMs} = this.options;
    if (signal.aborted) {
      return Promise.resolve(this.createFailure('cancelled', 'given up'));
    }
    return new Promise((resolve) => {
      const request = this.createRequest();
      const fail = (reason: FailedExchange['reason'], message: string) => {
        this.settle(this.createFailure(reason, message));
        request.destroy();
      };
      const timer = setTimeout(
        () => fail('silent', `no answer within ${silenceMs} ms`),
        silenceMs,
      );
      const onAbort = () => fail('cancelled', 'given up');
      signal.addEventListener('abort', onAbort, {once: true});
      request.once('close', () => signal.removeEventListener('abort', onAbort));
      this.settle = (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      this.follow(request, fail);
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

  private follow(
    request: http.ClientRequest,
    fail: (reason: FailedExchange['reason'], message: string) => void,
  ): void {
    request.once('socket', (socket) => this.followSocket(socket, fail));
    request.once('response', (response) => this.accept(response, fail));
    request.on('error', (error) => {
      // Node completes an answer without a length also when it is reset.
      this.response?.destroy(error);
      // A connection beyond the target's cap is reset before it is read, but
      // so is one whose request was read: only a failed connect is certain.
      const reason = this.isSent ? 'broken' : 'unreachable';
      this.settle(this.createFailure(reason, error.message));
    });
  }

  private followSocket(
    socket: Socket,
    fail: (reason: FailedExchange['reason'], message: string) => void,
  ): void {
    if (!socket.connecting) {
      this.isSent = true;
      return;
    }
    const timer = setTimeout(
      () => fail('unreachable', `no connection in ${connectTimeoutMs} ms`),
      connectTimeoutMs,
    );
    socket.once('connect', () => {
      this.isSent = true;
      clearTimeout(timer);
    });
    socket.once('close', () => clearTimeout(timer));
  }

  private accept(
    response: http.IncomingMessage,
    fail: (reason: FailedExchange['reason'], message: string) => void,
  ): void {
    this.response = response;
    // The reader of the body learns of a broken answer from `complete`.
    response.on('error', () => undefined);
    const {codec, request} = this.options;
    const status = response.statusCode ?? 0;
    const attributes = codec.decodeAnswer(status, response.headers);
    const {requestId, isNotRun} = attributes;
    if (requestId !== undefined && requestId !== request.requestId) {
      fail('broken', `the answer belongs to request "${requestId}"`);
      return;
    }
    if (isNotRun) {
      response.resume();
      this.settle({kind: 'not_run', status});
      return;
    }
    this.settle({kind: 'answer', response, attributes});
  }

  private createFailure(
    reason: FailedExchange['reason'],
    message: string,
  ): FailedExchange {
    return {kind: 'failed', reason, isSent: this.isSent, message};
  }
}
