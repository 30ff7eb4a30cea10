/** HTTP server for callers and operators. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from 'node:https';
import type {AddressInfo, Socket} from 'node:net';
import {
  ClientConnections,
  type Clock,
  errorDefinitions,
  MarigoldpostError,
  type Random,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {DaemonSettings, TlsFiles} from '@marigoldpost/settings';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import type {CallGateway} from '../call_gateway.js';
import {ChatRoute} from '../chat/chat_route.js';
import {toErrorBody} from '../http/error_body.js';
import {Exchange} from '../http/exchange.js';
import {PlainRoute} from '../plain/plain_route.js';
import {createProgramRoutes} from '../programs/program_routes.js';
import {EntryContext} from './entry_context.js';
import {createHealthRoutes} from './health_routes.js';
import {type Route, Router} from './route.js';
import {readTlsCredentials, TlsReloader} from './tls_reloader.js';

const serverOptions: ServerOptions = {
  maxHeaderSize: 16_384,
  headersTimeout: 10_000,
  // Time to send a request, its body included, in milliseconds.
  requestTimeout: 120_000,
  keepAliveTimeout: 65_000,
};
const requestIdLength = 16;
/** The caller has closed its connection within a request. */
const endOfInputCode = 'HPE_INVALID_EOF_STATE';
/** Time for callers to receive the errors of calls that are cut off. */
const cutOffMs = 1000;

/** Dependencies of the server. */
export interface CallerServerOptions {
  readonly gateway: CallGateway;
  readonly settings: DaemonSettings;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
  /** Additional routes on the same port, for example those for operators. */
  readonly extraRoutes?: readonly Route[];
}

/** Accepts requests from callers until it is stopped. */
export class CallerServer {
  /** All routes, the extra ones included. */
  readonly routes: readonly Route[];
  private readonly router: Router;
  private readonly exchanges = new Map<Exchange, Promise<void>>();
  private server: Server | undefined;
  private connections: ClientConnections | undefined;
  private reloader: TlsReloader | undefined;
  private requestsInFlight = 0;
  private isStopping = false;

  private constructor(private readonly options: CallerServerOptions) {
    const context = EntryContext.create(options);
    this.routes = [
      ChatRoute.create(context),
      ...createProgramRoutes(context),
      PlainRoute.create(context),
      ...createHealthRoutes(context),
      ...(options.extraRoutes ?? []),
    ];
    this.router = Router.create(this.routes);
  }

  /**
   * Creates a server that does not listen yet.
   * @param options - Dependencies of the server.
   */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Listening port; the configured one, unless that is 0. */
  get port(): number {
    const address = this.server?.address() as AddressInfo | null | undefined;
    return address?.port ?? this.options.settings.callerPort;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.requestsInFlight;
  }

