/** In-memory network between daemons with fault injection. */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  Deferred,
  MarigoldpostError,
} from '@marigoldpost/common';
import {
  createConnectionRefusedError,
  type PeerAddress,
  type PeerExchangeOptions,
  type PeerHandler,
  type PeerReplyBody,
  PeerReplySchema,
  type PeerRequestBody,
  PeerRequestSchema,
  PeerTransport,
} from '@marigoldpost/peers';
import {MemoryExchange} from './memory_exchange.js';

/** Time until both ends detect that a stream is lost, in milliseconds. */
const lossDetectionMs = 5000;

/** Clock and message delay of a network. */
export interface MemoryPeerNetworkOptions {
  readonly clock: Clock;
  /** One-way delay of each message, in milliseconds; default: 0. */
  readonly delayMs?: number;
}

/** State of one daemon on the network. */
interface Port {
  handler: PeerHandler | undefined;
  isDown: boolean;
  resumed: Deferred<void> | undefined;
}

/** Simulated network between the transports that it creates. */
export class MemoryPeerNetwork {
  private readonly ports = new Map<DaemonId, Port>();
  private readonly cuts = new Set<string>();
  private readonly exchanges = new Set<MemoryExchange>();

  private constructor(private readonly options: MemoryPeerNetworkOptions) {}

  /**
   * Creates a network without faults.
   * @param options - Clock and message delay.
   */
  static create(options: MemoryPeerNetworkOptions): MemoryPeerNetwork {
    return new MemoryPeerNetwork(options);
  }

  /**
   * Creates a daemon's transport; a restarted daemon needs a new one.
   * @param daemon - Daemon that sends and serves requests.
   * @param clock - Clock of the daemon's timeouts; default: the network's
   *     clock.
   */
  createTransport(
    daemon: DaemonId,
    clock: Clock = this.options.clock,
  ): PeerTransport {
    return new MemoryPeerTransport(this, daemon, clock);
  }

  /**
   * Cuts or restores the connection between two daemons. Exchanges in flight
   * fail 5000 ms after the cut.
   * @param left - One of the daemons.
   * @param right - Other daemon.
   * @param isCut - Whether messages between them are dropped.
   */
  setCut(left: DaemonId, right: DaemonId, isCut: boolean): void {
    if (!isCut) {
      this.cuts.delete(getPairKey(left, right));
      return;
    }
    this.cuts.add(getPairKey(left, right));
    const broken = [...this.exchanges].filter((exchange) =>
      exchange.isBetween(left, right),
    );
    this.options.clock.setTimer(lossDetectionMs, () => {
      for (const exchange of broken) exchange.failAsLost();
    });
  }

  /**
   * Delays all messages to and from a daemon, or delivers them again.
   * @param daemon - Daemon whose process is paused.
   * @param isPaused - Whether messages are delayed.
   */
  setPaused(daemon: DaemonId, isPaused: boolean): void {
    const port = this.getPort(daemon);
    if (isPaused) {
      port.resumed ??= Deferred.create<void>();
      return;
    }
    port.resumed?.resolve();
    port.resumed = undefined;
  }

  /**
   * Takes a daemon off the network or puts it back. While it is down, it cannot
   * be reached and its exchanges in flight fail.
   * @param daemon - Daemon whose process has ended or started.
   * @param isDown - Whether connections to the daemon are refused.
   */
  setDown(daemon: DaemonId, isDown: boolean): void {
    this.getPort(daemon).isDown = isDown;
    if (!isDown) return;
    for (const exchange of [...this.exchanges]) {
      if (exchange.involves(daemon)) exchange.failAsLost();
    }
  }

  /** Sets the handler of requests to a daemon; for its transport only. */
  setHandler(daemon: DaemonId, handler: PeerHandler | undefined): void {
    this.getPort(daemon).handler = handler;
  }

