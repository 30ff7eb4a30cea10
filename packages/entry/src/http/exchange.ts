/** One HTTP request and its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  errorAnswers,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {EventLogger} from '@marigoldpost/telemetry';
import {readBody} from './body_reader.js';
import {toErrorBody, toRetryAfterSeconds} from './error_body.js';

/** What an exchange is made of. */
export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Names the request in logs and in the answer. */
  readonly requestId: string;
  readonly logger: EventLogger;
  readonly maxBodyBytes: number;
}

/** A request being answered. */
export class Exchange {
  readonly url: URL;
  /** Aborted when the caller goes away before the answer is complete. */
  readonly signal: AbortSignal;
  logger: EventLogger;

  private constructor(private readonly options: ExchangeOptions) {
    const {request, response, requestId, logger} = options;
    this.url = toUrl(request.url ?? '/');
    this.logger = logger;
    const controller = new AbortController();
    this.signal = controller.signal;
    response.setHeader('Marigoldpost-Request', requestId);
    response.once('close', () => {
      if (response.writableFinished) return;
      controller.abort(
        MarigoldpostError.create('cancelled', 'the caller went away'),
      );
    });
  }

  /**
   * Creates an exchange.
   * @param options - Request, answer and limits.
   */
  static create(options: ExchangeOptions): Exchange {
    return new Exchange(options);
  }

  /** Method of the request. */
  get method(): string {
    return this.options.request.method ?? 'GET';
  }

  /** The answer, for streams. */
  get response(): ServerResponse {
    return this.options.response;
  }

  /**
   * Gets a header of the request, or nothing; repeated ones are joined.
   * @param name - Name in lower case.
   */
  getHeader(name: string): string | undefined {
    const value = this.options.request.headers[name];
    return Array.isArray(value) ? value.join(', ') : value;
  }

  /** Gets every header of the request by its lower-case name. */
  getHeaders(): IncomingMessage['headers'] {
    return this.options.request.headers;
  }

  /** Reads the body; throws `too_large`, or `invalid_request` for non-text. */
  readText(): Promise<string> {
    return readBody(this.options.request, this.options.maxBodyBytes);
  }

  /** Reads the body as JSON; an empty one is an empty object. */
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
   * Sends a JSON answer.
   * @param status - HTTP status code.
   * @param body - Value that JSON can hold.
   */
  writeJson(status: number, body: unknown): void {
    this.writeText(status, 'application/json', JSON.stringify(body));
  }

  /**
   * Sends an answer.
   * @param status - HTTP status code.
   * @param contentType - Media type of the text.
   * @param text - The body.
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
   * Sends a refusal or failure; only its log line when the answer has begun.
   * @param thrown - What was thrown.
   * @param team - The caller's team, when known.
   */
  writeError(thrown: unknown, team?: string): void {
    const error = toMarigoldpostError(thrown);
    const {kind, outcome} = error;
    const {status} = errorAnswers[kind];
    this.logger.log('call_refused', {team, kind, outcome, status});
    if (this.response.headersSent) return;
    const retryAfter = toRetryAfterSeconds(error);
    if (retryAfter !== undefined) {
      this.response.setHeader('Retry-After', retryAfter);
    }
    // The rest of a body that was refused is not read.
    if (!this.options.request.complete) {
      this.response.setHeader('Connection', 'close');
    }
    this.writeJson(status, toErrorBody(error));
  }
}

function toUrl(target: string): URL {
  const base = 'http://localhost';
  return URL.canParse(target, base) && target.startsWith('/')
    ? new URL(`${base}${target}`)
    : new URL(base);
}
