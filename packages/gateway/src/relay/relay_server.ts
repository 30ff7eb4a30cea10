/**
 * Relays requests of entry VMs that have lost their links to targets. The entry
 * VM that accepted a call keeps everything that concerns the call; this one
 * forwards a single exchange with a target and never relays it any further.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {
  ClientConnections,
  type Clock,
  type ConnectionLimits,
  GuardedConnections,
  isErrorOfKind,
  resetSocket,
  type TargetId,
} from '@marigoldpost/common';
import type {TargetLimits} from '@marigoldpost/dispatch';
import type {CallCodec, NetworkAddress, TargetEntry} from '@marigoldpost/sites';
import {
  ConnectionLog,
  type EventLogger,
  type Metrics,
} from '@marigoldpost/telemetry';
import {readBody} from '../calls/body_reader.js';
import {RequestAllowance} from '../calls/request_allowance.js';
import {RequestMemory} from '../calls/request_memory.js';
import type {LinkMonitor} from '../links/link_monitor.js';
import type {LossDetector} from '../links/loss_detector.js';
import {SilenceWatch} from '../responses/silence_watch.js';
import type {
  ExchangeOutcome,
  StartedResponse,
} from '../targets/http_exchange.js';
import type {TargetAgents} from '../targets/target_agents.js';
import {TargetExchange} from '../targets/target_exchange.js';
import {
  decodeRelayParameters,
  encodeRelayFailure,
  encodeRelayFraming,
  encodeRelayInstance,
  omitRelayHeaders,
  type RelayFailure,
  type RelayParameters,
} from './relay_codec.js';

/** Limit of the headers, which the sender has already checked. */
const maxHeaderBytes = 128 * 1024;
/** Limit of a body: a prompt with its history, as in messages of peers. */
const maxBytes = 32 * 2 ** 20;
/** Time for a whole request, which its sender holds in memory. */
const requestTimeoutMs = 10_000;
/** Interval at which the server checks for such time-outs. */
const connectionCheckIntervalMs = 500;
/** Requests that are relayed at a time; more are left to other entry VMs. */
const maxInFlight = 400;
/** The same as a part of the connections. */
const inFlightShare = 0.75;
const failureStatus = 502;

/** Components that the relay shares with the calls of this entry VM. */
export interface RelayServerOptions {
  readonly clock: Clock;
  /** Limits on the connections of other entry VMs. */
  readonly limits: ConnectionLimits;
  readonly codec: CallCodec;
  readonly agents: TargetAgents;
  readonly links: LinkMonitor;
  readonly lossDetector: LossDetector;
  readonly targetLimits: TargetLimits;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  /** Finds a target that is listed; `undefined` if it is not. */
  readonly findTarget: (id: TargetId) => TargetEntry | undefined;
}

/** HTTP server for requests of other entry VMs. */
export class RelayServer {
  private readonly server: http.Server;
  private readonly connections: ClientConnections;
  private readonly guarded: GuardedConnections;
  /** A single body always finds room. */
  private readonly memory = RequestMemory.create(maxBytes);
  private readonly maxInFlight: number;
  private relayed = 0;
  private isDraining = false;