  /** Runs one exchange; for the transports only. */
  async *exchange(
    sender: DaemonId,
    clock: Clock,
    peer: PeerAddress,
    body: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody> {
    this.checkReachable(sender, peer);
    const exchange = MemoryExchange.create(sender, peer.daemon);
    this.exchanges.add(exchange);
    const timer = clock.setTimer(options.timeoutMs, () =>
      exchange.failAsTimedOut(),
    );
    const onAbort = () => exchange.cancel();
    if (options.signal?.aborted) onAbort();
    options.signal?.addEventListener('abort', onAbort, {once: true});
    void this.deliver(exchange, copyRequest(sender, body));
    try {
      for await (const reply of exchange.read()) {
        timer.cancel();
        yield reply;
      }
    } finally {
      timer.cancel();
      options.signal?.removeEventListener('abort', onAbort);
      this.exchanges.delete(exchange);
    }
  }

  private checkReachable(sender: DaemonId, peer: PeerAddress): void {
    const {daemon, address} = peer;
    const isRefused = this.getPort(daemon).isDown;
    if (!isRefused && !this.getPort(sender).isDown) return;
    const cause = isRefused ? createConnectionRefusedError(address) : undefined;
    const message = `peer "${daemon}" at ${address} is unreachable`;
    throw MarigoldpostError.create('peer_unavailable', message, {cause});
  }

  private async deliver(
    exchange: MemoryExchange,
    body: PeerRequestBody,
  ): Promise<void> {
    const {sender, peer} = exchange;
    if (this.isCut(sender, peer)) return;
    exchange.isSent = true;
    if (!(await this.transmit(sender, peer))) return;
    await this.answer(exchange, body);
  }

  /** Runs the handler of the peer and transmits its replies. */
  private async answer(
    exchange: MemoryExchange,
    body: PeerRequestBody,
  ): Promise<void> {
    const {sender, peer, signal} = exchange;
    try {
      const {handler = rejectRequest} = this.getPort(peer);
      for await (const reply of handler(sender, body, signal)) {
        if (!(await exchange.consumeCredit())) return;
        if (!(await this.transmit(peer, sender))) return;
        exchange.addReply(copyReply(reply));
      }
      if (await this.transmit(peer, sender)) exchange.end();
    } catch (error) {
      if (await this.transmit(peer, sender)) exchange.fail(error);
    }
  }

  /** Simulates the transmission of one message; `false` if it is lost. */
  private async transmit(from: DaemonId, to: DaemonId): Promise<boolean> {
    const {clock, delayMs = 0} = this.options;
    await this.getPort(from).resumed?.promise;
    if (delayMs > 0) await clock.sleep(delayMs);
    await this.getPort(to).resumed?.promise;
    const isDown = this.getPort(from).isDown || this.getPort(to).isDown;
    return !isDown && !this.isCut(from, to);
  }

  private isCut(left: DaemonId, right: DaemonId): boolean {
    return this.cuts.has(getPairKey(left, right));
  }

  private getPort(daemon: DaemonId): Port {
    const known = this.ports.get(daemon);
    if (known !== undefined) return known;
    const port = {handler: undefined, isDown: false, resumed: undefined};
    this.ports.set(daemon, port);
    return port;
  }
}

/** Transport of one daemon on the in-memory network. */
class MemoryPeerTransport extends PeerTransport {
  private handler: PeerHandler = rejectRequest;

  constructor(
    private readonly network: MemoryPeerNetwork,
    private readonly daemon: DaemonId,
    private readonly clock: Clock,
  ) {
    super();
  }

  override exchange(
    peer: PeerAddress,
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody> {
    const {network, daemon, clock} = this;
    return network.exchange(daemon, clock, peer, request, options);
  }

  override setHandler(handler: PeerHandler): void {
    this.handler = handler;
  }

  override start(): Promise<void> {
    this.network.setHandler(this.daemon, (sender, request, signal) =>
      this.handler(sender, request, signal),
    );
    this.network.setDown(this.daemon, false);
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.network.setDown(this.daemon, true);
    return Promise.resolve();
  }
}

function rejectRequest(): never {
  throw MarigoldpostError.create(
    'draining',
    'daemon does not accept peer requests yet',
  );
}

function getPairKey(left: DaemonId, right: DaemonId): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`;
}

/** Copies a request through the wire format, so daemons share no objects. */
function copyRequest(sender: DaemonId, body: PeerRequestBody): PeerRequestBody {
  const message = create(PeerRequestSchema, {sender, body});
  const bytes = toBinary(PeerRequestSchema, message);
  return fromBinary(PeerRequestSchema, bytes).body;
}

function copyReply(body: PeerReplyBody): PeerReplyBody {
  const bytes = toBinary(PeerReplySchema, create(PeerReplySchema, {body}));
  return fromBinary(PeerReplySchema, bytes).body;
}
