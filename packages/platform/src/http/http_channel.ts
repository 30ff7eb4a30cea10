/** HTTP connections to one address that tell what became of a request. */
import {type Clock, SystemClock} from '@marigoldpost/common';
import {Pool} from 'undici';
import {HttpBody} from './http_body.js';
import {HttpExchange} from './http_exchange.js';
import type {
  HttpOutcome,
  HttpRequest,
  HttpStreamOutcome,
} from './http_types.js';

/** Options of a channel. */
export interface HttpChannelOptions {
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Longest time to connect, and the default time for an answer. */
  readonly timeoutMs: number;
  /** Largest answer that is read whole, in bytes. */
  readonly maxAnswerBytes?: number;
  /** Source of timeouts; the machine's clock by default. */
  readonly clock?: Clock;
}

const defaultMaxAnswerBytes = 16 * 1024 * 1024;

/** Connections to one address; makes each request once and never retries. */
export class HttpChannel {
  private readonly pool: Pool;
  private readonly clock: Clock;
  private readonly maxAnswerBytes: number;

  private constructor(private readonly options: HttpChannelOptions) {
    this.clock = options.clock ?? SystemClock.create();
    this.maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
    this.pool = new Pool(options.address, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: {timeout: options.timeoutMs},
    });
  }

  /**
   * Creates a channel; connections open with the first requests.
   * @param options - Address and bounds.
   */
  static create(options: HttpChannelOptions): HttpChannel {
    return new HttpChannel(options);
  }

  /**
   * Sends a request and reads the whole answer.
   * @param request - The request.
   * @param signal - Gives up.
   */
  async send(request: HttpRequest, signal?: AbortSignal): Promise<HttpOutcome> {
    const timeoutMs = request.timeoutMs ?? this.options.timeoutMs;
    const body = HttpBody.create(this.maxAnswerBytes);
    const exchange = HttpExchange.create(body, signal);
    const timer = this.clock.setTimer(timeoutMs, () => exchange.expire());
    exchange.dispatch(this.pool, request);
    const failure = await exchange.whenEnded();
    timer.cancel();
    if (failure !== undefined) return failure;
    const {status, headers} = exchange;
    return {kind: 'answer', status, headers, body: body.getText()};
  }

  /**
   * Sends a request and reads the answer as it comes.
   * @param request - The request; `timeoutMs` bounds each silence.
   * @param signal - Gives up.
   */
  async open(
    request: HttpRequest,
    signal?: AbortSignal,
  ): Promise<HttpStreamOutcome> {
    const timeoutMs = request.timeoutMs ?? this.options.timeoutMs;
    const body = HttpBody.create(this.maxAnswerBytes);
    const exchange = HttpExchange.create(body, signal);
    exchange.expireWhenSilent(this.clock, timeoutMs);
    exchange.dispatch(this.pool, request);
    const failure = await exchange.whenStarted();
    if (failure !== undefined) return failure;
    return {kind: 'stream', status: exchange.status, chunks: exchange};
  }

  /** Closes the connections once the requests in flight are done. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Drops the connections; requests in flight are cut. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}
