/**
 * Requests with exactly one reply between daemons, over plain TCP connections.
 * They use about a fifth of the CPU time of a Connect stream, which the small
 * VMs of a site cannot provide (docs/design/platform.md).
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {type Clock, type DaemonId, toId} from '@marigoldpost/common';
import {
  PeerEndSchema,
  type PeerFrame,
  PeerReplySchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {toPeerError} from '../transport/peer_error_codec.js';
import type {
  PeerAddress,
  PeerReplyBody,
  PeerRequestBody,
} from '../transport/peer_transport.js';
import {MessageFramer} from './message_framer.js';
import {type ConnectPeer, MessageLink} from './message_link.js';
import {type PeerPortLimits, ServedConnections} from './served_connections.js';

/** Answers a peer's request; a thrown error is sent to the requester. */
export type MessageHandler = (
  sender: DaemonId,
  request: PeerRequestBody,
) => Promise<PeerReplyBody>;

/** Sends requests that have exactly one reply. */
export abstract class PeerRequester {
  /**
   * Sends a request and waits for the reply. Throws `peer_lost` if no reply
   * arrives before the timeout.
   * @param peer - Daemon that handles the request.
   * @param request - Request to send.
   * @param timeoutMs - Maximum wait for the reply.
   */
  abstract ask(
    peer: PeerAddress,
    request: PeerRequestBody,
    timeoutMs: number,
  ): Promise<PeerReplyBody>;
}

/** Listen address and identity of a message transport. */
export interface MessageTransportOptions {
  readonly daemon: DaemonId;
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port: number;
  readonly clock: Clock;
  /** Opens connections to peers; by default over TCP. */
  readonly connect?: ConnectPeer;
  /** Limits on the connections of peers; none if omitted. */
  readonly limits?: PeerPortLimits;
}

/** Limits without effect. */
const noLimits: PeerPortLimits = {
  connections: {
    maxConnections: Infinity,
    maxPipelined: Infinity,
    maxPending: Infinity,
  },
  maxHeldBytes: Infinity,
  endLog: undefined,
};

/** Serves requests of peers and sends requests over one link for each peer. */
export class MessageTransport extends PeerRequester {
  private readonly links = new Map<string, MessageLink>();
  private readonly served: ServedConnections;
  private server: Server | undefined;

  private constructor(private readonly options: MessageTransportOptions) {
    super();
    const {clock, limits = noLimits} = options;
    this.served = ServedConnections.create(clock, limits);
  }

  /**
   * Creates a transport that can send; `start` makes it listen.
   * @param options - Listen address and identity.
   */
  static create(options: MessageTransportOptions): MessageTransport {
    return new MessageTransport(options);
  }

  /** Gets the listen address; with port 0, the bound port once started. */
  getAddress(): PeerAddress {
    const {daemon, host, port} = this.options;
    const bound = this.server?.address();
    const boundPort = typeof bound === 'object' ? bound?.port : undefined;
    return {daemon, address: `http://${host}:${boundPort ?? port}`};
  }

  override ask(
    peer: PeerAddress,
    request: PeerRequestBody,
    timeoutMs: number,
  ): Promise<PeerReplyBody> {
    const key = `${peer.daemon} ${peer.address}`;
    let link = this.links.get(key);
    if (link === undefined) {
      const {daemon: sender, clock, connect: connectPeer} = this.options;
      link = MessageLink.create({
        sender,
        peer,
        clock,
        connect: connectPeer ?? connect,
      });
      this.links.set(key, link);
    }
    return link.ask(request, timeoutMs);
  }

  /**
   * Starts listening.
   * @param handler - Answers the requests of peers.
   */
  start(handler: MessageHandler): Promise<void> {
    const server = createServer((socket) => this.serve(socket, handler));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port, this.options.host, resolve);
    });
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    for (const link of this.links.values()) link.close();
    this.links.clear();
    this.server?.close();
    this.served.close();
  }

  private serve(socket: Socket, handler: MessageHandler): void {
    // The requester detects a broken connection itself.
    socket.on('error', () => undefined);
    if (!this.served.add(socket)) return;
    const updateHeldBytes = () => {
      this.served.setHeldBytes(socket, {
        arrivingBytes: framer.announcedBytes,
        unsentBytes: socket.writableLength,
      });
    };
    const handleFrame = (frame: PeerFrame) => {
      if (frame.body.case !== 'request') return;
      if (!this.served.addRequest(socket)) return;
      this.served.beginRequest(socket, frame.body.value.body, (onEnded) => {
        void this.answer(framer, frame, handler).finally(() => {
          updateHeldBytes();
          onEnded();
        });
      });
    };
    const framer = MessageFramer.attach(socket, handleFrame, updateHeldBytes);
    socket.on('data', updateHeldBytes);
  }

  private async answer(
    framer: MessageFramer,
    {exchange, body}: PeerFrame,
    handler: MessageHandler,
  ): Promise<void> {
    if (body.case !== 'request') return;
    const {sender, body: request} = body.value;
    try {
      const reply = await handler(toId<DaemonId>(sender), request);
      const value = create(PeerReplySchema, {body: reply});
      // Throws for a reply that is too large, which the requester is told.
      framer.send(exchange, {case: 'reply', value});
    } catch (error) {
      const value = create(PeerEndSchema, {error: toPeerError(error)});
      framer.send(exchange, {case: 'end', value});
    }
  }
}
