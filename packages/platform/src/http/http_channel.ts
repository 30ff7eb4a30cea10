/** HTTP client of one address that reports the outcome of each request. */
import {type Clock, SystemClock} from '@marigoldpost/common';
import {Pool} from 'undici';
import {BufferBudget} from './buffer_budget.js';
import {ConnectionEnds} from './connection_ends.js';
import {ChunkBuffer} from './chunk_buffer.js';
import {HttpExchange} from './http_exchange.js';
import type {
  HttpOutcome,
  HttpRequest,
  HttpStreamOutcome,
} from './http_types.js';

/** Address, timeout and limits of a channel. */
export interface HttpChannelOptions {
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Timeout for connecting, and default timeout for responses. */
  readonly timeoutMs: number;
  /** Most unread bytes of a response, 16 MiB by default. */
  readonly maxResponseBytes?: number;
  /** Bytes of all unread responses; those of the process by default. */
  readonly budget?: BufferBudget;
  /** Clock for the timeouts; the system clock by default. */
  readonly clock?: Clock;
}

const defaultMaxResponseBytes = 16 * 1024 * 1024;

/** Connection pool for one address; sends each request once, never retries. */
export class HttpChannel {
  private readonly pool: Pool;
  private readonly ends: ConnectionEnds;
  private readonly clock: Clock;
  private readonly maxResponseBytes: number;
  private readonly budget: BufferBudget;

  private constructor(private readonly options: HttpChannelOptions) {
    this.clock = options.clock ?? SystemClock.create();
    this.maxResponseBytes = options.maxResponseBytes ?? defaultMaxResponseBytes;
    this.budget = options.budget ?? BufferBudget.ofProcess;
    this.ends = ConnectionEnds.create(options.timeoutMs);
    this.pool = new Pool(options.address, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.ends.connect,
    });
  }

  /**
   * Creates a channel; connections are opened on demand.
   * @param options - Address, timeout and limits.
   */
  static create(options: HttpChannelOptions): HttpChannel {
    return new HttpChannel(options);
  }

  /**
   * Sends a request and reads the complete response. Never rejects: failures
   * are outcomes.
   * @param request - Its `timeoutMs` limits the whole exchange.
   * @param signal - Aborts the request.
   */
  async send(request: HttpRequest, signal?: AbortSignal): Promise<HttpOutcome> {
    const timeoutMs = request.timeoutMs ?? this.options.timeoutMs;
    const body = ChunkBuffer.create(this.maxResponseBytes, this.budget);
    const exchange = HttpExchange.create(body, this.ends, signal);
    const timer = this.clock.setTimer(timeoutMs, () => exchange.timeOut());
    exchange.dispatch(this.pool, request);
    const failure = await exchange.waitForEnd();
    timer.cancel();
    if (failure !== undefined) return failure;
    const {status, headers, isDelimited} = exchange;
    const text = body.takeText();
    return {kind: 'answer', status, headers, body: text, isDelimited};
  }

  /**
   * Sends a request and streams the response.
   * @param request - Its `timeoutMs` limits each period without data.
   * @param signal - Aborts the request or its response.
   */
  async open(
    request: HttpRequest,
    signal?: AbortSignal,
  ): Promise<HttpStreamOutcome> {
    const timeoutMs = request.timeoutMs ?? this.options.timeoutMs;
    const body = ChunkBuffer.create(this.maxResponseBytes, this.budget);
    const exchange = HttpExchange.create(body, this.ends, signal);
    exchange.startIdleTimeout(this.clock, timeoutMs);
    exchange.dispatch(this.pool, request);
    const failure = await exchange.waitForStart();
    if (failure !== undefined) return failure;
    return {kind: 'stream', status: exchange.status, chunks: exchange};
  }

  /** Closes the connections once the requests in flight have finished. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Closes the connections at once; requests in flight fail. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}
