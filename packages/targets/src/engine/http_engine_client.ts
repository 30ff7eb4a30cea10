/** Engine client over HTTP; streams are server-sent events. */
import {
  type Clock,
  MarigoldpostError,
  parseJson,
  type ProgramId,
  type TargetId,
} from '@marigoldpost/common';
import {
  type HttpResponse,
  HttpChannel,
  type HttpRequest,
  type HttpStream,
} from '@marigoldpost/platform';
import type * as z from 'zod';
import {
  toStatusError,
  toTargetError,
  type CallDescription,
} from '../utils/target_errors.js';
import {
  type CacheEvents,
  EngineClient,
  type EngineEvent,
  type EngineLoad,
  type EngineOrder,
  type EngineRequest,
} from './engine_client.js';
import {cacheEventsSchema, loadSchema} from './engine_schemas.js';
import {EngineStreamReader} from './engine_stream_reader.js';

/** Target, address and timeouts of an HTTP engine client. */
export interface HttpEngineClientOptions {
  readonly target: TargetId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Maximum time between two chunks of a stream, in milliseconds. */
  readonly timeoutMs: number;
  /** Timeout of all other calls; capped at `timeoutMs`; default: 2000 ms. */
  readonly controlTimeoutMs?: number;
  /** Clock of the timeouts; default: the system clock. */
  readonly clock?: Clock;
}

const defaultControlTimeoutMs = 2000;
const firstErrorStatus = 300;
const conflictStatus = 409;

/** Client of one model engine; pools its HTTP connections. */
export class HttpEngineClient extends EngineClient {
  private constructor(
    private readonly options: HttpEngineClientOptions,
    private readonly channel: HttpChannel,
    private readonly controlTimeoutMs: number,
  ) {
    super();
  }

  /**
   * Creates a client; connections open on demand.
   * @param options - Target, address and timeouts.
   */
  static create(options: HttpEngineClientOptions): HttpEngineClient {
    const {controlTimeoutMs = defaultControlTimeoutMs, timeoutMs} = options;
    const channel = HttpChannel.create(options);
    const boundedControlTimeoutMs = Math.min(controlTimeoutMs, timeoutMs);
    return new HttpEngineClient(options, channel, boundedControlTimeoutMs);
  }

  override async *generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent> {
    const {streamId, ...body} = request;
    const path = toStreamPath(streamId);
    const call = this.describeCall(`stream "${streamId}"`);
    const opening = toJsonRequest('POST', path, body);
    const stream = await this.openStream(opening, call, signal);
    const reader = EngineStreamReader.create(call, request);
    try {
      for (;;) {
        const chunk = await stream.chunks.next();
        // `yield*` would cost an additional await for each event.
        for (const event of reader.read(chunk)) yield event;
        if (reader.isComplete) return;
      }
    } finally {
      stream.chunks.cancel();
    }
  }

  override async cancelStream(streamId: string): Promise<void> {
    await this.sendControlRequest({
      method: 'DELETE',
      path: toStreamPath(streamId),
    });
  }

  override async releaseProgram(program: ProgramId): Promise<void> {
    await this.sendControlRequest({
      method: 'DELETE',
      path: toCachePath(program),
    });
  }

  override async getLoad(): Promise<EngineLoad> {
    const response = await this.sendControlRequest({
      method: 'GET',
      path: '/v1/load',
    });
    return this.parseResponse(response, loadSchema);
  }

  override async getCacheEvents(afterSequence: number): Promise<CacheEvents> {
    const path = `/v1/cache-events?after=${afterSequence}`;
    const response = await this.sendControlRequest({method: 'GET', path});
    return this.parseResponse(response, cacheEventsSchema);
  }

  override async sendOrder(order: EngineOrder): Promise<void> {
    await this.sendControlRequest(toJsonRequest('POST', '/v1/orders', order));
  }

  override async copyProgramCache(
    program: ProgramId,
    targetAddress: string,
  ): Promise<void> {
    const path = `/v1/programs/${encodeURIComponent(program)}/move`;
    await this.sendControlRequest(toJsonRequest('POST', path, {targetAddress}));
  }

  /** Closes the connections after the calls in flight have completed. */
  async close(): Promise<void> {
    await this.channel.close();
  }

  /** Closes the connections immediately; calls in flight fail. */
  async destroy(): Promise<void> {
    await this.channel.destroy();
  }

  private async openStream(
    request: HttpRequest,
    call: CallDescription,
    signal: AbortSignal,
  ): Promise<HttpStream> {
    const outcome = await this.channel.open(request, signal);
    if (outcome.kind === 'failure') throw toTargetError(outcome, call);
    if (outcome.status < firstErrorStatus) return outcome;
    outcome.chunks.cancel();
    throw toStatusError(outcome.status, call);
  }

  private async sendControlRequest(
    request: HttpRequest,
  ): Promise<HttpResponse> {
    const call = this.describeCall(`${request.method} ${request.path}`);
    const timeoutMs = this.controlTimeoutMs;
    const outcome = await this.channel.send({...request, timeoutMs});
    if (outcome.kind === 'failure') throw toTargetError(outcome, call);
    if (outcome.status < firstErrorStatus) return outcome;
    if (outcome.status === conflictStatus) {
      const message = `engine "${call.target}" rejected an outdated fencing number`;
      throw MarigoldpostError.create('fenced', message);
    }
    throw toStatusError(outcome.status, call);
  }

  private parseResponse<Value>(
    response: HttpResponse,
    schema: z.ZodType<Value>,
  ): Value {
    const parsed = schema.safeParse(parseJson(response.body));
    if (parsed.success) return parsed.data;
    const message = `engine "${this.options.target}" sent a malformed response`;
    throw MarigoldpostError.create('target_failed', message);
  }

  private describeCall(subject: string): CallDescription {
    return {target: this.options.target, subject};
  }
}

function toJsonRequest(
  method: string,
  path: string,
  body: object,
): HttpRequest {
  const headers = {'content-type': 'application/json'};
  return {method, path, headers, body: JSON.stringify(body)};
}

function toStreamPath(streamId: string): string {
  return `/v1/streams/${encodeURIComponent(streamId)}`;
}

function toCachePath(program: ProgramId): string {
  return `/v1/programs/${encodeURIComponent(program)}/cache`;
}
