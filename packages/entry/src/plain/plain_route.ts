/** Route of `/v1/services/{service}/{path}`, for any method. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {PlainAnswer, PlainCall} from '@marigoldpost/programs';
import type {PlainServiceConfig, TeamConfig} from '@marigoldpost/settings';
import {
  getIdempotencyKey,
  getProgramId,
  getTimeoutMs,
  programHeader,
} from '../auth/call_headers.js';
import type {Exchange} from '../http/exchange.js';
import {CallRecorder} from '../server/call_recorder.js';
import type {EntryContext} from '../server/entry_context.js';
import type {Route} from '../server/route.js';
import {getForwardedHeaders, getReturnedHeaders} from './plain_headers.js';

const safeMethods: readonly string[] = ['GET', 'HEAD'];
/** Distinguishes responses of the service from errors of this system. */
const outcomeHeader = 'Marigoldpost-Outcome';

/** Forwards calls to plain services. */
export class PlainRoute implements Route {
  readonly method = '*';
  readonly path = '/v1/services/{service}/{path*}';

  private constructor(private readonly context: EntryContext) {}

  /**
   * Creates the route.
   * @param context - Context that all routes share.
   */
  static create(context: EntryContext): PlainRoute {
    return new PlainRoute(context);
  }

  async handle(
    exchange: Exchange,
    parameters: Readonly<Record<string, string>>,
  ): Promise<void> {
    const {team, access} = this.context.getTeamOrThrow(exchange);
    const name = parameters['service'] ?? '';
    const service = access.getServiceOrThrow(team, name);
    if (service.kind !== 'plain') {
      throw MarigoldpostError.create(
        'invalid_request',
        `service "${name}" is not a plain service`,
      );
    }
    const call = await this.createCall(exchange, team, service);
    const recorder = CallRecorder.create(
      call,
      exchange,
      this.context.dependencies,
    );
    try {
      await this.run(call, exchange, recorder);
    } catch (error) {
      recorder.recordFailed(error);
      throw error;
    }
  }

  private async createCall(
    exchange: Exchange,
    team: TeamConfig,
    service: PlainServiceConfig,
  ): Promise<PlainCall> {
    const idempotencyKey = getIdempotencyKey(exchange);
    const {method, url} = exchange;
    const needsKey = !service.isIdempotent && !safeMethods.includes(method);
    if (needsKey && idempotencyKey === undefined) {
      throw MarigoldpostError.create(
        'idempotency_key_required',
        `service "${service.id}" is not idempotent; send an Idempotency-Key`,
      );
    }
    const prefix = `/v1/services/${service.id}`;
    return {
      kind: 'plain',
      callId: this.context.createCallId(),
      team: team.id,
      service: service.id,
      program: getProgramId(exchange),
      idempotencyKey,
      callClass: team.callClass,
      budget: team.budget,
      timeoutMs: getTimeoutMs(exchange, service.timeoutMs),
      request: {
        method,
        path: `${url.pathname.slice(prefix.length)}${url.search}`,
        headers: getForwardedHeaders(exchange.getHeaders()),
        body: await exchange.readText(),
      },
    };
  }

  private async run(
    call: PlainCall,
    exchange: Exchange,
    recorder: CallRecorder,
  ): Promise<void> {
    const {gateway} = this.context.dependencies;
    for await (const event of gateway.runCall(call, exchange.signal)) {
      if (event.kind === 'accepted') {
        recorder.recordAccepted(event);
        exchange.response.setHeader(programHeader, event.program);
      } else if (event.kind === 'finished' && event.answer.kind === 'plain') {
        recorder.recordFinished(event);
        writeServiceResponse(exchange, event.answer);
        return;
      }
    }
    throw MarigoldpostError.create(
      'outcome_unknown',
      'the call ended before its finished event',
    );
  }
}

function writeServiceResponse(
  exchange: Exchange,
  {response}: PlainAnswer,
): void {
  const {response: answer} = exchange;
  for (const [name, value] of getReturnedHeaders(response.headers)) {
    answer.setHeader(name, value);
  }
  answer.setHeader(outcomeHeader, 'ran');
  answer.statusCode = response.status;
  if (response.isUndelimited === true) {
    // The body may be truncated, so that no length may claim otherwise.
    answer.useChunkedEncodingByDefault = false;
    answer.setHeader('Connection', 'close');
  }
  answer.end(response.body);
}
