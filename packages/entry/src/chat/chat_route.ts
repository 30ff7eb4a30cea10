/** `POST /v1/chat/completions`. */
import type {CallAccepted, ChatCall} from '@marigoldpost/programs';
import {
  getIdempotencyKey,
  getOffsetTokens,
  getProgram,
  getTimeoutMs,
  programHeader,
} from '../auth/call_headers.js';
import type {Exchange} from '../http/exchange.js';
import {CallRecord} from '../server/call_record.js';
import type {EntryContext} from '../server/entry_context.js';
import type {Route} from '../server/route.js';
import {
  type CompletionHead,
  createIncompleteAnswer,
  toCompletion,
} from './chat_completion.js';
import {type ChatRequest, parseChatRequest} from './chat_request.js';
import {CompletionStream} from './completion_stream.js';
import {SseWriter} from './sse_writer.js';

const msPerSecond = 1000;

/** Serves chat completions, plain and as a stream. */
export class ChatRoute implements Route {
  readonly method = 'POST';
  readonly path = '/v1/chat/completions';

  private constructor(private readonly context: EntryContext) {}

  /**
   * Creates the route.
   * @param context - What routes share.
   */
  static create(context: EntryContext): ChatRoute {
    return new ChatRoute(context);
  }

  async handle(exchange: Exchange): Promise<void> {
    const {team, access} = this.context.getTeamOrThrow(exchange);
    const request = parseChatRequest(await exchange.readJson());
    const {service, model} = access.getModelOrThrow(team, request.model);
    const call: ChatCall = {
      kind: 'chat',
      callId: this.context.createCallId(),
      team: team.id,
      service: service.id,
      program: getProgram(exchange),
      idempotencyKey: getIdempotencyKey(exchange),
      callClass: team.callClass,
      budget: team.budget,
      timeoutMs: getTimeoutMs(exchange, service.timeoutMs),
      model,
      messages: request.messages,
      maxTokens: request.maxTokens,
      offsetTokens: request.isStream ? getOffsetTokens(exchange) : 0,
    };
    const record = CallRecord.create(call, exchange, this.context.parts);
    try {
      if (request.isStream) await this.stream(call, request, exchange, record);
      else await this.complete(call, exchange, record);
    } catch (error) {
      record.noteFailed(error);
      throw error;
    }
  }

  private async complete(
    call: ChatCall,
    exchange: Exchange,
    record: CallRecord,
  ): Promise<void> {
    const {gateway} = this.context.parts;
    let head = this.createHead(call);
    for await (const event of gateway.runCall(call, exchange.signal)) {
      switch (event.kind) {
        case 'accepted':
          head = this.accept(call, event, exchange, record);
          break;
        case 'started':
          break;
        case 'token':
          record.noteToken();
          break;
        case 'finished': {
          const completion = toCompletion(head, event);
          record.noteFinished(event);
          exchange.writeJson(200, completion);
          return;
        }
      }
    }
    throw createIncompleteAnswer();
  }

  private async stream(
    call: ChatCall,
    request: ChatRequest,
    exchange: Exchange,
    record: CallRecord,
  ): Promise<void> {
    const {gateway, clock} = this.context.parts;
    let stream: CompletionStream | undefined;
    try {
      for await (const event of gateway.runCall(call, exchange.signal)) {
        if (event.kind === 'accepted') {
          const head = this.accept(call, event, exchange, record);
          const writer = SseWriter.create(exchange.response, clock);
          const {offsetTokens} = call;
          const {includesUsage} = request;
          const options = {head, offsetTokens, includesUsage};
          stream = CompletionStream.create(writer, record, options);
          await stream.open();
        } else if (stream === undefined) {
          throw createIncompleteAnswer();
        } else {
          await stream.write(event);
          if (event.kind === 'finished') return;
        }
      }
      throw createIncompleteAnswer();
    } catch (error) {
      stream?.fail(error);
      throw error;
    }
  }

  private accept(
    call: ChatCall,
    event: CallAccepted,
    exchange: Exchange,
    record: CallRecord,
  ): CompletionHead {
    record.noteAccepted(event);
    exchange.response.setHeader(programHeader, event.program);
    return {...this.createHead(call), callId: event.callId};
  }

  private createHead({callId, model}: ChatCall): CompletionHead {
    const nowMs = this.context.parts.clock.wallTimeMs();
    return {callId, model, createdSeconds: Math.floor(nowMs / msPerSecond)};
  }
}
