/** Small stand-in of the platform's store, by PROTOCOL.md. */
import http from 'node:http';

/** Objects by kind and name, with one revision counter and a history. */
export class Store {
  constructor() {
    this.kinds = new Map();
    this.revision = 10;
    this.events = [];
    this.waiting = new Set();
    this.servers = [];
  }

  /**
   * Listens on a further address.
   * @param host - Loopback address.
   * @param translate - Changes the text of answers: the view of one zone, in
   *   which machines of other zones stand behind proxies.
   */
  async listen(host, translate = (text) => text) {
    const server = http.createServer((request, response) => {
      this.handle(request, response, translate).catch(() =>
        request.socket.destroy(),
      );
    });
    await new Promise((resolve) => server.listen(0, host, resolve));
    this.servers.push(server);
    return `${host}:${server.address().port}`;
  }

  close() {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
    for (const wake of [...this.waiting]) wake();
  }

  kind(name) {
    if (!this.kinds.has(name)) this.kinds.set(name, new Map());
    return this.kinds.get(name);
  }

  get(kind, name) {
    return this.kind(kind).get(name);
  }

  put(kind, name, spec, status) {
    const known = this.kind(kind).get(name);
    const wanted = status === undefined ? (known?.Status ?? null) : status;
    if (
      known !== undefined &&
      JSON.stringify([known.Spec, known.Status]) ===
        JSON.stringify([spec, wanted])
    ) {
      return known;
    }
    this.revision += 1;
    const object = {
      Metadata: {
        Name: name,
        Revision: this.revision,
        Created: known?.Metadata.Created ?? this.revision,
        Finalizers: [],
        Deleting: false,
      },
      Spec: spec,
      Status: wanted,
    };
    this.kind(kind).set(name, object);
    this.record(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const known = this.kind(kind).get(name);
    if (known === undefined) return false;
    this.kind(kind).delete(name);
    this.revision += 1;
    const Metadata = {...known.Metadata, Revision: this.revision};
    this.record(kind, {...known, Metadata}, true);
    return true;
  }

  record(kind, object, isRemoved) {
    const revision = this.revision;
    this.events.push({kind, revision, Removed: isRemoved, Object: object});
    for (const wake of [...this.waiting]) wake();
  }

  async handle(request, response, translate) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    const [, , kind, rawName, part] = url.pathname.split('/');
    const name =
      rawName === undefined ? undefined : decodeURIComponent(rawName);
    const reply = await this.answer(
      request.method,
      url,
      kind,
      name,
      part,
      body,
    );
    response.writeHead(reply.status, {'Content-Type': 'application/json'});
    response.end(translate(JSON.stringify(reply.body)));
  }

  async answer(method, url, kind, name, part, body) {
    const query = url.searchParams;
    const known = name === undefined ? undefined : this.get(kind, name);
    if (method === 'GET' && name === undefined) {
      return query.has('Watch')
        ? this.watch(kind, query)
        : this.list(kind, query);
    }
    if (method === 'POST') {
      const own = body.Metadata.Name;
      const existing = this.get(kind, own);
      if (existing !== undefined) return {status: 409, body: existing};
      return {status: 200, body: this.put(kind, own, body.Spec)};
    }
    if (known === undefined) return {status: 404, body: {}};
    if (method === 'GET') return {status: 200, body: known};
    const wanted = body.Metadata?.Revision ?? query.get('Revision');
    if (wanted != null && Number(wanted) !== known.Metadata.Revision) {
      return {status: 409, body: known};
    }
    if (method === 'DELETE') {
      this.remove(kind, name);
      return {status: 200, body: known};
    }
    if (method !== 'PUT') return {status: 405, body: {}};
    const changed =
      part === 'status'
        ? this.put(kind, name, known.Spec, body.Status)
        : this.put(kind, name, body.Spec);
    return {status: 200, body: changed};
  }

  list(kind, query) {
    const after = query.get('after') ?? '';
    const items = [...this.kind(kind).keys()]
      .filter((name) => name > after)
      .sort()
      .map((name) => this.get(kind, name));
    const body = {items, More: false, StoreRevision: this.revision};
    return {status: 200, body};
  }

  async watch(kind, query) {
    const since = Number(query.get('Watch'));
    const endMs =
      Date.now() + Math.min(30_000, Number(query.get('WaitMs') ?? 0));
    const find = () =>
      this.events.filter(
        (event) => event.kind === kind && event.revision > since,
      );
    while (find().length === 0 && Date.now() < endMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endMs - Date.now());
        this.waiting.add(wake);
      });
    }
    const events = find().map(({Removed, Object: object}) => ({
      Removed,
      Object: object,
    }));
    return {status: 200, body: {events, StoreRevision: this.revision}};
  }
}
