/** The platform's object API over HTTP. */
import type {ServerResponse} from 'node:http';
import {
  errorAnswers,
  isErrorOfKind,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import * as z from 'zod';
import {RateLimiter} from './rate_limiter.js';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Options of the server. */
export interface ObjectApiServerOptions {
  /** Holds the objects, and the faults that are switched on. */
  readonly store: ObjectStore;
  /** Most reads a second; unlimited by default. */
  readonly readsPerSecond?: number;
  /** Most writes a second; unlimited by default. */
  readonly writesPerSecond?: number;
}

const createSchema = z.object({value: z.string()});
const updateSchema = createSchema.extend({
  expectedVersion: z.number().int(),
});
const maxWatchMs = 30_000;

/**
 * Serves an object store. A call that the store refuses as unavailable is
 * answered with 503; a write whose answer it loses gets its connection dropped.
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
   * Creates a server that does not listen yet.
   * @param options - The store and its rates.
   */
  static create(options: ObjectApiServerOptions): ObjectApiServer {
    return new ObjectApiServer(options.store, options);
  }

  protected override async handle(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const limiter = request.method === 'GET' ? this.reads : this.writes;
    if (!limiter.take()) {
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
    if (resource === 'changes') return this.wait(request);
    if (resource !== 'objects') throw createUnknownPath(request.url);
    if (key === undefined) return this.list(request);
    return this.runOnObject(request, key);
  }

  private async runOnObject(
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
        throw createUnknownPath(request.url);
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

  private wait({query, signal}: StandInRequest): Promise<unknown> {
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
    ? MarigoldpostError.create('invalid_request', 'the body is malformed')
    : toMarigoldpostError(error);
  sendJson(response, errorAnswers[kind].status, {error: {kind, message}});
}

function createUnknownPath(url: string): MarigoldpostError {
  const message = `object API has no operation at "${url}"`;
  return MarigoldpostError.create('unknown_path', message);
}
