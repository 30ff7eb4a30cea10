/** Factory of clients for in-memory targets. */
import {MarigoldpostError, type TargetId} from '@marigoldpost/common';
import {
  type EngineTargetClient,
  type PlainTargetClient,
  type Reachability,
  TargetClientFactory,
  type TargetEndpoint,
} from '@marigoldpost/targets';
import type {MemoryEngine} from './memory_engine.js';
import type {MemoryPlainService} from './memory_plain_service.js';

/** Creates clients of in-memory targets, which it finds by id. */
export class MemoryTargetClientFactory extends TargetClientFactory {
  private readonly engines = new Map<TargetId, MemoryEngine>();
  private readonly services = new Map<TargetId, MemoryPlainService>();

  /** Creates a factory without targets. */
  static create(): MemoryTargetClientFactory {
    return new MemoryTargetClientFactory();
  }

  /**
   * Adds an engine that clients can be created for.
   * @param target - Id of the engine.
   * @param engine - Engine that is its own client.
   */
  addEngine(target: TargetId, engine: MemoryEngine): void {
    this.engines.set(target, engine);
  }

  /**
   * Adds an instance of a plain service that clients can be created for.
   * @param target - Id of the instance.
   * @param service - Instance that is its own client.
   */
  addPlainService(target: TargetId, service: MemoryPlainService): void {
    this.services.set(target, service);
  }

  override createEngine({target}: TargetEndpoint): EngineTargetClient {
    const engine = getOrThrow(this.engines, target);
    return {
      kind: 'engine',
      engine,
      getReachability: () => getReachability(engine),
      close: () => Promise.resolve(),
      destroy: () => Promise.resolve(),
    };
  }

  override createPlain({target}: TargetEndpoint): PlainTargetClient {
    const plain = getOrThrow(this.services, target);
    return {
      kind: 'plain',
      plain,
      getReachability: () => getReachability(plain),
      close: () => Promise.resolve(),
      destroy: () => Promise.resolve(),
    };
  }
}

function getReachability({isAlive}: {isAlive: boolean}): Promise<Reachability> {
  return Promise.resolve(isAlive ? 'reachable' : 'refused');
}

function getOrThrow<Value>(
  targets: ReadonlyMap<TargetId, Value>,
  target: TargetId,
): Value {
  const found = targets.get(target);
  if (found !== undefined) return found;
  const message = `no in-memory target "${target}"`;
  throw MarigoldpostError.create('no_target', message);
}
