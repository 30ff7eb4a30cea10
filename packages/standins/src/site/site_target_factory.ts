/** Creates the targets of a site. */
import {
  type ModelId,
  type Random,
  SystemClock,
  type TargetId,
} from '@marigoldpost/common';
import {request} from 'undici';
import {MemoryEngine} from '../memory/memory_engine.js';
import {MemoryPlainService} from '../memory/memory_plain_service.js';
import type {PlainLedger} from '../memory/plain_ledger.js';
import {sendBlocks} from '../servers/send_blocks.js';
import type {SiteEngineService, SitePlainService} from './site_description.js';

/** Random source and weight store that all targets share. */
export interface SiteTargetFactoryOptions {
  readonly random: Random;
  readonly weightStoreAddress: string;
}

// HTTP clients time out on their own long before this.
const unboundedMs = 60 * 60 * 1000;
const firstErrorStatus = 300;

/** Creates the engines and plain service instances that servers expose. */
export class SiteTargetFactory {
  private readonly clock = SystemClock.create();

  private constructor(private readonly options: SiteTargetFactoryOptions) {}

  /**
   * Creates a factory.
   * @param options - Random source and address of the weight store.
   */
  static create(options: SiteTargetFactoryOptions): SiteTargetFactory {
    return new SiteTargetFactory(options);
  }

  /**
   * Creates an engine that fetches weights from the site's weight store.
   * @param target - Id of the engine.
   * @param service - Service that the engine belongs to.
   */
  createEngine(target: TargetId, service: SiteEngineService): MemoryEngine {
    const {random, weightStoreAddress} = this.options;
    return MemoryEngine.create({
      target,
      clock: this.clock,
      random,
      timeoutMs: unboundedMs,
      models: service.models,
      model: service.model,
      checksFencing: service.checksFencing,
      getOutputTokens: service.getOutputTokens,
      fetchWeights: (model) => fetchWeights(weightStoreAddress, model),
      sendBlocks,
    });
  }

  /**
   * Creates an instance of a plain service.
   * @param target - Id of the instance.
   * @param service - Service that the instance belongs to.
   * @param ledger - Records the executions of all instances of the service.
   */
  createPlain(
    target: TargetId,
    service: SitePlainService,
    ledger: PlainLedger,
  ): MemoryPlainService {
    return MemoryPlainService.create({
      target,
      clock: this.clock,
      timeoutMs: unboundedMs,
      latencyMs: service.latencyMs,
      deduplicatesByKey: service.deduplicatesByKey,
      ledger,
    });
  }
}

async function fetchWeights(address: string, model: ModelId): Promise<void> {
  const url = `${address}/weights/${encodeURIComponent(model)}`;
  const {statusCode, body} = await request(url);
  await body.dump();
  if (statusCode < firstErrorStatus) return;
  throw new Error(`weight store answered ${url} with status ${statusCode}`);
}
