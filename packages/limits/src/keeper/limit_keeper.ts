/** Hands out the limits that one partition keeps. */
import {type Clock, MarigoldpostError, toId} from '@marigoldpost/common';
import type {GrantReply, GrantRequest, GrantReturn} from '@marigoldpost/peers';
import type {LimitId} from '../names/limit_id.js';
import type {LimitTerms} from '../names/limit_terms.js';
import {LimitAccount} from './limit_account.js';

/** What a keeper needs. */
export interface LimitKeeperOptions {
  readonly clock: Clock;
  /** Gets what the limit allows here; nothing for an unknown limit. */
  readonly getTerms: (limit: LimitId) => LimitTerms | undefined;
  /**
   * Whether this daemon holds the partition, by its own clock. Asked before
   * each grant, so that a holder that was paused past its lease grants nothing.
   */
  readonly isHolder: () => boolean;
  /** Whether a predecessor may have handed out grants; true by default. */
  readonly hasPredecessor?: boolean;
  /**
   * Bounds on what a predecessor has granted, from the partition's journal.
   * Without them nothing new is granted until its grants have lapsed.
   */
  readonly formerGrants?: readonly FormerGrant[];
}

/** Bound on what a holder may have from a predecessor. */
export interface FormerGrant {
  readonly limit: string;
  readonly holder: string;
  readonly amount: number;
}

/** Keeper of limits, made anew each time the partition is taken over. */
export class LimitKeeper {
  private readonly accounts = new Map<LimitId, LimitAccount>();
  private readonly startMs: number;

  private constructor(private readonly options: LimitKeeperOptions) {
    this.startMs = options.clock.nowMs();
  }

  /**
   * Creates a keeper at the moment that the partition is taken over.
   * @param options - What it needs.
   */
  static create(options: LimitKeeperOptions): LimitKeeper {
    return new LimitKeeper(options);
  }

  /**
   * Answers a holder. Throws `not_holder` once the partition is lost, and
   * `invalid_request` for a limit that the operators' text does not have.
   * @param request - Who wants how much of which limit.
   */
  handleGrantRequest(request: GrantRequest): GrantReply {
    this.checkHolder(request.limit);
    const limit = toId<LimitId>(request.limit);
    const terms = this.options.getTerms(limit);
    if (terms === undefined) {
      const message = `limit "${limit}" is not in the operators' text`;
      throw MarigoldpostError.create('invalid_request', message);
    }
    return this.getAccount(limit, terms).grant(request, terms);
  }

  /**
   * Takes back what a holder gives up; throws `not_holder`.
   * @param message - Who gives up how much of which limit.
   */
  handleGrantReturn(message: GrantReturn): void {
    this.checkHolder(message.limit);
    this.accounts.get(toId<LimitId>(message.limit))?.takeBack(message);
  }

  /**
   * Gets how much of a limit may be in use by all holders together.
   * @param limit - The limit.
   */
  getOutstanding(limit: LimitId): number {
    return this.accounts.get(limit)?.getTotalOutstanding() ?? 0;
  }

  /**
   * Gets how much of a limit one holder may have in use.
   * @param limit - The limit.
   * @param holder - The holder, as its requests name it.
   */
  getHolderOutstanding(limit: LimitId, holder: string): number {
    return this.accounts.get(limit)?.getHolderOutstanding(holder) ?? 0;
  }

  private checkHolder(limit: string): void {
    if (this.options.isHolder()) return;
    const message = `limit "${limit}" is kept by another daemon`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private getAccount(limit: LimitId, {termMs}: LimitTerms): LimitAccount {
    const known = this.accounts.get(limit);
    if (known !== undefined) return known;
    const {clock, hasPredecessor = true, formerGrants} = this.options;
    const lapsedMs = this.startMs + termMs;
    const waitsOut = hasPredecessor && formerGrants === undefined;
    const confirmsUntilMs = waitsOut ? lapsedMs : Number.NEGATIVE_INFINITY;
    const account = LimitAccount.create(clock, confirmsUntilMs);
    for (const former of formerGrants ?? []) {
      if (former.limit !== limit) continue;
      account.addFormerGrant(former.holder, former.amount, lapsedMs);
    }
    this.accounts.set(limit, account);
    return account;
  }
}
