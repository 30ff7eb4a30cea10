/** Forwards connections to one address until it is cut. */
import net from 'node:net';

export class Proxy {
  isCut = false;
  #sockets = new Set();
  #server;

  constructor(target) {
    this.#server = net.createServer((client) => {
      this.#track(client);
      if (this.isCut) {
        client.resetAndDestroy();
        return;
      }
      const server = net.connect(target);
      this.#track(server);
      client.pipe(server);
      server.pipe(client);
      client.once('close', () => server.destroy());
      server.once('close', () => client.destroy());
    });
  }

  async listen(host) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, host, resolve);
    });
    this.address = {host, port: this.#server.address().port};
  }

  /** Resets all connections, and new ones, until `heal`. */
  cut() {
    this.isCut = true;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  heal() {
    this.isCut = false;
  }

  close() {
    this.cut();
    this.#server.close();
  }

  #track(socket) {
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
  }
}
