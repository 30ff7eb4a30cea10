/** HTTP client of the object API. */
import type {Clock} from '@marigoldpost/common';
import {parseJson} from '@marigoldpost/common';
import * as z from 'zod';
import {HttpChannel} from '../http/http_channel.js';
import type {HttpResponse} from '../http/http_types.js';
import {type StoreCall, sendStoreCall} from './store_call.js';
import {toStoreError, toStoreFailure} from './store_errors.js';
import {
  type ListOptions,
  type ObjectChanges,
  ObjectStore,
  type StoredObject,
} from './object_store.js';

/** Address and timeout of the client. */
export interface HttpObjectStoreOptions {
  /** `http://<ip>:<port>` of the object API. */
  readonly address: string;
  /** Timeout of one call; a call that waits for changes adds its wait. */
  readonly timeoutMs: number;
  /** Clock for the timeouts; the system clock by default. */
  readonly clock?: Clock;
}

/** Longest time that the platform is asked to wait for changes. */
const watchWaitMs = 20_000;
const notFoundStatus = 404;

const storedObjectSchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number().int(),
});
const listSchema = z.object({objects: z.array(storedObjectSchema)});
const changesSchema = z.object({
  changes: z.array(
    z.object({
      key: z.string(),
      object: storedObjectSchema.optional(),
      version: z.number().int(),
    }),
  ),
  version: z.number().int(),
});

/** Object API client that sends each call once over HTTP. */
export class HttpObjectStore extends ObjectStore {
  private constructor(
    private readonly channel: HttpChannel,
    private readonly timeoutMs: number,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param options - Address and timeout.
   */
  static create(options: HttpObjectStoreOptions): HttpObjectStore {
    return new HttpObjectStore(HttpChannel.create(options), options.timeoutMs);
  }

  override async getObject(key: string): Promise<StoredObject | undefined> {
    const call = {method: 'GET', path: toObjectPath(key), isWrite: false};
    const response = await this.send(call);
    if (response.status === notFoundStatus) return undefined;
    return this.read(response, call, storedObjectSchema);
  }

  override async createObject(
    key: string,
    value: string,
  ): Promise<StoredObject> {
    const path = toObjectPath(key);
    const call = {method: 'POST', path, isWrite: true, body: {value}};
    return this.read(await this.send(call), call, storedObjectSchema);
  }

  override async updateObject(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<StoredObject> {
    const path = toObjectPath(key);
    const body = {value, expectedVersion};
    const call = {method: 'PUT', path, isWrite: true, body};
    return this.read(await this.send(call), call, storedObjectSchema);
  }

  override async removeObject(
    key: string,
    expectedVersion?: number,
  ): Promise<void> {
    const query =
      expectedVersion === undefined
        ? ''
        : `?expectedVersion=${expectedVersion}`;
    const path = `${toObjectPath(key)}${query}`;
    const call = {method: 'DELETE', path, isWrite: true};
    const response = await this.send(call);
    if (response.status === notFoundStatus) return;
    this.read(response, call, z.unknown());
  }

  override async listObjects(
    prefix: string,
    options: ListOptions = {},
  ): Promise<StoredObject[]> {
    const query = new URLSearchParams({prefix});
    if (options.afterKey !== undefined) query.set('afterKey', options.afterKey);
    if (options.limit !== undefined) query.set('limit', `${options.limit}`);
    const call = {method: 'GET', path: `/objects?${query}`, isWrite: false};
    return this.read(await this.send(call), call, listSchema).objects;
  }

  override async waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
  ): Promise<ObjectChanges> {
    const query = new URLSearchParams({
      prefix,
      sinceVersion: `${sinceVersion}`,
      waitMs: `${watchWaitMs}`,
    });
    const path = `/changes?${query}`;
    const timeoutMs = this.timeoutMs + watchWaitMs;
    const call = {method: 'GET', path, isWrite: false, timeoutMs, signal};
    const response = await this.send(call);
    const {changes, version} = this.read(response, call, changesSchema);
    return {
      version,
      changes: changes.map((change) => ({...change, object: change.object})),
    };
  }

  /** Closes the connections once the calls in flight have finished. */
  async close(): Promise<void> {
    await this.channel.close();
  }

  private send(call: StoreCall): Promise<HttpResponse> {
    return sendStoreCall(this.channel, {timeoutMs: this.timeoutMs, ...call});
  }

  private read<Value>(
    response: HttpResponse,
    call: StoreCall,
    schema: z.ZodType<Value>,
  ): Value {
    if (response.status >= 300) throw toStoreError(response, call);
    const parsed = schema.safeParse(parseJson(response.body));
    if (parsed.success) return parsed.data;
    const cause = new Error('the response body is malformed');
    throw toStoreFailure(cause, call);
  }
}

function toObjectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}
