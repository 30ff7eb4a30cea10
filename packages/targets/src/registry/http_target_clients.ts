/** Factory of target clients over HTTP. */
import {connect} from 'node:net';
import {HttpEngineClient} from '../engine/http_engine_client.js';
import {HttpPlainServiceClient} from '../plain/http_plain_service_client.js';
import {
  type EngineTargetClient,
  type PlainTargetClient,
  type Reachability,
  TargetClientFactory,
  type TargetEndpoint,
} from './target_clients.js';

const connectTimeoutMs = 1000;

/** Creates HTTP clients; connections open on demand. */
export class HttpTargetClientFactory extends TargetClientFactory {
  /** Creates a factory; it holds no state. */
  static create(): HttpTargetClientFactory {
    return new HttpTargetClientFactory();
  }

  override createEngine(endpoint: TargetEndpoint): EngineTargetClient {
    const engine = HttpEngineClient.create(endpoint);
    return {
      kind: 'engine',
      engine,
      getReachability: () => probeReachability(endpoint),
      close: () => engine.close(),
      destroy: () => engine.destroy(),
    };
  }

  override createPlain(endpoint: TargetEndpoint): PlainTargetClient {
    const plain = HttpPlainServiceClient.create(endpoint);
    return {
      kind: 'plain',
      plain,
      getReachability: () => probeReachability(endpoint),
      close: () => plain.close(),
      destroy: () => plain.destroy(),
    };
  }
}

function probeReachability(endpoint: TargetEndpoint): Promise<Reachability> {
  const {hostname, port} = new URL(endpoint.address);
  return new Promise((resolve) => {
    const socket = connect({host: hostname, port: Number(port)});
    const finish = (reachability: Reachability) => {
      timer.cancel();
      socket.destroy();
      resolve(reachability);
    };
    const timer = endpoint.clock.setTimer(connectTimeoutMs, () =>
      finish('silent'),
    );
    socket.once('connect', () => finish('reachable'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
