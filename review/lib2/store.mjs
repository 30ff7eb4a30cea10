/** Stand-in of the platform's object store, as PROTOCOL.md describes it. */
import http from 'node:http';

const pageItems = 500;
const pageBytes = 1_000_000;
const maxWaitMs = 30_000;

/** In-memory store; faults are set through `delayMs` and `intercept`. */
export class Store {
  /** Time before each call is carried out. */
  delayMs = 4;
  /** Whether a call is turned away with 503, by the label of its listener. */
  isBusy = () => false;
  /** Changes a reply, by the label of its listener. */
  rewrite = (_label, reply) => reply;
  /** Calls as `<method> <url>`, for the record. */
  calls = 0;
  #kinds = new Map();
  #events = [];
  #waiting = new Set();
  #revision = 1;
  #servers = new Map();

  /** Listens on a further port, whose callers have a label. */
  async listen(host, label = 'all') {
    const server = http.createServer((request, response) => {
      this.#handle(label, request, response).catch(() => request.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, host, resolve);
    });
    this.#servers.set(label, server);
    return `${host}:${server.address().port}`;
  }

  /** Resets all connections of the callers with a label. */
  reset(label) {
    this.#servers.get(label).closeAllConnections();
  }

  close() {
    for (const server of this.#servers.values()) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Creates or replaces an object as the operator or a runner does. */
  put(kind, name, spec) {
    const objects = this.#objects(kind);
    const known = objects.get(name);
    this.#revision += 1;
    const object = {
      Metadata: {
        Name: name,
        Revision: this.#revision,
        Created: known?.Metadata.Created ?? Date.now(),
        Finalizers: known?.Metadata.Finalizers ?? [],
        Deleting: false,
      },
      Spec: spec,
      Status: known?.Status ?? null,
    };
    objects.set(name, object);
    this.#publish(kind, object, false);
    return this.#revision;
  }

  remove(kind, name) {
    const objects = this.#objects(kind);
    const known = objects.get(name);
    if (known === undefined) return;
    objects.delete(name);
    this.#revision += 1;
    this.#publish(kind, known, true);
  }

  get(kind, name) {
    return this.#objects(kind).get(name);
  }

  names(kind) {
    return [...this.#objects(kind).keys()];
  }

  #objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #publish(kind, object, removed) {
    const copy = structuredClone(object);
    this.#events.push({
      kind,
      revision: this.#revision,
      event: {Object: copy, Removed: removed},
    });
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(label, request, response) {
    this.calls += 1;
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', rawName, part] = url.pathname.split('/');
    const name =
      rawName === undefined ? undefined : decodeURIComponent(rawName);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    if (this.isBusy(label)) {
      response.writeHead(503).end();
      return;
    }
    const {method} = request;
    const call = {method, kind, name, part, body, url};
    const [status, reply] = await this.#answer(call, request);
    if (response.destroyed) return;
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(this.rewrite(label, structuredClone(reply))));
  }

  async #answer({method, kind, name, part, body, url}, request) {
    const query = url.searchParams;
    const objects = this.#objects(kind);
    const known = name === undefined ? undefined : objects.get(name);
    const expected = Number(
      query.get('Revision') ?? body.Metadata?.Revision ?? NaN,
    );
    const conflicts =
      known !== undefined &&
      !Number.isNaN(expected) &&
      expected !== known.Metadata.Revision;
    if (method === 'GET' && name !== undefined) {
      return known === undefined ? [404, {}] : [200, known];
    }
    if (method === 'GET') {
      return query.has('Watch')
        ? this.#watch(kind, query, request)
        : [200, this.#list(objects, query.get('after') ?? '')];
    }
    if (method === 'POST') {
      const created = body.Metadata?.Name ?? '';
      if (objects.has(created)) return [409, objects.get(created)];
      this.put(kind, created, body.Spec);
      return [200, objects.get(created)];
    }
    if (known === undefined) return [404, {}];
    if (conflicts) return [409, known];
    if (method === 'DELETE') {
      this.remove(kind, name);
      return [200, {}];
    }
    const next = part === 'status' ? {Status: body.Status} : {Spec: body.Spec};
    const isSame = Object.entries(next).every(
      ([key, value]) => JSON.stringify(known[key]) === JSON.stringify(value),
    );
    if (!isSame) {
      Object.assign(known, next);
      this.put(kind, name, known.Spec);
    }
    return [200, objects.get(name)];
  }

  #list(objects, after) {
    const names = [...objects.keys()].sort().filter((name) => name > after);
    const items = [];
    let bytes = 0;
    for (const name of names) {
      if (items.length >= pageItems || bytes >= pageBytes) break;
      items.push(objects.get(name));
      bytes += JSON.stringify(objects.get(name)).length;
    }
    const more = items.length < names.length;
    return {items, More: more, StoreRevision: this.#revision};
  }

  async #watch(kind, query, request) {
    const since = Number(query.get('Watch'));
    const waitMs = Math.min(maxWaitMs, Number(query.get('WaitMs') ?? 0));
    const find = () =>
      this.#events.filter(
        (entry) => entry.kind === kind && entry.revision > since,
      );
    const endMs = performance.now() + waitMs;
    while (find().length === 0 && performance.now() < endMs) {
      if (request.socket.destroyed) break;
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - performance.now()));
        this.#waiting.add(wake);
      });
    }
    const events = find().map(({event}) => event);
    return [200, {events, StoreRevision: this.#revision}];
  }
}
