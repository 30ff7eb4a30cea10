/** HTTP server of a model engine; streams are server-sent events. */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {
  isErrorOfKind,
  type ModelId,
  type ProgramId,
  toId,
} from '@marigoldpost/common';
import type {EngineEvent, EngineRequest} from '@marigoldpost/targets';
import * as z from 'zod';
import type {MemoryEngine} from '../memory/memory_engine.js';
import type {StreamRecord} from '../memory/memory_stream.js';
import {sendJson, type StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Engine that the server exposes. */
export interface EngineServerOptions {
  /** Engine that handles the requests; also injects its faults. */
  readonly engine: MemoryEngine;
}

const requestSchema = z.object({
  model: z.string().transform((text) => toId<ModelId>(text)),
  program: z.string().transform((text) => toId<ProgramId>(text)),
  messages: z.array(
    z.object({
      role: z.enum(['system', 'user', 'assistant', 'tool']),
      content: z.string(),
    }),
  ),
  maxTokens: z.number().int(),
  offsetTokens: z.number().int(),
  answerPrefix: z.array(z.string()).optional(),
  isResumeOnly: z.boolean(),
});
const orderSchema = z.object({
  kind: z.enum(['load_model', 'unload_model', 'set_role']),
  subject: z.string(),
  fencingNumber: z.number(),
});
const moveSchema = z.object({targetAddress: z.string()});
const importSchema = z.object({blockHashes: z.array(z.string())});

/**
 * Serves an engine over HTTP; closes all connections when the engine is killed.
 */
export class EngineServer extends StandInServer {
  private constructor(readonly engine: MemoryEngine) {
    super();
    engine.addDeathListener(() => void super.kill());
  }

  /**
   * Creates a server that is not listening yet.
   * @param options - Engine to serve.
   */
  static create(options: EngineServerOptions): EngineServer {
    return new EngineServer(options.engine);
  }

  override async start(): Promise<string> {
    this.engine.restart();
    return super.start();
  }

  override async kill(): Promise<void> {
    this.engine.kill();
    await super.kill();
  }

  /** Gets the records of all generations of the engine. */
  getStreams(): readonly StreamRecord[] {
    return this.engine.getStreams();
  }

  protected override async handle(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.route(request, response);
    } catch (error) {
      if (isErrorOfKind(error, 'fenced')) sendJson(response, 409);
      else if (isRejection(error)) sendJson(response, 404);
      else throw error;
    }
  }

  private async route(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const [, resource, id = '', action] = request.segments;
    if (resource === 'streams' && request.method === 'POST') {
      await this.generate(id, request, response);
      return;
    }
    const program = toId<ProgramId>(id);
    const name = [request.method, resource, action].filter(Boolean).join(' ');
    sendJson(response, 200, await this.run(name, id, program, request));
  }

  private async run(
    name: string,
    id: string,
    program: ProgramId,
    {body, query}: StandInRequest,
  ): Promise<unknown> {
    const {engine} = this;
    switch (name) {
      case 'DELETE streams':
        return engine.cancelStream(id);
      case 'DELETE programs cache':
        return engine.releaseProgram(program);
      case 'POST programs cache': {
        const {blockHashes} = importSchema.parse(JSON.parse(body));
        return engine.importProgram(program, blockHashes);
      }
      case 'POST programs move': {
        const {targetAddress} = moveSchema.parse(JSON.parse(body));
        return engine.copyProgramCache(program, targetAddress);
      }
      case 'GET load':
        return engine.getLoad();
      case 'GET cache-events':
        return engine.getCacheEvents(Number(query.get('after')));
      case 'POST orders':
        return engine.sendOrder(orderSchema.parse(JSON.parse(body)));
      default:
        throw new Error(`engine has no operation "${name}"`);
    }
  }

  private async generate(
    streamId: string,
    {body, signal}: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = requestSchema.parse(JSON.parse(body));
    const request: EngineRequest = {streamId, ...parsed};
    for await (const event of this.engine.generate(request, signal)) {
      if (!response.headersSent) sendStreamHead(response);
      const hasRoom = response.write(toSse(event));
      if (!hasRoom) await once(response, 'drain', {signal});
    }
    response.end();
  }
}

function sendStreamHead(response: ServerResponse): void {
  response.writeHead(200, {'content-type': 'text/event-stream'});
}

function toSse(event: EngineEvent): string {
  if (event.kind === 'token') {
    const {index, text} = event;
    return `data: ${JSON.stringify({index, text})}\n\n`;
  }
  const {kind, ...end} = event;
  return `event: ${kind}\ndata: ${JSON.stringify(end)}\n\n`;
}

function isRejection(error: unknown): boolean {
  return isErrorOfKind(error, 'target_failed') && error.outcome === 'not_run';
}
