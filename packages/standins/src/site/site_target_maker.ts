/** Makes the targets of a site. */
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

/** Options of a maker. */
export interface SiteTargetMakerOptions {
  readonly random: Random;
  readonly weightStoreAddress: string;
}

/** Clients over sockets time out by themselves, long before this. */
const unboundedMs = 60 * 60 * 1000;
const firstErrorStatus = 300;

/** Source of engines and instances of plain services behind sockets. */
export class SiteTargetMaker {
  private readonly clock = SystemClock.create();

  private constructor(private readonly options: SiteTargetMakerOptions) {}

  /**
   * Creates a maker.
   * @param options - Randomness and weight store.
   */
  static create(options: SiteTargetMakerOptions): SiteTargetMaker {
    return new SiteTargetMaker(options);
  }

  /**
   * Creates an engine.
   * @param target - Its id.
   * @param service - Its service.
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
   * @param target - Its id.
   * @param service - Its service.
   * @param ledger - Effects of all its instances.
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
  throw new Error(`weight store answered with ${statusCode}`);
}