  private constructor(private readonly options: RelayServerOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        noDelay: true,
        requestTimeout: requestTimeoutMs,
        connectionsCheckingInterval: connectionCheckIntervalMs,
      },
      (request, response) => {
        if (!this.guarded.addRequest(request, response)) return;
        void this.handle(request, response);
      },
    );
    const {clock, limits, logger, metrics} = options;
    // A refusal tells the sender that nothing was sent, a reset does not.
    const most = Math.floor(limits.maxConnections * inFlightShare);
    this.maxInFlight = Math.min(maxInFlight, most);
    this.guarded = GuardedConnections.create({
      server: this.server,
      limits,
      clock,
      observer: ConnectionLog.create({port: 'relay', logger, metrics}),
    });
    this.connections = ClientConnections.create(this.server);
  }

  /**
   * Creates a server that does not listen yet.
   * @param options - Shared components.
   */
  static create(options: RelayServerOptions): RelayServer {
    return new RelayServer(options);
  }

  /** Number of requests whose response has not been sent completely. */
  get inFlight(): number {
    return this.relayed;
  }

  /**
   * Starts to listen; rejects if the address cannot be bound.
   * @param address - Host and port.
   */
  listen({host, port}: NetworkAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Leaves new requests to other entry VMs. */
  drain(): void {
    this.isDraining = true;
  }

  /** Stops listening and breaks the relays that are still open. */
  close(): void {
    this.guarded.stop();
    void this.connections.stopListening();
    for (const socket of this.connections.sockets) resetSocket(socket);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.relayed += 1;
    const controller = new AbortController();
    const allowance = RequestAllowance.create(this.memory);
    response.once('close', () => {
      this.relayed -= 1;
      allowance.release();
      controller.abort();
    });
    try {
      await this.relay(request, response, allowance, controller.signal);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.logOutcome(request, undefined, message);
      resetSocket(request.socket);
    }
  }

  private async relay(
    request: IncomingMessage,
    response: ServerResponse,
    allowance: RequestAllowance,
    signal: AbortSignal,
  ): Promise<void> {
    const {links, findTarget} = this.options;
    const parameters = decodeRelayParameters(request.headers);
    let body;
    try {
      body = await readBody(request, {maxBytes, signal, allowance});
    } catch (error) {
      if (!isErrorOfKind(error, 'overloaded')) throw error;
      this.refuse(request, response, parameters, error.message);
      return;
    }
    const target =
      parameters === undefined ? undefined : findTarget(parameters.target);
    if (target !== undefined && this.isLeaving(target)) {
      const isLeaving = true;
      const fault = {isSent: false, isPeerFault: false, isLeaving} as const;
      this.sendFailure(response, {reason: 'unreachable', ...fault});
      this.logOutcome(request, parameters, 'the target is leaving');
      return;
    }
    const refusal = this.findRefusal(target);
    if (parameters === undefined || target === undefined || refusal !== '') {
      const message = refusal === '' ? 'the target is not listed' : refusal;
      this.refuse(request, response, parameters, message);
      return;
    }
    const outcome = await this.send(request, body, target, parameters, signal);
    if (outcome.kind === 'failed') {
      const {reason, isSent, message} = outcome;
      if (reason === 'unreachable') links.recordConnectFailure(target, message);
      const fault = {isPeerFault: false, isLeaving: false};
      const failure = {reason, isSent, ...fault};
      this.sendFailure(response, failure, target);
      this.logOutcome(request, parameters, message);
      return;
    }
    this.logOutcome(request, parameters, outcome.kind);
    if (outcome.kind === 'answer') {
      await this.forward(outcome, response, target, signal);
      return;
    }
    const headers = [
      ...encodeRelayFraming('none'),
      ...encodeRelayInstance(target.startedAtMs),
      'Content-Length',
      '0',
    ];
    response.writeHead(outcome.status, [
      ...this.getHeaders(outcome.rawHeaders),
      ...headers,
    ]);
    response.end();
  }

  private isLeaving({id, startedAtMs}: TargetEntry): boolean {
    const known = this.options.targetLimits.get({target: id, startedAtMs});
    return known?.leavingSinceMs !== undefined;
  }

  /** Tells the sender that nothing was sent, and that another may relay it. */
  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    parameters: RelayParameters | undefined,
    message: string,
  ): void {
    const isLeaving = false;
    const fault = {isSent: false, isPeerFault: true, isLeaving} as const;
    this.sendFailure(response, {reason: 'unreachable', ...fault});
    this.logOutcome(request, parameters, message);
  }

  /** Finds why this entry VM does not relay; empty if it does. */
  private findRefusal(target: TargetEntry | undefined): string {
    if (this.isDraining) return 'the entry VM is draining';
    if (this.relayed > this.maxInFlight) return 'too many requests are relayed';
    if (target !== undefined && this.options.links.isCut(target)) {
      return 'the entry VM does not reach the target itself';
    }
    return '';
  }

  private async send(
    request: IncomingMessage,
    body: Buffer,
    target: TargetEntry,
    {headTimeoutMs}: RelayParameters,
    signal: AbortSignal,
  ): Promise<ExchangeOutcome> {
    const {agents, codec, links, targetLimits, clock} = this.options;
    const sentAtMs = clock.nowMs();
    const headers = omitRelayHeaders(request.rawHeaders);
    const outcome = await TargetExchange.send({
      target,
      agent: agents.get(target),
      codec,
      request: {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: omitConnection(headers),
        body: hasBody(request) ? body : undefined,
        requestId: codec.decodeCall(request.headers).requestId ?? '',
      },
      headTimeoutMs,
      signal,
    });
    if (outcome.kind === 'failed') return outcome;
    const {rateLimitPerS, isLeaving, isSigned} = outcome.attributes;
    links.recordReached(target);
    targetLimits.recordResponse(target, {
      limitPerS: rateLimitPerS,
      isLeaving,
      sentAtMs,
      isSigned,
    });
    return outcome;
  }

  private async forward(
    {response: source, body}: StartedResponse,
    response: ServerResponse,
    target: TargetEntry,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, lossDetector} = this.options;
    const {framing} = body;
    const headers = this.getHeaders(source.rawHeaders);
    const length = source.headers['content-length'];
    if (framing === 'length' && length !== undefined) {
      headers.push('Content-Length', length);
    }
    headers.push(...encodeRelayFraming(framing));
    headers.push(...encodeRelayInstance(target.startedAtMs));
    response.writeHead(source.statusCode ?? failureStatus, headers);
    response.flushHeaders();
    const findLoss = (silentMs: number) =>
      lossDetector.findLoss({target, peer: undefined, silentMs});
    const watch = SilenceWatch.start({clock, body, findLoss});
    // A paused response is not aborted with its exchange once all its bytes
    // have arrived.
    const onAbort = () => body.abort('the relay was aborted');
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) onAbort();
    const end = await body.read((chunk) => {
      watch.recordChunk();
      if (response.write(chunk)) return;
      source.pause();
      response.once('drain', () => source.resume());
    });
    signal.removeEventListener('abort', onAbort);
    watch.stop();
    // The last chunk stands for the normal end of the target's connection.
    if (end.proof === 'truncated') resetSocket(response.req.socket);
    else response.end();
  }

  private getHeaders(rawHeaders: readonly string[]): string[] {
    return this.options.codec.encodeForClient(rawHeaders);
  }

  private sendFailure(
    response: ServerResponse,
    failure: RelayFailure,
    target?: TargetEntry,
  ): void {
    const headers = [...encodeRelayFailure(failure), 'Content-Length', '0'];
    if (target !== undefined) {
      headers.push(...encodeRelayInstance(target.startedAtMs));
    }
    response.writeHead(failureStatus, headers);
    response.end();
    const {metrics} = this.options;
    metrics.addToCounter('relayed_requests_total', {result: failure.reason});
  }

  private logOutcome(
    {headers}: IncomingMessage,
    parameters: RelayParameters | undefined,
    outcome: string,
  ): void {
    const {logger, codec, metrics} = this.options;
    const {requestId} = codec.decodeCall(headers);
    if (outcome === 'answer' || outcome === 'not_run') {
      metrics.addToCounter('relayed_requests_total', {result: outcome});
    }
    logger.withContext({requestId}).log('request_relayed', {
      sender: parameters?.sender ?? '',
      target: parameters?.target ?? '',
      outcome,
    });
  }
}

function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'];
  return length !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Omits the header of the hop; a target's connection is kept. */
function omitConnection(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (name.toLowerCase() === 'connection') continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}
