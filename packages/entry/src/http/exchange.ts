/** One HTTP request and its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  Deferred,
  errorDefinitions,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {BodyMemory} from './body_memory.js';
import {readBody} from './body_reader.js';
import type {BodyRoom} from './body_room.js';
import {toErrorBody, toRetryAfterSeconds} from './error_body.js';

/** Request, response and limits of an exchange. */
export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Identifies the request in logs and in a response header. */
  readonly requestId: string;
  readonly logger: EventLogger;
  readonly maxBodyBytes: number;
  /** Memory of the bodies of all requests. */
  readonly bodies: BodyMemory;
}

/** Reads a request and writes its response. */
export class Exchange {
  readonly url: URL;
  /**
   * Aborted when the caller disconnects before the response is complete, or
   * when the exchange is cut off; the reason tells which.
   */
  readonly signal: AbortSignal;
  logger: EventLogger;
  private readonly controller = new AbortController();
  private readonly cutOffError = Deferred.create<MarigoldpostError>();
  private bodyRoom: BodyRoom | undefined;
  private isReleased = false;

  private constructor(private readonly options: ExchangeOptions) {
    const {request, response, requestId, logger} = options;
    this.url = parseUrl(request.url ?? '/');
    this.logger = logger;
    this.signal = this.controller.signal;
    response.setHeader('Marigoldpost-Request', requestId);
    response.once('close', () => {
      if (response.writableFinished) return;
      this.controller.abort(
        MarigoldpostError.create('cancelled', 'caller disconnected'),
      );
    });
  }

  /**
   * Creates an exchange and sets the response header with the request's id.
   * @param options - Request, response and limits.
   */
  static create(options: ExchangeOptions): Exchange {
    return new Exchange(options);
  }

  /** HTTP method of the request. */
  get method(): string {
    return this.options.request.method ?? 'GET';
  }

  /** Connection of the request; a pipelined response has none yet. */
  get connection(): Socket {
    return this.options.request.socket;
  }

  /** The response, for streams and for additional headers. */
  get response(): ServerResponse {
    return this.options.response;
  }

  /**
   * Gets a request header; `undefined` if missing. Joins repeated headers.
   * @param name - Name in lower case.
   */
  getHeader(name: string): string | undefined {
    const value = this.options.request.headers[name];
    return Array.isArray(value) ? value.join(', ') : value;
  }

  /** Gets all request headers by their lower-case names. */
  getHeaders(): IncomingMessage['headers'] {
    return this.options.request.headers;
  }

  /** Closes the connection after the response, unless that has started. */
  closeAfterResponse(): void {
    if (this.response.headersSent) return;
    this.response.setHeader('Connection', 'close');
  }

  /**
   * Cancels the work for the request and makes `waitForCutOff` throw.
   * @param error - Error that the caller is to receive.
   */
  cutOff(error: MarigoldpostError): void {
    this.controller.abort(error);
    this.cutOffError.resolve(error);
  }

  /** Waits until the exchange is cut off, then throws the error of `cutOff`. */
  async waitForCutOff(): Promise<never> {
    throw await this.cutOffError.promise;
  }

  /**
   * Reads the body; throws `too_large`, `overloaded` if there is no room for it, or
   * `invalid_request` if not UTF-8.
   */
  async readText(): Promise<string> {
    const {request, maxBodyBytes, bodies} = this.options;
    const {text, room} = await readBody(request, maxBodyBytes, bodies);
    if (this.isReleased) room.release();
    else this.bodyRoom = room;
    return text;
  }

  /** Gives back the memory of the body; its request has been served. */
  release(): void {
    this.isReleased = true;
    this.bodyRoom?.release();
    this.bodyRoom = undefined;
  }

  /**
   * Reads the body as JSON; an empty body counts as an empty object. Throws
   * as `readText` does, and `invalid_request` if the body is not JSON.
   */
  async readJson(): Promise<unknown> {
    const text = await this.readText();
    if (text === '') return {};
    try {
      return JSON.parse(text) as unknown;
    } catch {
      throw MarigoldpostError.create('invalid_request', 'the body is not JSON');
    }
  }

  /**
   * Sends a JSON response; does nothing if a response has started.
   * @param status - HTTP status code.
   * @param body - Value that can be serialized as JSON.
   */
  writeJson(status: number, body: unknown): void {
    this.writeText(status, 'application/json', JSON.stringify(body));
  }

  /**
   * Sends a text response; does nothing if a response has started.
   * @param status - HTTP status code.
   * @param contentType - Media type of the text.
   * @param text - Complete body.
   */
  writeText(status: number, contentType: string, text: string): void {
    const {response} = this;
    if (response.headersSent || response.destroyed) return;
    response.statusCode = status;
    response.setHeader('Content-Type', contentType);
    response.setHeader('Content-Length', Buffer.byteLength(text));
    response.end(text);
  }

  /**
   * Logs an error and sends it, unless a response has started.
   * @param thrown - Value that was thrown.
   * @param team - Id of the calling team; `undefined` if unknown.
   */
  writeError(thrown: unknown, team?: string): void {
    const error = toMarigoldpostError(thrown);
    const {kind, outcome} = error;
    const {status} = errorDefinitions[kind];
    this.logger.log('call_refused', {team, kind, outcome, status});
    if (this.response.headersSent) return;
    const retryAfter = toRetryAfterSeconds(error);
    if (retryAfter !== undefined) {
      this.response.setHeader('Retry-After', retryAfter);
    }
    // The rest of a rejected body is not read, so the connection must close.
    if (!this.options.request.complete) {
      this.response.setHeader('Connection', 'close');
    }
    this.writeJson(status, toErrorBody(error));
  }
}

function parseUrl(target: string): URL {
  const base = 'http://localhost';
  return URL.canParse(target, base) && target.startsWith('/')
    ? new URL(`${base}${target}`)
    : new URL(base);
}
