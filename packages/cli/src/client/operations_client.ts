/** HTTP client of the operations API of one daemon. */
import {isErrorKind, MarigoldpostError} from '@marigoldpost/common';
import {request} from 'undici';
import type * as z from 'zod';
import {errorResponseSchema} from './response_schemas.js';

const responseTimeoutMs = 30_000;

/** Address of the daemon and key of the operator. */
export interface OperationsClientOptions {
  /** `http://<ip>:<port>` of a daemon. */
  readonly address: string;
  /** Key of the operator, sent as a bearer token. */
  readonly key: string;
}

/** Request to the operations API and the schema of its response. */
export interface OperationsRequest<Body> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: object;
  /** Schema of a successful response body. */
  readonly schema: z.ZodType<Body>;
}

/** Sends requests to the operations API of one daemon. */
export class OperationsClient {
  private constructor(private readonly options: OperationsClientOptions) {}

  /**
   * Creates a client; connections open with the first request.
   * @param options - Address of the daemon and key of the operator.
   */
  static create(options: OperationsClientOptions): OperationsClient {
    return new OperationsClient(options);
  }

  /**
   * Sends a request and validates the response. Throws the error that the
   * daemon returned, `peer_unavailable` when no connection opens, or
   * `peer_lost` when the connection breaks, the response times out or its form
   * is unknown.
   * @param operation - Method, path, body and response schema.
   */
  async send<Body>(operation: OperationsRequest<Body>): Promise<Body> {
    const {status, value} = await this.exchange(operation);
    if (status >= 400) throw this.createResponseError(status, value);
    const result = operation.schema.safeParse(value);
    if (result.success) return result.data;
    throw this.createUnexpectedResponseError(status);
  }

  private async exchange({method, path, body}: OperationsRequest<unknown>) {
    const {address, key} = this.options;
    try {
      const response = await request(new URL(path, address), {
        method,
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: responseTimeoutMs,
        bodyTimeout: responseTimeoutMs,
      });
      const value: unknown = await response.body.json();
      return {status: response.statusCode, value};
    } catch (error) {
      throw this.createConnectionError(error as NodeJS.ErrnoException);
    }
  }

  private createResponseError(
    status: number,
    value: unknown,
  ): MarigoldpostError {
    const result = errorResponseSchema.safeParse(value);
    if (!result.success) return this.createUnexpectedResponseError(status);
    const {error} = result.data;
    const {kind, message, outcome} = error;
    if (!isErrorKind(kind)) return this.createUnexpectedResponseError(status);
    const retryAfterMs = error.retry_after_ms ?? undefined;
    return MarigoldpostError.create(kind, message, {outcome, retryAfterMs});
  }

  private createConnectionError(
    cause: NodeJS.ErrnoException,
  ): MarigoldpostError {
    const {address} = this.options;
    const isNotConnected =
      cause.code === 'ECONNREFUSED' || cause.code === 'UND_ERR_CONNECT_TIMEOUT';
    return isNotConnected
      ? MarigoldpostError.create(
          'peer_unavailable',
          `cannot connect to the daemon at ${address}`,
          {cause},
        )
      : MarigoldpostError.create(
          'peer_lost',
          `no complete response from the daemon at ${address}`,
          {cause},
        );
  }

  private createUnexpectedResponseError(status: number): MarigoldpostError {
    const {address} = this.options;
    const message = `${address} returned a ${status} response in an unknown format`;
    return MarigoldpostError.create('peer_lost', message);
  }
}
