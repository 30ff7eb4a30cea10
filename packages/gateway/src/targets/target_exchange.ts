/** Sends one request to a target and awaits the head of the response. */
import http from 'node:http';
import type {TargetEntry} from '@marigoldpost/sites';
import {TargetBody} from '../responses/target_body.js';
import {
  type ExchangeOutcome,
  type FailExchange,
  HttpExchange,
  type HttpExchangeOptions,
} from './http_exchange.js';
import type {TargetAgent} from './target_agent.js';

/** Lower ones are interim, or none that can be sent to a client. */
const minFinalStatus = 200;
const maxStatus = 999;

/** Target, request and limits of an exchange. */
export interface TargetExchangeOptions extends HttpExchangeOptions {
  readonly target: TargetEntry;
  readonly agent: TargetAgent;
}

/** One request to one target; never retries. */
export class TargetExchange extends HttpExchange {
  private sent: http.ClientRequest | undefined;

  private constructor(private readonly options: TargetExchangeOptions) {
    super(options);
  }

  /**
   * Sends a request and waits for the head of the response; never rejects.
   * @param options - Target, request and limits.
   */
  static send(options: TargetExchangeOptions): Promise<ExchangeOutcome> {
    return new TargetExchange(options).run();
  }

  protected override createRequest(): http.ClientRequest {
    const {target, agent, request} = this.options;
    const {host, port} = target.address;
    const {method, path, headers, body} = request;
    const sent = http.request({
      agent,
      host,
      port,
      method,
      path,
      headers: headers as unknown as http.OutgoingHttpHeaders,
    });
    sent.end(body);
    this.sent = sent;
    return sent;
  }

  protected override handleHead(
    response: http.IncomingMessage,
    fail: FailExchange,
  ): void {
    const {codec, request} = this.options;
    const body = TargetBody.create(response, request.method);
    this.setBody(body);
    const status = response.statusCode ?? 0;
    const attributes = codec.decodeResponse(status, response.headers);
    if (status < minFinalStatus || status > maxStatus) {
      fail('broken', `the response has the invalid status ${status}`);
      return;
    }
    const {requestId} = attributes;
    if (requestId !== undefined && requestId !== request.requestId) {
      fail('broken', `the response belongs to request "${requestId}"`);
      return;
    }
    // It may be a response to an earlier request, sent once more.
    if (requestId === undefined && this.sent?.reusedSocket === true) {
      fail('broken', 'a response on a reused connection has no request id');
      return;
    }
    this.settleResponse(body, attributes);
  }
}
