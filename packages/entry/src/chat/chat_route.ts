/** Route of `POST /v1/chat/completions`. */
import type {CallAccepted, ChatCall} from '@marigoldpost/programs';
import {
  getIdempotencyKey,
  getOffsetTokens,
  getProgramId,
  getTimeoutMs,
  programHeader,
} from '../auth/call_headers.js';
import type {Exchange} from '../http/exchange.js';
import {CallRecorder} from '../server/call_recorder.js';
import type {EntryContext} from '../server/entry_context.js';
import type {Route} from '../server/route.js';
import {
  type CompletionHead,
  createTruncatedError,
  toCompletion,
} from './chat_completion.js';
import {type ChatRequest, parseChatRequest} from './chat_request.js';
import {CompletionStream} from './completion_stream.js';
import {SseWriter} from './sse_writer.js';

const msPerSecond = 1000;

/** Serves chat completions, as one JSON body or as a stream of events. */
export class ChatRoute implements Route {
  readonly method = 'POST';
  readonly path = '/v1/chat/completions';

  private constructor(private readonly context: EntryContext) {}

  /**
   * Creates the route.
   * @param context - Context that all routes share.
   */
  static create(context: EntryContext): ChatRoute {
    return new ChatRoute(context);
  }

  async handle(exchange: Exchange): Promise<void> {
    const {team, access} = this.context.getTeamOrThrow(exchange);
    const body = parseChatRequest(await exchange.readJson());
    const {service, model} = access.getModelOrThrow(team, body.model);
    const call: ChatCall = {
      kind: 'chat',
      callId: this.context.createCallId(),
      team: team.id,
      service: service.id,
      program: getProgramId(exchange),
      idempotencyKey: getIdempotencyKey(exchange),
      callClass: team.callClass,
      budget: team.budget,
      timeoutMs: getTimeoutMs(exchange, service.timeoutMs),
      model,
      messages: body.messages,
      maxTokens: body.maxTokens,
      offsetTokens: body.isStream ? getOffsetTokens(exchange) : 0,
    };
    const recorder = CallRecorder.create(
      call,
      exchange,
      this.context.dependencies,
    );
    try {
      if (body.isStream) await this.stream(call, body, exchange, recorder);
      else await this.complete(call, exchange, recorder);
    } catch (error) {
      recorder.recordFailed(error);
      throw error;
    }
  }

  private async complete(
    call: ChatCall,
    exchange: Exchange,
    recorder: CallRecorder,
  ): Promise<void> {
    const {gateway} = this.context.dependencies;
    let head = this.createHead(call);
    for await (const event of gateway.runCall(call, exchange.signal)) {
      switch (event.kind) {
        case 'accepted':
          head = this.handleAccepted(call, event, exchange, recorder);
          break;
        case 'started':
          break;
        case 'token':
          recorder.recordToken();
          break;
        case 'finished': {
          const completion = toCompletion(head, event);
          recorder.recordFinished(event);
          exchange.writeJson(200, completion);
          return;
        }
      }
    }
    throw createTruncatedError();
  }

  private async stream(
    call: ChatCall,
    body: ChatRequest,
    exchange: Exchange,
    recorder: CallRecorder,
  ): Promise<void> {
    const {gateway, clock} = this.context.dependencies;
    let stream: CompletionStream | undefined;
    try {
      for await (const event of gateway.runCall(call, exchange.signal)) {
        if (event.kind === 'accepted') {
          const head = this.handleAccepted(call, event, exchange, recorder);
          const writer = SseWriter.create(exchange.response, clock);
          const {offsetTokens} = call;
          const {includesUsage} = body;
          const options = {head, offsetTokens, includesUsage};
          stream = CompletionStream.create(writer, recorder, options);
          await stream.open();
        } else if (stream === undefined) {
          throw createTruncatedError();
        } else {
          await stream.write(event);
          if (event.kind === 'finished') return;
        }
      }
      throw createTruncatedError();
    } catch (error) {
      // A cut-off call may also fail with the error of its cancelled relay.
      const {signal} = exchange;
      stream?.fail(signal.aborted ? signal.reason : error);
      throw error;
    }
  }

  private handleAccepted(
    call: ChatCall,
    event: CallAccepted,
    exchange: Exchange,
    recorder: CallRecorder,
  ): CompletionHead {
    recorder.recordAccepted(event);
    exchange.response.setHeader(programHeader, event.program);
    return {...this.createHead(call), callId: event.callId};
  }

  private createHead({callId, model}: ChatCall): CompletionHead {
    const nowMs = this.context.dependencies.clock.wallTimeMs();
    return {callId, model, createdSeconds: Math.floor(nowMs / msPerSecond)};
  }
}
