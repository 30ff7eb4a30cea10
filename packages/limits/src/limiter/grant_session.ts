/** Grant of one limit that one daemon holds, and its renewal. */
import {create} from '@bufbuild/protobuf';
import type {Clock, DaemonId, Random} from '@marigoldpost/common';
import {
  type GrantReply,
  GrantRequestSchema,
  GrantReturnSchema,
} from '@marigoldpost/peers';
import type {LimitId} from '../names/limit_id.js';
import type {GrantClient} from './grant_client.js';

const nonceLength = 10;
const never = Number.NEGATIVE_INFINITY;

/** Limit, holder and client of a session. */
export interface GrantSessionOptions {
  readonly limit: LimitId;
  readonly daemon: DaemonId;
  readonly clock: Clock;
  readonly random: Random;
  readonly client: GrantClient;
}

/** Holds the current grant; callers send one request at a time. */
export class GrantSession {
  /** Retry delay that the allocator asked for, in ms; 0 if none. */
  retryAfterMs = 0;
  /** Validity of the last grant, in milliseconds from its request. */
  termMs = 0;
  private amount = 0;
  private expiresAtMs = never;
  private grantId = '';
  private sequence = 0n;
  private readonly holder: string;

  private constructor(private readonly options: GrantSessionOptions) {
    // A restarted daemon is another holder: its old grants must expire first.
    const nonce = options.random.nextToken(nonceLength);
    this.holder = `${options.daemon}/${nonce}`;
  }

  /**
   * Creates a session without a grant.
   * @param options - Limit, holder and client.
   */
  static create(options: GrantSessionOptions): GrantSession {
    return new GrantSession(options);
  }

  /** Gets the granted amount; 0 once the grant has expired. */
  getAmount(): number {
    return this.options.clock.nowMs() < this.expiresAtMs ? this.amount : 0;
  }

  /** Gets the time at which the grant expires, on this daemon's clock. */
  getExpiryMs(): number {
    return this.expiresAtMs;
  }

  /**
   * Lowers the grant; the next renewal reports it to the allocator.
   * @param amount - Amount to keep at most.
   */
  lowerAmount(amount: number): void {
    this.amount = Math.min(this.amount, amount);
  }

  /**
   * Requests a grant that replaces the current one. The term starts when the
   * request is sent, so the grant expires here before it does at the allocator.
   * @param wanted - Total amount wanted.
   * @param inUse - Amount in use under this and earlier grants.
   */
  async renew(wanted: number, inUse: number): Promise<void> {
    const {limit, clock, client} = this.options;
    const sentAtMs = clock.nowMs();
    this.sequence += 1n;
    const reply = await client.requestGrant(
      create(GrantRequestSchema, {
        limit,
        holder: this.holder,
        requestId: `${this.holder}#${this.sequence}`,
        wanted,
        held: Math.max(inUse, this.getAmount()),
        sequence: this.sequence,
      }),
    );
    this.acceptReply(reply, sentAtMs);
  }

  /**
   * Returns the unused part of the grant.
   * @param inUse - Amount to keep.
   */
  async returnUnused(inUse: number): Promise<void> {
    const amount = this.getAmount() - inUse;
    if (amount <= 0) return;
    this.lowerAmount(inUse);
    this.sequence += 1n;
    await this.options.client.returnGrant(
      create(GrantReturnSchema, {
        limit: this.options.limit,
        holder: this.holder,
        grantId: this.grantId,
        amount,
        sequence: this.sequence,
      }),
    );
  }

  private acceptReply(reply: GrantReply, sentAtMs: number): void {
    // A confirmation is void once the grant that it confirms has expired.
    const amount = reply.isConfirmation
      ? Math.min(reply.amount, this.getAmount())
      : reply.amount;
    this.amount = amount;
    this.expiresAtMs = sentAtMs + reply.termMs;
    this.grantId = reply.grantId;
    this.termMs = reply.termMs;
    this.retryAfterMs = reply.retryAfterMs;
  }
}
