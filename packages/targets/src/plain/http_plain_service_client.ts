/** Plain service over HTTP. */
import type {Clock, TargetId} from '@marigoldpost/common';
import {HttpChannel} from '@marigoldpost/platform';
import {toTargetError} from '../utils/target_errors.js';
import {getEndToEndHeaders} from './end_to_end_headers.js';
import {
  type PlainRequest,
  type PlainResponse,
  PlainServiceClient,
} from './plain_service_client.js';

/** Options of the client. */
export interface HttpPlainServiceClientOptions {
  readonly target: TargetId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Longest time for one request, in milliseconds. */
  readonly timeoutMs: number;
  /** Source of timeouts; the machine's clock by default. */
  readonly clock?: Clock;
}

/** Client of one instance of a plain service over HTTP. */
export class HttpPlainServiceClient extends PlainServiceClient {
  private constructor(
    private readonly target: TargetId,
    private readonly channel: HttpChannel,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param options - Target, address and timeout.
   */
  static create(
    options: HttpPlainServiceClientOptions,
  ): HttpPlainServiceClient {
    const channel = HttpChannel.create(options);
    return new HttpPlainServiceClient(options.target, channel);
  }

  override async send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<PlainResponse> {
    const outgoing = {...request, headers: getEndToEndHeaders(request.headers)};
    const outcome = await this.channel.send(outgoing, signal);
    if (outcome.kind === 'failure') {
      const subject = `${request.method} ${request.path}`;
      throw toTargetError(outcome, {target: this.target, subject});
    }
    const {status, headers, body} = outcome;
    return {status, headers: getEndToEndHeaders(headers), body};
  }

  /** Closes the connections once the requests in flight are done. */
  async close(): Promise<void> {
    await this.channel.close();
  }

  /** Drops the connections; calls in flight are cut. */
  async destroy(): Promise<void> {
    await this.channel.destroy();
  }
}
