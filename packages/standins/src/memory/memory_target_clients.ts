/** Makes clients that reach targets in memory. */
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

/** Source of clients of in-memory targets, found by their ids. */
export class MemoryTargetClientFactory extends TargetClientFactory {
  private readonly engines = new Map<TargetId, MemoryEngine>();
  private readonly services = new Map<TargetId, MemoryPlainService>();

  /** Creates a factory without targets. */
  static create(): MemoryTargetClientFactory {
    return new MemoryTargetClientFactory();
  }

  /**
   * Adds an engine.
   * @param target - Its id.
   * @param engine - The engine.
   */
  addEngine(target: TargetId, engine: MemoryEngine): void {
    this.engines.set(target, engine);
  }

  /**
   * Adds an instance of a plain service.
   * @param target - Its id.
   * @param service - The instance.
   */
  addPlain(target: TargetId, service: MemoryPlainService): void {
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
  const message = `target "${target}" is not in memory`;
  throw MarigoldpostError.create('no_target', message);
}
