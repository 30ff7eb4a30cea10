/** HTTP server of a rate-limited store of model weights. */
import type {ServerResponse} from 'node:http';
import {RateLimiter} from './rate_limiter.js';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Rate limit of a weight store server. */
export interface WeightStoreServerOptions {
  /** Maximum fetches per second; default: unlimited. */
  readonly fetchesPerSecond?: number;
}

/** Request for the weights of one model. */
export interface WeightFetch {
  readonly model: string;
  readonly isRefused: boolean;
}

/**
 * Serves weights without content; responds with 429 if the rate is exceeded.
 */
export class WeightStoreServer extends StandInServer {
  private readonly fetches: WeightFetch[] = [];

  private constructor(private readonly limiter: RateLimiter) {
    super();
  }

  /**
   * Creates a server that is not listening yet.
   * @param options - Rate limit.
   */
  static create(options: WeightStoreServerOptions = {}): WeightStoreServer {
    return new WeightStoreServer(RateLimiter.create(options.fetchesPerSecond));
  }

  /** Gets all fetches in order, rejected ones included. */
  getFetches(): readonly WeightFetch[] {
    return this.fetches;
  }

  protected override handle(
    {segments}: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const isRefused = !this.limiter.tryConsume();
    this.fetches.push({model: segments[1] ?? '', isRefused});
    if (isRefused) sendJson(response, 429, undefined, {'retry-after': '1'});
    else sendJson(response, 200, {});
    return Promise.resolve();
  }
}