  /** Listens on the configured address; rejects if it cannot be bound. */
  async start(): Promise<void> {
    const {callerHost, callerPort, tls} = this.options.settings;
    const server = await this.createServer(tls);
    this.server = server;
    this.connections = ClientConnections.create(server);
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
      this.handleClientError(error, socket),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(callerPort, callerHost, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Stops listening and waits for the requests in flight. Those that are still
   * in flight after the drain time end with an error.
   * @param drainMs - Longest wait; by default the configured drain time.
   */
  async stop(drainMs = this.options.settings.drainMs): Promise<void> {
    this.isStopping = true;
    this.reloader?.stop();
    const {server, connections} = this;
    if (server === undefined || connections === undefined) return;
    const closed = connections.stopListening();
    this.closeAfterResponses();
    connections.closeIdle();
    const {clock} = this.options;
    const timers = [
      clock.setTimer(drainMs, () => this.cutOffExchanges()),
      // Breaks off the streams that could not end with an error event.
      clock.setTimer(drainMs + cutOffMs, () => server.closeAllConnections()),
    ];
    await closed;
    for (const timer of timers) timer.cancel();
    await Promise.allSettled(this.exchanges.values());
  }

  /** Destroys all connections at once, like the end of the process. */
  async kill(): Promise<void> {
    this.isStopping = true;
    this.reloader?.stop();
    const {server} = this;
    if (server === undefined) return;
    const closed = new Promise<void>((resolve) =>
      server.close(() => resolve()),
    );
    server.closeAllConnections();
    await closed;
  }

  private cutOffExchanges(): void {
    const message = 'the daemon stopped before the request was complete';
    const options = {outcome: 'unknown'} as const;
    const error = MarigoldpostError.create('draining', message, options);
    for (const exchange of this.exchanges.keys()) exchange.cutOff(error);
  }

  /** Closes each connection after the last response that is due on it. */
  private closeAfterResponses(): void {
    const exchanges = [...this.exchanges.keys()];
    const last = new Map(exchanges.map((it) => [it.connection, it]));
    for (const exchange of last.values()) exchange.closeAfterResponse();
  }

  private async createServer(tls: TlsFiles | undefined): Promise<Server> {
    const listener = (request: IncomingMessage, response: ServerResponse) =>
      this.handleRequest(request, response);
    if (tls === undefined) return createServer(serverOptions, listener);
    const credentials = await readTlsCredentials(tls);
    const server = createTlsServer(
      {...serverOptions, ...credentials},
      listener,
    );
    await this.startReloader(tls, server);
    return server;
  }

  private async startReloader(
    files: TlsFiles,
    server: TlsServer,
  ): Promise<void> {
    const {clock, logger} = this.options;
    this.reloader = TlsReloader.create({files, server, clock, logger});
    await this.reloader.start();
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (this.isStopping) response.setHeader('Connection', 'close');
    const {random, logger, settings} = this.options;
    const requestId = random.nextToken(requestIdLength);
    const exchange = Exchange.create({
      request,
      response,
      requestId,
      logger: logger.withContext({requestId}),
      maxBodyBytes: settings.maxBodyBytes,
    });
    this.changeInFlight(1);
    response.once('close', () => this.closeIdleConnections());
    this.connections?.closeWithConnection(request, response);
    const served = this.serve(exchange);
    this.exchanges.set(exchange, served);
    void served.finally(() => {
      this.exchanges.delete(exchange);
      this.changeInFlight(-1);
    });
  }

  private async serve(exchange: Exchange): Promise<void> {
    try {
      await Promise.race([
        this.router.handle(exchange),
        exchange.waitForCutOff(),
      ]);
    } catch (error) {
      const {kind} = toMarigoldpostError(error);
      this.options.metrics.addToCounter('refusals_total', {kind});
      exchange.writeError(error);
    }
  }

  /**
   * Closes connections that callers keep alive after a response whose head was
   * sent before the stop.
   */
  private closeIdleConnections(): void {
    if (this.isStopping) this.connections?.closeIdle();
  }

  /**
   * Rejects a malformed or late request. While responses to earlier requests of
   * its connection are in progress, it is not answered: its response would be
   * taken for theirs, or for a part of it.
   */
  private handleClientError(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const isAnswering = this.connections?.closeAfterResponses(socket) === true;
    if (!isAnswering) rejectMalformedRequest(error, socket);
    else if (error.code === endOfInputCode) socket.destroy();
  }

  private changeInFlight(change: number): void {
    this.requestsInFlight += change;
    const {metrics} = this.options;
    metrics.setGauge('calls_in_flight', {}, this.requestsInFlight);
  }
}

function rejectMalformedRequest(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const refusal = MarigoldpostError.create(
    isTooLarge ? 'too_large' : 'invalid_request',
    isTooLarge
      ? 'the request headers are too large'
      : 'the request is not valid HTTP',
  );
  const body = JSON.stringify(toErrorBody(refusal));
  const lines = [
    `HTTP/1.1 ${errorDefinitions[refusal.kind].status} Refused`,
    'Connection: close',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
}
