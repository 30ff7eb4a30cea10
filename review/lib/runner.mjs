/** Small stand-ins of model runners and plain services, by PROTOCOL.md. */
import http from 'node:http';

const heartbeatMs = 1200;
const keepAliveS = 10;

/** A sound runner: rejects what is not meant for it, runs the rest once. */
export class Runner {
  /**
   * @param options - `id`, `service`, `zone`, `host`, `events` of a stream (0
   *   for plain bodies), `pauseMs` between two events, and `onRun`.
   */
  constructor(options) {
    this.options = options;
    this.born = Date.now();
    this.seq = 0;
    this.isGone = false;
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => request.socket.destroy());
    });
    this.server.keepAliveTimeout = keepAliveS * 1000 + 500;
  }

  async start(store) {
    this.store = store;
    const {host} = this.options;
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), heartbeatMs);
  }

  beat() {
    this.seq += 1;
    const {id, service, zone, slots = 16} = this.options;
    this.store.put('servers', id, {
      Service: service,
      Address: this.address,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: this.seq,
      born: this.born,
    });
  }

  close() {
    this.isGone = true;
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const {id, onRun} = this.options;
    const {headers} = request;
    const requestId = headers['x-request-id'];
    if (request.url === '/health') {
      response.writeHead(200, {'X-Instance-Id': id});
      response.end();
      return;
    }
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {'X-Instance-Id': id});
      response.end();
      return;
    }
    if (requestId === undefined) {
      response.writeHead(400, {'X-Not-Executed': '1'});
      response.end();
      return;
    }
    const run = {id: requestId, runner: id, atMs: Date.now(), body, headers};
    run.path = request.url;
    onRun(run);
    await this.respond(run, request, response);
  }

  async respond(run, request, response) {
    const {events = 0, pauseMs = 30, id, workMs = 30} = this.options;
    const headers = {
      'X-Request-Id': run.id,
      'X-Server-Signature': `sig.${id}.${run.id}`,
      'Keep-Alive': `timeout=${keepAliveS}`,
    };
    if (events === 0) {
      await sleep(workMs);
      const body = `body of ${run.id} by ${id}\n`;
      response.writeHead(200, {...headers, 'Content-Length': body.length});
      response.end(body);
      return;
    }
    await sleep(workMs);
    const isUnframed = this.options.unframed === true;
    if (isUnframed) {
      // Without a length or chunks: it ends with its connection.
      response.useChunkedEncodingByDefault = false;
      delete headers['Keep-Alive'];
      headers.Connection = 'close';
    }
    response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
    for (let event = 1; event <= events; event += 1) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${run.id}-${event}\n\n`);
      await sleep(pauseMs);
    }
    response.end();
  }
}

/** Waits. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
