/** Orders to engines, with fencing numbers that grow over restarts. */
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
import {RateAllowance} from './rate_allowance.js';
import {type FencingEpoch, FencingObject} from './fencing_object.js';

/** Options of a desk. */
export interface OrderDeskOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  /** The engines' data centre; each has its own fencing numbers. */
  readonly dataCentre: DataCentreId;
  /** Most loads that the weight store should see in a minute. */
  readonly loadsPerMinute: number;
}

/** An order without its number. */
export interface OrderRequest {
  readonly target: TargetId;
  readonly engine: EngineClient;
  readonly kind: EngineOrder['kind'];
  readonly subject: string;
  /** Whether the engine refuses old fencing numbers. */
  readonly checksFencing: boolean;
}

/** Orders of one epoch; a multiplier leaves the order's own number room. */
const ordersPerEpoch = 2 ** 20;

/**
 * Gives orders in the name of one data centre's orderer. Only the newest desk
 * may order: engines that check refuse the older numbers; for the others the
 * desk reads the epoch again right before each order.
 */
export class OrderDesk {
  private epoch: FencingEpoch | undefined;
  private orders = 0;

  private constructor(
    private readonly fencing: FencingObject,
    private readonly loads: RateAllowance,
  ) {}

  /**
   * Creates a desk that has no epoch yet.
   * @param options - Platform, clock and rate.
   */
  static create(options: OrderDeskOptions): OrderDesk {
    const {store, clock, random, dataCentre, loadsPerMinute} = options;
    const fencing = FencingObject.create({store, random, dataCentre});
    const loads = RateAllowance.create({clock, perMinute: loadsPerMinute});
    return new OrderDesk(fencing, loads);
  }

  /**
   * Draws a new epoch from the platform, above every earlier one. Throws
   * `store_unavailable`, or `version_conflict` when others draw all the time.
   */
  async acquireEpoch(): Promise<void> {
    this.epoch = await this.fencing.drawEpoch();
    this.orders = 0;
  }

  /**
   * Gives an order, once. Throws `fenced` when another desk has a newer epoch,
   * and `limit_reached` when the weight store's rate is used up.
   * @param request - The order.
   */
  async giveOrder(request: OrderRequest): Promise<EngineOrder> {
    if (request.kind === 'load_model') this.takeLoad(request.subject);
    const epoch = await this.getEpochOrThrow(request.checksFencing);
    this.orders += 1;
    const order = {
      kind: request.kind,
      subject: request.subject,
      fencingNumber: epoch * ordersPerEpoch + this.orders,
    };
    await this.send(request.engine, order);
    return order;
  }

  private async send(engine: EngineClient, order: EngineOrder): Promise<void> {
    try {
      await engine.giveOrder(order);
    } catch (error) {
      if (isErrorOfKind(error, 'fenced')) this.epoch = undefined;
      throw error;
    }
  }

  private async getEpochOrThrow(checksFencing: boolean): Promise<number> {
    const {epoch} = this;
    if (epoch === undefined || this.orders + 1 >= ordersPerEpoch) {
      throw createFenced('this desk holds no epoch for orders');
    }
    if (checksFencing) return epoch.number;
    if (await this.fencing.isNewest(epoch)) return epoch.number;
    this.epoch = undefined;
    throw createFenced('another desk has drawn a newer epoch for orders');
  }

  private takeLoad(model: string): void {
    const retryAfterMs = this.loads.take();
    if (retryAfterMs === 0) return;
    const message = `loading "${model}" would exceed the weight store's rate`;
    throw MarigoldpostError.create('limit_reached', message, {retryAfterMs});
  }
}

function createFenced(message: string): MarigoldpostError {
  return MarigoldpostError.create('fenced', message);
}
