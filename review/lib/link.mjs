/** Proxy on the way from the machines of one zone to a port of another. */
import net from 'node:net';
import {sleep} from './runner.mjs';

/** Bandwidth of one machine's own link, in one direction. */
export class Bandwidth {
  constructor(mbps) {
    this.bytesPerMs = (mbps * 1e6) / 8 / 1000;
    this.freeAtMs = 0;
  }

  /** Waits until the link has passed some bytes on. */
  async pass(bytes) {
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, this.freeAtMs);
    this.freeAtMs = startMs + bytes / this.bytesPerMs;
    await sleep(this.freeAtMs - nowMs);
  }
}

/** A link that can be cut: connections are then reset and refused. */
export class Link {
  constructor(address, target, zones, own) {
    this.listenAddress = address;
    this.target = target;
    this.zones = zones;
    this.own = own;
    this.sockets = new Set();
  }

  /**
   * @param address - Host and port on which the near end finds the far one;
   *   no port that the system gives to other connections.
   * @param target - Host and port.
   * @param zones - Zones of both ends.
   * @param own - Bandwidth of the near end, `toward` it and `away` from it.
   */
  static async create(address, target, zones, own) {
    const link = new Link(address, target, zones, own);
    await link.heal();
    return link;
  }

  get address() {
    return `${this.listenAddress.host}:${this.listenAddress.port}`;
  }

  async heal() {
    if (this.server !== undefined) return;
    const server = net.createServer((socket) => this.connect(socket));
    this.server = server;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({...this.listenAddress, exclusive: true}, resolve);
    });
  }

  async cut() {
    const {server} = this;
    if (server === undefined) return;
    this.server = undefined;
    const closed = new Promise((resolve) => server.close(resolve));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
  }

  connect(near) {
    const far = net.connect({...this.target, noDelay: true});
    near.setNoDelay(true);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ]) {
      this.sockets.add(socket);
      socket.on('error', () => other.resetAndDestroy());
      socket.once('close', () => {
        this.sockets.delete(socket);
        other.destroySoon();
      });
      if (this.own === undefined) socket.pipe(other);
      else this.carry(socket, other, socket === far);
    }
  }

  /** Passes bytes on at the pace of the near end's own link. */
  carry(from, to, isToward) {
    const way = isToward ? this.own.toward : this.own.away;
    from.on('data', async (chunk) => {
      from.pause();
      await way.pass(chunk.length);
      if (!to.destroyed) to.write(chunk);
      from.resume();
    });
    from.on('end', () => to.end());
  }
}
