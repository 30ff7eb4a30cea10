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

/** Target, request and limits of an exchange. */
export interface TargetExchangeOptions extends HttpExchangeOptions {
  readonly target: TargetEntry;
  readonly agent: TargetAgent;
}

/** One request to one target; never retries. */
export class TargetExchange extends HttpExchange {
  private targetBody: TargetBody | undefined;

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

  protected override get body(): TargetBody | undefined {
    return this.targetBody;
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
    return sent;
  }

  protected override handleHead(
    response: http.IncomingMessage,
    settle: (outcome: ExchangeOutcome) => void,
    fail: FailExchange,
  ): void {
    const {codec, request} = this.options;
    const body = TargetBody.create(response, request.method);
    this.targetBody = body;
    const status = response.statusCode ?? 0;
    const {rawHeaders} = response;
    const attributes = codec.decodeResponse(status, response.headers);
    const {requestId, isNotRun} = attributes;
    if (requestId !== undefined && requestId !== request.requestId) {
      fail('broken', `the response belongs to request "${requestId}"`);
      return;
    }
    if (isNotRun) {
      body.discard();
      settle({kind: 'not_run', status, rawHeaders, attributes});
      return;
    }
    settle({kind: 'answer', response, body, attributes});
  }
}
