/** Stand-in of a sound runner: a model server or a plain service. */
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

/** Serves every path; what it runs is passed to `onRun`. */
export class Runner {
  /** Number of events of a stream, and the pause before each. */
  events = 12;
  gapMs = 20;
  /** Time to the first event; `gapMs` if it is not set. */
  firstMs = undefined;
  /** Time that a plain request takes. */
  workMs = 15;
  active = 0;
  /** Number of runs by path. */
  activeByPath = new Map();
  /** Whether a run crashes the runner, some time after it has begun. */
  crashes = () => false;
  crashAfterMs = 30;
  /** Called when the runner has crashed. */
  onCrash = () => undefined;
  isDown = false;
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => request.destroy());
  });

  constructor({id, service, zone, slots, isModel, onRun}) {
    Object.assign(this, {id, service, zone, slots, isModel, onRun});
    this.born = Date.now();
  }

  async start(host, store) {
    this.#server.keepAliveTimeout = 30_000;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    this.register(store);
  }

  register(store, state = 'ready') {
    store.put('servers', this.id, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: '1',
      Slots: this.slots,
      State: state,
      ColdLeftMs: 0,
      Seq: 1,
      born: this.born,
    });
  }

  close() {
    this.isDown = true;
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString('latin1');
    const id = request.headers['x-request-id'];
    if (id === undefined) {
      response.writeHead(400, {'X-Not-Executed': '1'}).end();
      return;
    }
    const headers = {'X-Request-Id': id, 'X-Server-Signature': `s.${id}`};
    const wanted = request.headers['x-expect-instance'];
    if (wanted !== undefined && wanted !== this.id) {
      response.writeHead(421, {'X-Request-Id': id, 'X-Not-Executed': '1'});
      response.end();
      return;
    }
    if (this.active >= this.slots) {
      response.writeHead(503, {'X-Request-Id': id, 'X-Not-Executed': '1'});
      response.end();
      return;
    }
    this.active += 1;
    this.#countRun(request.url, 1);
    response.once('close', () => {
      this.active -= 1;
      this.#countRun(request.url, -1);
    });
    const run = {id, runner: this.id, path: request.url, body};
    this.onRun({...run, headers: request.headers});
    if (this.crashes(run)) {
      await pause(this.crashAfterMs);
      if (this.isDown) return;
      this.close();
      this.onCrash(run);
      return;
    }
    if (this.isModel) await this.#stream(run, response, headers);
    else {
      await pause(this.workMs);
      if (response.destroyed) return;
      const text = `done ${id}`;
      response.writeHead(200, {...headers, 'Content-Length': text.length});
      response.end(text);
    }
  }

  #countRun(path, change) {
    const count = (this.activeByPath.get(path) ?? 0) + change;
    this.activeByPath.set(path, count);
  }

  async #stream({id}, response, headers) {
    await pause(this.firstMs ?? this.gapMs);
    if (response.destroyed) return;
    response.writeHead(200, {
      ...headers,
      'Content-Type': 'text/event-stream',
      'X-Weight-Versions': '1',
    });
    for (let event = 1; event <= this.events; event++) {
      if (event > 1) await pause(this.gapMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${id}-${event}\n\n`);
    }
    response.end();
  }
}
