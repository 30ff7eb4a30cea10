/** Exchanges over HTTP/2 with Connect, one stream per requester and peer. */
import http2 from 'node:http2';
import type {AddressInfo} from 'node:net';
import {createContextKey, createContextValues} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
  type Clock,
  type DaemonId,
  getHashNumber,
  MarigoldpostError,
  type Random,
  SeededRandom,
} from '@marigoldpost/common';
import {
  type PeerFrame,
  PeerService,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {maxMessageBytes, PeerLink} from './peer_link.js';
import {
  type PeerAddress,
  type PeerExchangeOptions,
  type PeerHandler,
  type PeerReplyBody,
  type PeerRequestBody,
  PeerTransport,
} from './peer_transport.js';
import {
  noPeerPortLimits,
  type PeerPortLimits,
} from '../messages/served_connections.js';
import {ServedSessions} from './served_sessions.js';
import {type ExchangeCounter, ServedStream} from './served_stream.js';
import {type PeerTlsFiles, TlsMaterialSource} from './tls_material.js';

/** Listen address, identity and TLS files of a Connect transport. */
export interface ConnectPeerTransportOptions {
  /** Daemon that this transport sends and serves for. */
  readonly daemon: DaemonId;
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port: number;
  readonly clock: Clock;
  /** Enables mutual TLS with certificates of one authority. */
  readonly tls?: PeerTlsFiles;
  /** Limits on the connections of peers; none if omitted. */
  readonly limits?: PeerPortLimits;
}

/** Streams of one session; a daemon opens one. */
const maxConcurrentStreams = 4;
/** Default of the key, which each request sets. */
const noCounter: ExchangeCounter = {
  begin: () => undefined,
  end: () => undefined,
  onFrame: () => undefined,
};
const counterKey = createContextKey<ExchangeCounter>(noCounter);

/** Transport that multiplexes exchanges over one gRPC stream per peer. */
export class ConnectPeerTransport extends PeerTransport {
  private readonly random: Random;
  private readonly links = new Map<string, PeerLink>();
  private readonly sessions = new Set<http2.ServerHttp2Session>();
  private readonly served: ServedSessions;
  private server: http2.Http2Server | http2.Http2SecureServer | undefined;
  private tls: TlsMaterialSource | undefined;
  private handler: PeerHandler = rejectRequest;

  private constructor(private readonly options: ConnectPeerTransportOptions) {
    super();
    const {clock, limits = noPeerPortLimits} = options;
    this.served = ServedSessions.create(clock, limits);
    this.random = SeededRandom.create(getHashNumber(options.daemon));
  }

  /**
   * Creates a transport; `start` loads the TLS files and makes it listen.
   * @param options - Listen address, identity and TLS files.
   */
  static create(options: ConnectPeerTransportOptions): ConnectPeerTransport {
    return new ConnectPeerTransport(options);
  }

  /** Gets the listen address; with port 0, the bound port once started. */
  getAddress(): PeerAddress {
    const {daemon, host, tls} = this.options;
    const bound = this.server?.address() as AddressInfo | null | undefined;
    const port = bound?.port ?? this.options.port;
    const scheme = tls === undefined ? 'http' : 'https';
    return {daemon, address: `${scheme}://${host}:${port}`};
  }

  override exchange(
    peer: PeerAddress,
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody> {
    return this.getLink(peer).exchange(request, options);
  }

  override setHandler(handler: PeerHandler): void {
    this.handler = handler;
  }

  override async start(): Promise<void> {
    await this.loadTls();
    const server = this.createServer();
    this.server = server;
    this.served.attach(server);
    server.on('session', (session) => this.addSession(session));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port, this.options.host, resolve);
    });
  }

  override async stop(): Promise<void> {
    this.tls?.stop();
    for (const link of this.links.values()) link.close();
    this.links.clear();
    const {server} = this;
    if (server === undefined) return;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    for (const session of this.sessions) session.destroy();
    this.served.close();
    await closed;
  }

  private getLink(peer: PeerAddress): PeerLink {
    const key = `${peer.daemon} ${peer.address}`;
    const known = this.links.get(key);
    if (known !== undefined) return known;
    const link = PeerLink.create({
      sender: this.options.daemon,
      peer,
      clock: this.options.clock,
      random: this.random,
      getTls: () => this.tls?.getCurrent(),
    });
    this.links.set(key, link);
    return link;
  }

  private async loadTls(): Promise<void> {
    const {tls, clock} = this.options;
    if (tls === undefined) return;
    this.tls = await TlsMaterialSource.create(tls, clock);
    this.tls.start((material) => {
      if (this.server !== undefined && 'setSecureContext' in this.server) {
        this.server.setSecureContext(material);
      }
    });
  }

  private createServer(): http2.Http2Server | http2.Http2SecureServer {
    const adapter = connectNodeAdapter({
      routes: (router) =>
        router.service(PeerService, {
          exchange: (frames, {values}) =>
            this.serve(frames, values.get(counterKey)),
        }),
      contextValues: (request) =>
        createContextValues().set(counterKey, this.served.track(request)),
      readMaxBytes: maxMessageBytes,
      acceptCompression: [],
    });
    const material = this.tls?.getCurrent();
    const settings = {maxConcurrentStreams};
    if (material === undefined) return http2.createServer({settings}, adapter);
    const clientVerification = {requestCert: true, rejectUnauthorized: true};
    return http2.createSecureServer(
      {...material, ...clientVerification, settings},
      adapter,
    );
  }

  private serve(
    frames: AsyncIterable<PeerFrame>,
    counter: ExchangeCounter,
  ): AsyncIterable<PeerFrame> {
    const handler: PeerHandler = (sender, request, signal) =>
      this.handler(sender, request, signal);
    return ServedStream.create(handler, counter).serve(frames);
  }

  private addSession(session: http2.ServerHttp2Session): void {
    this.sessions.add(session);
    session.once('close', () => this.sessions.delete(session));
  }
}

async function* rejectRequest(): AsyncIterable<PeerReplyBody> {
  throw MarigoldpostError.create(
    'draining',
    'daemon does not accept peer requests yet',
  );
}
