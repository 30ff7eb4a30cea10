/** HTTP server of the platform's object API. */
import type {ServerResponse} from 'node:http';
import {
  errorDefinitions,
  isErrorOfKind,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import * as z from 'zod';
import {RateLimiter} from './rate_limiter.js';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Store and rate limits of an object API server. */
export interface ObjectApiServerOptions {
  /** Store that handles the calls; also injects its faults. */
  readonly store: ObjectStore;
  /** Maximum reads per second; default: unlimited. */
  readonly readsPerSecond?: number;
  /** Maximum writes per second; default: unlimited. */
  readonly writesPerSecond?: number;
}

const createSchema = z.object({value: z.string()});
const updateSchema = createSchema.extend({
  expectedVersion: z.number().int(),
});
const maxWatchMs = 30_000;

/**
 * Serves an object store over HTTP. Responds with 503 if the store throws
 * `store_unavailable`, and closes the connection without a response if it
 * throws `store_ambiguous`.
 */
export class ObjectApiServer extends StandInServer {
  private readonly reads: RateLimiter;
  private readonly writes: RateLimiter;

  private constructor(
    private readonly store: ObjectStore,
    options: ObjectApiServerOptions,
  ) {
    super();
    this.reads = RateLimiter.create(options.readsPerSecond);
    this.writes = RateLimiter.create(options.writesPerSecond);
  }

  /**
   * Creates a server that is not listening yet.
   * @param options - Store and rate limits.
   */
  static create(options: ObjectApiServerOptions): ObjectApiServer {
    return new ObjectApiServer(options.store, options);
  }

  protected override async handle(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const limiter = request.method === 'GET' ? this.reads : this.writes;
    if (!limiter.tryConsume()) {
      sendJson(response, 429, undefined, {'retry-after': '1'});
      return;
    }
    try {
      sendJson(response, 200, await this.run(request));
    } catch (error) {
      sendError(response, error);
    }
  }

  private run(request: StandInRequest): Promise<unknown> {
    const [resource, key] = request.segments;
    if (resource === 'changes') return this.waitForChanges(request);
    if (resource !== 'objects') throw createUnknownPathError(request.url);
    if (key === undefined) return this.list(request);
    return this.runObjectOperation(request, key);
  }

  private async runObjectOperation(
    request: StandInRequest,
    key: string,
  ): Promise<unknown> {
    switch (request.method) {
      case 'GET':
        return this.get(key);
      case 'POST': {
        const {value} = createSchema.parse(JSON.parse(request.body));
        return this.store.createObject(key, value);
      }
      case 'PUT': {
        const update = updateSchema.parse(JSON.parse(request.body));
        const {value, expectedVersion} = update;
        return this.store.updateObject(key, value, expectedVersion);
      }
      case 'DELETE': {
        const version = request.query.get('expectedVersion');
        const expected = version === null ? undefined : Number(version);
        return this.store.removeObject(key, expected);
      }
      default:
        throw createUnknownPathError(request.url);
    }
  }

  private async get(key: string): Promise<unknown> {
    const object = await this.store.getObject(key);
    if (object !== undefined) return object;
    const message = `object "${key}" does not exist`;
    throw MarigoldpostError.create('object_missing', message);
  }

  private async list({query}: StandInRequest): Promise<unknown> {
    const limit = query.get('limit');
    const objects = await this.store.listObjects(query.get('prefix') ?? '', {
      afterKey: query.get('afterKey') ?? undefined,
      limit: limit === null ? undefined : Number(limit),
    });
    return {objects};
  }

  private waitForChanges({query, signal}: StandInRequest): Promise<unknown> {
    const waitMs = Math.min(maxWatchMs, Number(query.get('waitMs')));
    const ended = AbortSignal.any([signal, AbortSignal.timeout(waitMs)]);
    const sinceVersion = Number(query.get('sinceVersion'));
    const prefix = query.get('prefix') ?? '';
    return this.store
      .waitForChanges(prefix, sinceVersion, ended)
      .catch((error: unknown) => {
        if (!ended.aborted) throw error;
        return {changes: [], version: sinceVersion};
      });
  }
}

function sendError(response: ServerResponse, error: unknown): void {
  if (isErrorOfKind(error, 'store_ambiguous')) {
    response.destroy();
    return;
  }
  const isMalformed =
    error instanceof z.ZodError || error instanceof SyntaxError;
  const {kind, message} = isMalformed
    ? MarigoldpostError.create('invalid_request', 'request body is malformed')
    : toMarigoldpostError(error);
  sendJson(response, errorDefinitions[kind].status, {error: {kind, message}});
}

function createUnknownPathError(url: string): MarigoldpostError {
  const message = `object API has no operation at "${url}"`;
  return MarigoldpostError.create('unknown_path', message);
}
