/** One instance of a plain service over HTTP. */
import type {ServerResponse} from 'node:http';
import type {MemoryPlainService} from '../memory/memory_plain_service.js';
import type {PlainExecution} from '../memory/plain_ledger.js';
import type {StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Options of the server. */
export interface PlainServiceServerOptions {
  /** The instance, with the faults that are switched on. */
  readonly service: MemoryPlainService;
}

/** Serves an instance of a plain service; dies when the instance dies. */
export class PlainServiceServer extends StandInServer {
  private constructor(readonly service: MemoryPlainService) {
    super();
    service.addDeathListener(() => void super.kill());
  }

  /**
   * Creates a server that does not listen yet.
   * @param options - The instance.
   */
  static create(options: PlainServiceServerOptions): PlainServiceServer {
    return new PlainServiceServer(options.service);
  }

  override async start(): Promise<string> {
    this.service.restart();
    return super.start();
  }

  override async kill(): Promise<void> {
    this.service.kill();
    await super.kill();
  }

  /** Gets what the service's instances have run. */
  getExecutions(): readonly PlainExecution[] {
    return this.service.getExecutions();
  }

  protected override async handle(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const {method, url, headers, body, signal} = request;
    const plain = {method, path: url, headers, body};
    const answer = await this.service.send(plain, signal);
    response.writeHead(answer.status, answer.headers);
    response.end(answer.body);
  }
}
