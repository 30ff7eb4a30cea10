/** Makes the clients of targets. */
import type {Clock, TargetId} from '@marigoldpost/common';
import type {EngineClient} from '../engine/engine_client.js';
import type {PlainServiceClient} from '../plain/plain_service_client.js';

/**
 * What a bare connection attempt shows: `refused` means that the VM answers and
 * the process is gone, `silent` that nothing answers.
 */
export type Reachability = 'reachable' | 'refused' | 'silent';

/** Where and how to reach a target. */
export interface TargetEndpoint {
  readonly target: TargetId;
  /** `http://<ip>:<port>`. */
  readonly address: string;
  /** Longest time for one request, in milliseconds. */
  readonly timeoutMs: number;
  readonly clock: Clock;
}

/** What clients of both kinds have. */
interface TargetClientBase {
  /** Tries to connect, without a request. */
  getReachability(): Promise<Reachability>;
  /** Frees the connections once the requests in flight are done. */
  close(): Promise<void>;
  /** Drops the connections; requests in flight are cut. */
  destroy(): Promise<void>;
}

/** Client of an engine. */
export interface EngineTargetClient extends TargetClientBase {
  readonly kind: 'engine';
  readonly engine: EngineClient;
}

/** Client of an instance of a plain service. */
export interface PlainTargetClient extends TargetClientBase {
  readonly kind: 'plain';
  readonly plain: PlainServiceClient;
}

/** Client of a target. */
export type TargetClient = EngineTargetClient | PlainTargetClient;

/** Source of clients. */
export abstract class TargetClientFactory {
  /**
   * Creates the client of an engine.
   * @param endpoint - The engine.
   */
  abstract createEngine(endpoint: TargetEndpoint): EngineTargetClient;

  /**
   * Creates the client of an instance of a plain service.
   * @param endpoint - The instance.
   */
  abstract createPlain(endpoint: TargetEndpoint): PlainTargetClient;
}
