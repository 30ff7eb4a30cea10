/** HTTP server of a plain service instance. */
import type {ServerResponse} from 'node:http';
import type {MemoryPlainService} from '../memory/memory_plain_service.js';
import type {PlainExecution} from '../memory/plain_ledger.js';
import type {StandInRequest} from './stand_in_request.js';
import {StandInServer} from './stand_in_server.js';

/** Instance that the server exposes. */
export interface PlainServiceServerOptions {
  /** Instance that handles the requests; also injects its faults. */
  readonly service: MemoryPlainService;
}

/**
 * Serves an instance of a plain service over HTTP; closes all connections when
 * the instance is killed.
 */
export class PlainServiceServer extends StandInServer {
  private constructor(readonly service: MemoryPlainService) {
    super();
    service.addDeathListener(() => void super.kill());
  }

  /**
   * Creates a server that is not listening yet.
   * @param options - Instance to serve.
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

  /** Gets the executions of all instances that share the ledger. */
  getExecutions(): readonly PlainExecution[] {
    return this.service.getExecutions();
  }

  protected override async handle(
    request: StandInRequest,
    response: ServerResponse,
  ): Promise<void> {
    const {method, url, headers, body, signal} = request;
    const plain = {method, path: url, headers, body};
    const plainResponse = await this.service.send(plain, signal);
    response.writeHead(plainResponse.status, plainResponse.headers);
    response.end(plainResponse.body);
  }
}
