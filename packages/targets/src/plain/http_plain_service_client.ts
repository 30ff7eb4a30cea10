/** Plain-service client over HTTP. */
import type {Clock, TargetId} from '@marigoldpost/common';
import {HttpChannel} from '@marigoldpost/platform';
import {toTargetError} from '../utils/target_errors.js';
import {getEndToEndHeaders} from './end_to_end_headers.js';
import {
  type PlainRequest,
  type PlainResponse,
  PlainServiceClient,
} from './plain_service_client.js';

/** Target, address and timeout of an HTTP plain-service client. */
export interface HttpPlainServiceClientOptions {
  readonly target: TargetId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Timeout of one request, in milliseconds. */
  readonly timeoutMs: number;
  /** Clock of the timeouts; default: the system clock. */
  readonly clock?: Clock;
}

/** Client of one instance; forwards only end-to-end headers. */
export class HttpPlainServiceClient extends PlainServiceClient {
  private constructor(
    private readonly target: TargetId,
    private readonly channel: HttpChannel,
  ) {
    super();
  }

  /**
   * Creates a client; connections open on demand.
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
    const {status, headers, body, isDelimited} = outcome;
    const response = {status, headers: getEndToEndHeaders(headers), body};
    return isDelimited ? response : {...response, isUndelimited: true};
  }

  /** Closes the connections after the requests in flight have completed. */
  async close(): Promise<void> {
    await this.channel.close();
  }

  /** Closes the connections immediately; requests in flight fail. */
  async destroy(): Promise<void> {
    await this.channel.destroy();
  }
}
