/** Maintains a stream to one peer and sends exchanges over it. */
import {createClient} from '@connectrpc/connect';
import {createGrpcTransport} from '@connectrpc/connect-node';
import {
  Backoff,
  type Clock,
  type DaemonId,
  Deferred,
  MarigoldpostError,
  type Random,
} from '@marigoldpost/common';
import {PeerService} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {checkRequest, maxMessageBytes} from './check_message.js';
import {PeerSessionManager} from './peer_session_manager.js';
import {type PendingExchange, PeerStream} from './peer_stream.js';
import type {
  PeerAddress,
  PeerExchangeOptions,
  PeerReplyBody,
  PeerRequestBody,
} from './peer_transport.js';
import type {TlsMaterial} from './tls_material.js';

const connectTimeoutMs = 3000;
const pingIntervalMs = 5000;
const pingTimeoutMs = 3000;
const abortDelayMs = 1000;
const reconnectBackoff = {baseMs: 50, maxMs: 1000};

/** Endpoints and dependencies of a link. */
export interface PeerLinkOptions {
  /** This daemon, named as the sender of each request. */
  readonly sender: DaemonId;
  readonly peer: PeerAddress;
  readonly clock: Clock;
  readonly random: Random;
  /** Gets the credentials of a new connection; `undefined` without TLS. */
  readonly getTls: () => TlsMaterial | undefined;
}

/** Link to one peer. Connects on demand, with backoff after each failure. */
export class PeerLink {
  private readonly backoff: Backoff;
  private sessionManager: PeerSessionManager | undefined;
  private stream: PeerStream | undefined;
  private opening: Promise<PeerStream> | undefined;
  private retryAtMs = Number.NEGATIVE_INFINITY;
  private lastFailure: Error | undefined;
  private isClosed = false;

  private constructor(private readonly options: PeerLinkOptions) {
    this.backoff = Backoff.create(reconnectBackoff, options.random);
  }

  /**
   * Creates a link; the first exchange connects it.
   * @param options - Endpoints and dependencies.
   */
  static create(options: PeerLinkOptions): PeerLink {
    return new PeerLink(options);
  }

  /**
   * Sends a request; see `PeerTransport.exchange`.
   * @param request - Request to send.
   * @param options - Timeout and abort signal.
   */
  async *exchange(
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody> {
    checkRequest(this.options.sender, request);
    const startMs = this.options.clock.nowMs();
    const stream = await this.getStreamBeforeTimeout(options);
    const leftMs = options.timeoutMs - (this.options.clock.nowMs() - startMs);
    const timer = this.options.clock.setTimer(leftMs, () =>
      stream.failExchange(exchange, this.createTimeoutError(exchange)),
    );
    const exchange = stream.startExchange(request, () => timer.cancel());
    const onAbort = () =>
      stream.failExchange(exchange, this.createCancelledError(exchange));
    if (options.signal?.aborted) onAbort();
    options.signal?.addEventListener('abort', onAbort, {once: true});
    try {
      yield* stream.readReplies(exchange);
    } finally {
      timer.cancel();
      options.signal?.removeEventListener('abort', onAbort);
    }
  }

  /** Closes the stream and fails its exchanges and all later ones. */
  close(): void {
    this.isClosed = true;
    this.stream?.close();
    this.sessionManager?.abort();
  }

  private async getStreamBeforeTimeout({
    signal,
    timeoutMs,
  }: PeerExchangeOptions): Promise<PeerStream> {
    if (signal?.aborted) throw this.createCancelledError();
    if (this.stream !== undefined) return this.stream;
    const timeoutOrAbort = Deferred.create<PeerStream>();
    const timer = this.options.clock.setTimer(timeoutMs, () =>
      timeoutOrAbort.reject(this.createTimeoutError()),
    );
    const onAbort = () => timeoutOrAbort.reject(this.createCancelledError());
    signal?.addEventListener('abort', onAbort, {once: true});
    try {
      return await Promise.race([this.getStream(), timeoutOrAbort.promise]);
    } finally {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    }
  }

  private getStream(): Promise<PeerStream> {
    if (this.stream !== undefined) return Promise.resolve(this.stream);
    if (this.opening !== undefined) return this.opening;
    if (this.isClosed || this.options.clock.nowMs() < this.retryAtMs) {
      return Promise.reject(this.createUnavailableError(this.lastFailure));
    }
    this.opening = this.openStream().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  private async openStream(): Promise<PeerStream> {
    const manager = await this.connect();
    const transport = createGrpcTransport({
      baseUrl: this.options.peer.address,
      sessionManager: manager,
      acceptCompression: [],
      readMaxBytes: maxMessageBytes,
    });
    const client = createClient(PeerService, transport);
    this.sessionManager = manager;
    this.stream = PeerStream.create({
      sender: this.options.sender,
      peer: this.options.peer.daemon,
      open: (outgoing, signal) => client.exchange(outgoing, {signal}),
      onClosed: () => this.handleStreamClosed(manager),
    });
    return this.stream;
  }

  private async connect(): Promise<PeerSessionManager> {
    const manager = new PeerSessionManager(
      this.options.peer.address,
      {pingIntervalMs, pingTimeoutMs},
      this.options.getTls(),
    );
    const timer = this.options.clock.setTimer(connectTimeoutMs, () =>
      manager.abort(new Error(`no connection within ${connectTimeoutMs} ms`)),
    );
    const state = await manager.connect();
    timer.cancel();
    if (this.isClosed) manager.abort();
    if (state !== 'error' && !this.isClosed) return manager;
    const failure = manager.error();
    this.recordFailure(failure instanceof Error ? failure : undefined);
    throw this.createUnavailableError(this.lastFailure);
  }

  private handleStreamClosed(manager: PeerSessionManager): void {
    this.stream = undefined;
    this.recordFailure(undefined);
    // A session that fails before its request emits its error later. An abort
    // before that removes the manager's listener, and the unhandled error would
    // end the process.
    this.options.clock.setTimer(abortDelayMs, () => manager.abort());
  }

  private recordFailure(failure: Error | undefined): void {
    this.lastFailure = failure;
    this.retryAtMs = this.options.clock.nowMs() + this.backoff.nextDelayMs();
  }

  private createUnavailableError(cause?: Error): MarigoldpostError {
    const {daemon, address} = this.options.peer;
    const message = `peer "${daemon}" at ${address} is unreachable`;
    return MarigoldpostError.create('peer_unavailable', message, {cause});
  }

  private createTimeoutError(exchange?: PendingExchange): MarigoldpostError {
    if (!exchange?.request.isDequeued) return this.createUnavailableError();
    const message = `peer "${this.options.peer.daemon}" did not reply before the timeout`;
    return MarigoldpostError.create('peer_lost', message);
  }

  private createCancelledError(exchange?: PendingExchange): MarigoldpostError {
    const outcome = exchange?.request.isDequeued ? 'unknown' : 'not_run';
    const message = `request to peer "${this.options.peer.daemon}" was cancelled`;
    return MarigoldpostError.create('cancelled', message, {outcome});
  }
}
