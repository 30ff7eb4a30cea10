/** `/v1/services/{service}/{path}`, with any method. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {PlainAnswer, PlainCall} from '@marigoldpost/programs';
import type {PlainServiceConfig, TeamConfig} from '@marigoldpost/settings';
import {
  getIdempotencyKey,
  getProgram,
  getTimeoutMs,
  programHeader,
} from '../auth/call_headers.js';
import type {Exchange} from '../http/exchange.js';
import {CallRecord} from '../server/call_record.js';
import type {EntryContext} from '../server/entry_context.js';
import type {Route} from '../server/route.js';
import {getForwardedHeaders, getReturnedHeaders} from './plain_headers.js';

const safeMethods: readonly string[] = ['GET', 'HEAD'];
/** Tells the service's own answers from refusals of the system. */
const outcomeHeader = 'Marigoldpost-Outcome';

/** Serves calls to plain services. */
export class PlainRoute implements Route {
  readonly method = '*';
  readonly path = '/v1/services/{service}/{path*}';

  private constructor(private readonly context: EntryContext) {}

  /**
   * Creates the route.
   * @param context - What routes share.
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
    const record = CallRecord.create(call, exchange, this.context.parts);
    try {
      await this.run(call, exchange, record);
    } catch (error) {
      record.noteFailed(error);
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
      program: getProgram(exchange),
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
    record: CallRecord,
  ): Promise<void> {
    const {gateway} = this.context.parts;
    for await (const event of gateway.runCall(call, exchange.signal)) {
      if (event.kind === 'accepted') {
        record.noteAccepted(event);
        exchange.response.setHeader(programHeader, event.program);
      } else if (event.kind === 'finished' && event.answer.kind === 'plain') {
        record.noteFinished(event);
        writeAnswer(exchange, event.answer);
        return;
      }
    }
    throw MarigoldpostError.create(
      'outcome_unknown',
      'the answer ended before it was complete',
    );
  }
}

function writeAnswer(exchange: Exchange, {response}: PlainAnswer): void {
  const {response: answer} = exchange;
  for (const [name, value] of getReturnedHeaders(response.headers)) {
    answer.setHeader(name, value);
  }
  answer.setHeader(outcomeHeader, 'ran');
  answer.statusCode = response.status;
  answer.end(response.body);
}
