/** Keeps a stream to one peer open and sends exchanges over it. */
import {createClient} from '@connectrpc/connect';
import {
  createGrpcTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {
  Backoff,
  type Clock,
  type DaemonId,
  Deferred,
  MarigoldpostError,
  type Random,
} from '@marigoldpost/common';
import {PeerService} from '../generated/marigoldpost/peers/v1/peers_pb.js';
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
const reconnectWaits = {baseMs: 50, maxMs: 1000};

/** Largest message between daemons, in bytes. */
export const maxMessageBytes = 32 * 2 ** 20;

/** Options of a link. */
export interface PeerLinkOptions {
  /** Daemon that sends the requests. */
  readonly sender: DaemonId;
  readonly peer: PeerAddress;
  readonly clock: Clock;
  readonly random: Random;
  /** Gets the certificates for a new connection; nothing without TLS. */
  readonly getTls: () => TlsMaterial | undefined;
}

/** Link to one peer: connects on demand, with a wait after each failure. */
export class PeerLink {
  private readonly backoff: Backoff;
  private manager: Http2SessionManager | undefined;
  private stream: PeerStream | undefined;
  private opening: Promise<PeerStream> | undefined;
  private retryAtMs = Number.NEGATIVE_INFINITY;
  private lastFailure: Error | undefined;
  private isClosed = false;

  private constructor(private readonly options: PeerLinkOptions) {
    this.backoff = Backoff.create(reconnectWaits, options.random);
  }

  /**
   * Creates a link that is not yet connected.
   * @param options - Ends of the link.
   */
  static create(options: PeerLinkOptions): PeerLink {
    return new PeerLink(options);
  }

  /**
   * Sends a request; see `PeerTransport.exchange`.
   * @param request - The request.
   * @param options - When to give up.
   */
  async *exchange(
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody> {
    const startMs = this.options.clock.nowMs();
    const stream = await this.getStreamInTime(options);
    const leftMs = options.timeoutMs - (this.options.clock.nowMs() - startMs);
    const timer = this.options.clock.setTimer(leftMs, () =>
      stream.failExchange(exchange, this.createTimeout(exchange)),
    );
    const exchange = stream.addExchange(request, () => timer.cancel());
    const onAbort = () =>
      stream.failExchange(exchange, this.createCancelled(exchange));
    if (options.signal?.aborted) onAbort();
    options.signal?.addEventListener('abort', onAbort, {once: true});
    try {
      yield* stream.readReplies(exchange);
    } finally {
      timer.cancel();
      options.signal?.removeEventListener('abort', onAbort);
    }
  }

  /** Breaks the stream; later exchanges fail. */
  close(): void {
    this.isClosed = true;
    this.stream?.close();
    this.manager?.abort();
  }

  private async getStreamInTime({
    signal,
    timeoutMs,
  }: PeerExchangeOptions): Promise<PeerStream> {
    if (signal?.aborted) throw this.createCancelled();
    if (this.stream !== undefined) return this.stream;
    const givenUp = Deferred.create<PeerStream>();
    const timer = this.options.clock.setTimer(timeoutMs, () =>
      givenUp.reject(this.createTimeout()),
    );
    const onAbort = () => givenUp.reject(this.createCancelled());
    signal?.addEventListener('abort', onAbort, {once: true});
    try {
      return await Promise.race([this.getStream(), givenUp.promise]);
    } finally {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    }
  }

  private getStream(): Promise<PeerStream> {
    if (this.stream !== undefined) return Promise.resolve(this.stream);
    if (this.opening !== undefined) return this.opening;
    if (this.isClosed || this.options.clock.nowMs() < this.retryAtMs) {
      return Promise.reject(this.createUnavailable(this.lastFailure));
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
    this.manager = manager;
    this.stream = PeerStream.create({
      sender: this.options.sender,
      peer: this.options.peer.daemon,
      open: (outgoing, signal) => client.exchange(outgoing, {signal}),
      onClosed: () => this.dropStream(manager),
    });
    return this.stream;
  }

  private async connect(): Promise<Http2SessionManager> {
    const manager = new Http2SessionManager(
      this.options.peer.address,
      {pingIntervalMs, pingTimeoutMs},
      this.options.getTls(),
    );
    const timer = this.options.clock.setTimer(connectTimeoutMs, () =>
      manager.abort(new Error('connecting took too long')),
    );
    const state = await manager.connect();
    timer.cancel();
    if (this.isClosed) manager.abort();
    if (state !== 'error' && !this.isClosed) return manager;
    const failure = manager.error();
    this.noteFailure(failure instanceof Error ? failure : undefined);
    throw this.createUnavailable(this.lastFailure);
  }

  private dropStream(manager: Http2SessionManager): void {
    this.stream = undefined;
    this.noteFailure(undefined);
    // A session that is failing still emits its error; aborted before that, the
    // manager no longer listens and the error would end the process.
    this.options.clock.setTimer(abortDelayMs, () => manager.abort());
  }

  private noteFailure(failure: Error | undefined): void {
    this.lastFailure = failure;
    this.retryAtMs = this.options.clock.nowMs() + this.backoff.nextDelayMs();
  }

  private createUnavailable(cause?: Error): MarigoldpostError {
    const {daemon, address} = this.options.peer;
    const message = `peer "${daemon}" at ${address} is not reachable`;
    return MarigoldpostError.create('peer_unavailable', message, {cause});
  }

  private createTimeout(exchange?: PendingExchange): MarigoldpostError {
    if (!exchange?.request.isTaken) return this.createUnavailable();
    const message = `peer "${this.options.peer.daemon}" did not reply in time`;
    return MarigoldpostError.create('peer_lost', message);
  }

  private createCancelled(exchange?: PendingExchange): MarigoldpostError {
    const outcome = exchange?.request.isTaken ? 'unknown' : 'not_run';
    const message = `request to peer "${this.options.peer.daemon}" was cancelled`;
    return MarigoldpostError.create('cancelled', message, {outcome});
  }
}
