/** Allocates the limits that are assigned to one partition. */
import {type Clock, MarigoldpostError, toId} from '@marigoldpost/common';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import type {LimitId} from '../names/limit_id.js';
import type {LimitTerms} from '../names/limit_terms.js';
import {LimitAccount} from './limit_account.js';

/** Clock, terms and earlier grants of an allocator. */
export interface LimitAllocatorOptions {
  readonly clock: Clock;
  /** Gets the terms of a limit here; undefined for an unknown limit. */
  readonly getTerms: (limit: LimitId) => LimitTerms | undefined;
  /**
   * Whether this daemon holds the partition, by its own clock. Checked before
   * each grant, so that a daemon that was paused past its lease grants nothing.
   */
  readonly holdsPartition: () => boolean;
  /** Whether a predecessor may have made grants; true by default. */
  readonly hasPredecessor?: boolean;
  /**
   * Upper bounds of a predecessor's grants, from the partition's journal.
   * Without them no new grant is made until the predecessor's have expired.
   */
  readonly formerGrants?: readonly FormerGrant[];
}

/** Upper bound of the amount that a predecessor granted to a holder. */
export interface FormerGrant {
  readonly limit: string;
  readonly holder: string;
  readonly amount: number;
}

/** Allocator of limits; each takeover of the partition creates a new one. */
export class LimitAllocator {
  private readonly accounts = new Map<LimitId, LimitAccount>();
  private readonly startMs: number;

  private constructor(private readonly options: LimitAllocatorOptions) {
    this.startMs = options.clock.nowMs();
  }

  /**
   * Creates an allocator at the takeover of the partition. The grants of a
   * predecessor count as valid for one term from now.
   * @param options - Clock, terms and earlier grants.
   */
  static create(options: LimitAllocatorOptions): LimitAllocator {
    return new LimitAllocator(options);
  }

  /**
   * Handles a grant request. Throws `not_holder` once the partition is lost,
   * and `invalid_request` for a limit that is not in the operators'
   * configuration.
   * @param request - Limit, holder, wanted amount and amount still held.
   */
  handleGrantRequest(request: GrantRequest): GrantReply {
    this.checkPartitionHeld(request.limit);
    const limit = toId<LimitId>(request.limit);
    const terms = this.options.getTerms(limit);
    if (terms === undefined) {
      const message = `limit "${limit}" is not in the operators' configuration`;
      throw MarigoldpostError.create('invalid_request', message);
    }
    return this.getAccount(limit, terms).grant(request, terms);
  }

  /**
   * Handles the return of unused units; throws `not_holder`.
   * @param message - Limit, holder and returned amount.
   */
  handleGrantReturn(message: GrantReturn): void {
    this.checkPartitionHeld(message.limit);
    this.accounts.get(toId<LimitId>(message.limit))?.acceptReturn(message);
  }

  /**
   * Gets the maximum amount of a limit that all holders may have in use.
   * @param limit - Limit id; without grants of it the amount is 0.
   */
  getOutstanding(limit: LimitId): number {
    return this.accounts.get(limit)?.getTotalOutstanding() ?? 0;
  }

  /**
   * Gets the maximum amount of a limit that one holder may have in use.
   * @param limit - Limit id.
   * @param holder - Name of the holder in its requests.
   */
  getHolderOutstanding(limit: LimitId, holder: string): number {
    return this.accounts.get(limit)?.getHolderOutstanding(holder) ?? 0;
  }

  private checkPartitionHeld(limit: string): void {
    if (this.options.holdsPartition()) return;
    const message = `limit "${limit}" is allocated by another daemon`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private getAccount(limit: LimitId, {termMs}: LimitTerms): LimitAccount {
    const known = this.accounts.get(limit);
    if (known !== undefined) return known;
    const {clock, hasPredecessor = true, formerGrants} = this.options;
    const expireAtMs = this.startMs + termMs;
    const mustAwaitExpiry = hasPredecessor && formerGrants === undefined;
    const confirmOnlyUntilMs = mustAwaitExpiry
      ? expireAtMs
      : Number.NEGATIVE_INFINITY;
    const account = LimitAccount.create(clock, confirmOnlyUntilMs);
    for (const former of formerGrants ?? []) {
      if (former.limit !== limit) continue;
      account.addFormerGrant(former.holder, former.amount, expireAtMs);
    }
    this.accounts.set(limit, account);
    return account;
  }
}
