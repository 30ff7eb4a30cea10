/** In-memory network between daemons, with switches for faults. */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  Deferred,
  MarigoldpostError,
} from '@marigoldpost/common';
import {
  createRefusedError,
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

/** Time until both ends of a cut stream notice, in milliseconds. */
const lossDetectionMs = 5000;

/** What the network needs. */
export interface MemoryPeerNetworkOptions {
  readonly clock: Clock;
  /** One-way delay of each message, in milliseconds; 0 by default. */
  readonly delayMs?: number;
}

/** State of one daemon's connection to the network. */
interface Port {
  handler: PeerHandler | undefined;
  isDown: boolean;
  resumed: Deferred<void> | undefined;
}

/** Network on the clock passed in. */
export class MemoryPeerNetwork {
  private readonly ports = new Map<DaemonId, Port>();
  private readonly cuts = new Set<string>();
  private readonly exchanges = new Set<MemoryExchange>();

  private constructor(private readonly options: MemoryPeerNetworkOptions) {}

  /**
   * Creates a network without faults.
   * @param options - Its clock and delay.
   */
  static create(options: MemoryPeerNetworkOptions): MemoryPeerNetwork {
    return new MemoryPeerNetwork(options);
  }

  /**
   * Creates a daemon's transport; a restarted daemon gets a new one.
   * @param daemon - The daemon.
   * @param clock - The daemon's own clock, for its timeouts.
   */
  createTransport(
    daemon: DaemonId,
    clock: Clock = this.options.clock,
  ): PeerTransport {
    return new MemoryPeerTransport(this, daemon, clock);
  }

  /**
   * Drops everything between two daemons, or ends that.
   * @param left - One daemon.
   * @param right - The other.
   * @param isCut - Whether messages are dropped.
   */
  setCut(left: DaemonId, right: DaemonId, isCut: boolean): void {
    if (!isCut) {
      this.cuts.delete(getPair(left, right));
      return;
    }
    this.cuts.add(getPair(left, right));
    const broken = [...this.exchanges].filter((exchange) =>
      exchange.joins(left, right),
    );
    this.options.clock.setTimer(lossDetectionMs, () => {
      for (const exchange of broken) exchange.breakOff();
    });
  }

  /**
   * Holds back every message to and from a daemon, or lets them go on.
   * @param daemon - The daemon.
   * @param isPaused - Whether messages are held back.
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
   * Refuses connections to a daemon and breaks its streams, or ends that.
   * @param daemon - The daemon.
   * @param isDown - Whether its process is gone.
   */
  setDown(daemon: DaemonId, isDown: boolean): void {
    this.getPort(daemon).isDown = isDown;
    if (!isDown) return;
    for (const exchange of [...this.exchanges]) {
      if (exchange.involves(daemon)) exchange.breakOff();
    }
  }

  /** Sets what answers a daemon's requests; used by its transport. */
  setHandler(daemon: DaemonId, handler: PeerHandler | undefined): void {
    this.getPort(daemon).handler = handler;
  }

  /** Runs one exchange; used by the transports. */
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
    const timer = clock.setTimer(options.timeoutMs, () => exchange.timeOut());
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
    const cause = isRefused ? createRefusedError(address) : undefined;
    const message = `peer "${daemon}" at ${address} is not reachable`;
    throw MarigoldpostError.create('peer_unavailable', message, {cause});
  }

  private async deliver(
    exchange: MemoryExchange,
    body: PeerRequestBody,
  ): Promise<void> {
    const {sender, peer} = exchange;
    if (this.isCut(sender, peer)) return;
    exchange.isHandedOver = true;
    if (!(await this.pass(sender, peer))) return;
    await this.answer(exchange, body);
  }

  private async answer(
    exchange: MemoryExchange,
    body: PeerRequestBody,
  ): Promise<void> {
    const {sender, peer, signal} = exchange;
    try {
      const {handler = refuse} = this.getPort(peer);
      for await (const reply of handler(sender, body, signal)) {
        if (!(await exchange.takeCredit())) return;
        if (!(await this.pass(peer, sender))) return;
        exchange.addReply(copyReply(reply));
      }
      if (await this.pass(peer, sender)) exchange.end();
    } catch (error) {
      if (await this.pass(peer, sender)) exchange.fail(error);
    }
  }

  /** Moves one message; false when it is lost. */
  private async pass(from: DaemonId, to: DaemonId): Promise<boolean> {
    const {clock, delayMs = 0} = this.options;
    await this.getPort(from).resumed?.promise;
    if (delayMs > 0) await clock.sleep(delayMs);
    await this.getPort(to).resumed?.promise;
    const isDown = this.getPort(from).isDown || this.getPort(to).isDown;
    return !isDown && !this.isCut(from, to);
  }

  private isCut(left: DaemonId, right: DaemonId): boolean {
    return this.cuts.has(getPair(left, right));
  }

  private getPort(daemon: DaemonId): Port {
    const known = this.ports.get(daemon);
    if (known !== undefined) return known;
    const port = {handler: undefined, isDown: false, resumed: undefined};
    this.ports.set(daemon, port);
    return port;
  }
}

/** One daemon's transport. */
class MemoryPeerTransport extends PeerTransport {
  private handler: PeerHandler = refuse;

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

function refuse(): never {
  throw MarigoldpostError.create('draining', 'daemon takes no requests yet');
}

function getPair(left: DaemonId, right: DaemonId): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`;
}

/** Copies through the wire format, so that daemons share no objects. */
function copyRequest(sender: DaemonId, body: PeerRequestBody): PeerRequestBody {
  const message = create(PeerRequestSchema, {sender, body});
  const bytes = toBinary(PeerRequestSchema, message);
  return fromBinary(PeerRequestSchema, bytes).body;
}

function copyReply(body: PeerReplyBody): PeerReplyBody {
  const bytes = toBinary(PeerReplySchema, create(PeerReplySchema, {body}));
  return fromBinary(PeerReplySchema, bytes).body;
}
