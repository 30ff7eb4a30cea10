/** Clients of targets and the interface of their factory. */
import type {Clock, TargetId} from '@marigoldpost/common';
import type {EngineClient} from '../engine/engine_client.js';
import type {PlainServiceClient} from '../plain/plain_service_client.js';

/**
 * Result of a connection attempt without a request: `refused` means that the VM
 * is up but no process listens, `silent` that there was no answer.
 */
export type Reachability = 'reachable' | 'refused' | 'silent';

/** Address, timeout and clock for a client of a target. */
export interface TargetEndpoint {
  readonly target: TargetId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Timeout of a request, or of silence on a stream, in milliseconds. */
  readonly timeoutMs: number;
  readonly clock: Clock;
}

/** Members common to clients of engines and of plain services. */
interface TargetClientBase {
  /** Attempts a connection without sending a request. */
  getReachability(): Promise<Reachability>;
  /** Closes the connections after the requests in flight have completed. */
  close(): Promise<void>;
  /** Closes the connections immediately; requests in flight fail. */
  destroy(): Promise<void>;
}

/** Client of a target that is a model engine. */
export interface EngineTargetClient extends TargetClientBase {
  readonly kind: 'engine';
  readonly engine: EngineClient;
}

/** Client of a target that is an instance of a plain service. */
export interface PlainTargetClient extends TargetClientBase {
  readonly kind: 'plain';
  readonly plain: PlainServiceClient;
}

/** Client of a target, discriminated by `kind`. */
export type TargetClient = EngineTargetClient | PlainTargetClient;

/** Factory of target clients; tests substitute in-memory ones. */
export abstract class TargetClientFactory {
  /**
   * Creates the client of a model engine.
   * @param endpoint - Address and timeout of the engine.
   */
  abstract createEngine(endpoint: TargetEndpoint): EngineTargetClient;

  /**
   * Creates the client of an instance of a plain service.
   * @param endpoint - Address and timeout of the instance.
   */
  abstract createPlain(endpoint: TargetEndpoint): PlainTargetClient;
}
