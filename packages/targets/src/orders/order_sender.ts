/** Sends orders to engines with fencing numbers that increase over restarts. */
import {
  type Clock,
  type DataCentreId,
  isErrorOfKind,
  MarigoldpostError,
  type Random,
  type TargetId,
} from '@marigoldpost/common';
import type {ObjectStore} from '@marigoldpost/platform';
import type {EngineClient, EngineOrder} from '../engine/engine_client.js';
import {TokenBucket} from './token_bucket.js';
import {type FencingEpoch, FencingEpochStore} from './fencing_epoch_store.js';

/** Store, identity and rate limit of an order sender. */
export interface OrderSenderOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Data centre of the engines; each one has its own fencing numbers. */
  readonly dataCentre: DataCentreId;
  /** Maximum model loads per minute that the weight store must serve. */
  readonly loadsPerMinute: number;
}

/** An order before it is assigned a fencing number. */
export interface OrderRequest {
  readonly target: TargetId;
  readonly engine: EngineClient;
  readonly kind: EngineOrder['kind'];
  readonly subject: string;
  /** Whether the engine rejects outdated fencing numbers. */
  readonly checksFencing: boolean;
}

/**
 * Exclusive upper bound of order numbers in one epoch. The fencing number is
 * the epoch times this, plus the number of the order within the epoch.
 */
const ordersPerEpoch = 2 ** 20;

/**
 * Sends orders for one data centre. Only the sender with the latest epoch may
 * send: engines that check fencing numbers reject older ones; for other engines
 * the sender reads the epoch again immediately before each order.
 */
export class OrderSender {
  private epoch: FencingEpoch | undefined;
  private orderCount = 0;

  private constructor(
    private readonly epochStore: FencingEpochStore,
    private readonly loadBucket: TokenBucket,
  ) {}

  /**
   * Creates a sender without an epoch; see `acquireEpoch`.
   * @param options - Store, identity and rate limit.
   */
  static create(options: OrderSenderOptions): OrderSender {
    const {store, clock, random, dataCentre, loadsPerMinute} = options;
    const epochStore = FencingEpochStore.create({store, random, dataCentre});
    const loadBucket = TokenBucket.create({clock, perMinute: loadsPerMinute});
    return new OrderSender(epochStore, loadBucket);
  }

  /**
   * Allocates a new epoch in the platform's store, above every earlier one.
   * Throws `store_unavailable`, or `version_conflict` if concurrent allocations
   * win repeatedly.
   */
  async acquireEpoch(): Promise<void> {
    this.epoch = await this.epochStore.allocateEpoch();
    this.orderCount = 0;
  }

  /**
   * Sends an order once, without retries. Throws `fenced` if another sender has
   * a newer epoch, and `limit_reached` if the model load rate is exceeded.
   * @param request - Order and the engine that it is sent to.
   */
  async sendOrder(request: OrderRequest): Promise<EngineOrder> {
    if (request.kind === 'load_model') this.acquireLoadToken(request.subject);
    const epoch = await this.getEpochOrThrow(request.checksFencing);
    this.orderCount += 1;
    const order = {
      kind: request.kind,
      subject: request.subject,
      fencingNumber: epoch * ordersPerEpoch + this.orderCount,
    };
    await this.sendToEngine(request.engine, order);
    return order;
  }

  private async sendToEngine(
    engine: EngineClient,
    order: EngineOrder,
  ): Promise<void> {
    try {
      await engine.sendOrder(order);
    } catch (error) {
      if (isErrorOfKind(error, 'fenced')) this.epoch = undefined;
      throw error;
    }
  }

  private async getEpochOrThrow(checksFencing: boolean): Promise<number> {
    const {epoch} = this;
    if (epoch === undefined || this.orderCount + 1 >= ordersPerEpoch) {
      throw createFencedError(
        'the order sender has no usable epoch; it must acquire a new one',
      );
    }
    if (checksFencing) return epoch.number;
    if (await this.epochStore.isLatest(epoch)) return epoch.number;
    this.epoch = undefined;
    throw createFencedError('another order sender has allocated a newer epoch');
  }

  private acquireLoadToken(model: string): void {
    const retryAfterMs = this.loadBucket.acquire();
    if (retryAfterMs === 0) return;
    const message = `loading model "${model}" exceeds the load rate of the weight store`;
    throw MarigoldpostError.create('limit_reached', message, {retryAfterMs});
  }
}

function createFencedError(message: string): MarigoldpostError {
  return MarigoldpostError.create('fenced', message);
}
