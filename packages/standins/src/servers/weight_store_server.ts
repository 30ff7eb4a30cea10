/** The store of model weights over HTTP, with a rate limit. */
import type {ServerResponse} from 'node:http';
import {RateLimiter} from './rate_limiter.js';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Options of the server. */
export interface WeightStoreServerOptions {
  /** Most fetches a second; unlimited by default. */
  readonly fetchesPerSecond?: number;
}

/** One fetch of weights. */
export interface WeightFetch {
  readonly model: string;
  readonly isRefused: boolean;
}

/** Serves weights, which have no content here. */
export class WeightStoreServer extends StandInServer {
  private readonly fetches: WeightFetch[] = [];

  private constructor(private readonly limiter: RateLimiter) {
    super();
  }

  /**
   * Creates a server that does not listen yet.
   * @param options - Its rate.
   */
  static create(options: WeightStoreServerOptions = {}): WeightStoreServer {
    return new WeightStoreServer(RateLimiter.create(options.fetchesPerSecond));
  }

  /** Gets every fetch, in order. */
  getFetches(): readonly WeightFetch[] {
    return this.fetches;
  }

  protected override handle(
    {segments}: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const isRefused = !this.limiter.take();
    this.fetches.push({model: segments[1] ?? '', isRefused});
    if (isRefused) sendJson(response, 429, undefined, {'retry-after': '1'});
    else sendJson(response, 200, {});
    return Promise.resolve();
  }
}
