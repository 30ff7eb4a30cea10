/** Client of the operators' HTTP of one daemon. */
import {isErrorKind, MarigoldpostError} from '@marigoldpost/common';
import {request} from 'undici';
import type * as z from 'zod';
import {refusalSchema} from './bodies.js';

const timeoutMs = 30_000;

/** Where and as whom to ask. */
export interface OperationsClientOptions {
  /** `http://<ip>:<port>` of a daemon. */
  readonly address: string;
  readonly key: string;
}

/** One request. */
export interface OperationsRequest<Body> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: object;
  /** Schema of the answer. */
  readonly schema: z.ZodType<Body>;
}

/** The client. */
export class OperationsClient {
  private constructor(private readonly options: OperationsClientOptions) {}

  /**
   * Creates a client.
   * @param options - Where and as whom to ask.
   */
  static create(options: OperationsClientOptions): OperationsClient {
    return new OperationsClient(options);
  }

  /**
   * Sends a request; throws the daemon's refusal, or `peer_unavailable` when
   * the daemon can't be reached and `peer_lost` when it went away.
   * @param sent - The request.
   */
  async send<Body>(sent: OperationsRequest<Body>): Promise<Body> {
    const {status, value} = await this.exchange(sent);
    if (status >= 400) throw this.toRefusal(status, value);
    const result = sent.schema.safeParse(value);
    if (result.success) return result.data;
    throw this.createForeign(status);
  }

  private async exchange({method, path, body}: OperationsRequest<unknown>) {
    const {address, key} = this.options;
    try {
      const answer = await request(new URL(path, address), {
        method,
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const value: unknown = await answer.body.json();
      return {status: answer.statusCode, value};
    } catch (error) {
      throw this.toFailure(error as NodeJS.ErrnoException);
    }
  }

  private toRefusal(status: number, value: unknown): MarigoldpostError {
    const result = refusalSchema.safeParse(value);
    if (!result.success) return this.createForeign(status);
    const {error} = result.data;
    const {kind, message, outcome} = error;
    if (!isErrorKind(kind)) return this.createForeign(status);
    const retryAfterMs = error.retry_after_ms ?? undefined;
    return MarigoldpostError.create(kind, message, {outcome, retryAfterMs});
  }

  private toFailure(cause: NodeJS.ErrnoException): MarigoldpostError {
    const {address} = this.options;
    const isUnsent =
      cause.code === 'ECONNREFUSED' || cause.code === 'UND_ERR_CONNECT_TIMEOUT';
    return isUnsent
      ? MarigoldpostError.create(
          'peer_unavailable',
          `daemon at ${address} can't be reached`,
          {cause},
        )
      : MarigoldpostError.create(
          'peer_lost',
          `daemon at ${address} gave no whole answer`,
          {cause},
        );
  }

  private createForeign(status: number): MarigoldpostError {
    const {address} = this.options;
    const message = `${address} answered ${status} in a form that no daemon sends`;
    return MarigoldpostError.create('peer_lost', message);
  }
}
