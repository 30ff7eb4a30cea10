/** One holder's conversation with the keeper of one limit. */
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

/** Who talks about what. */
export interface GrantSessionOptions {
  readonly limit: LimitId;
  readonly daemon: DaemonId;
  readonly clock: Clock;
  readonly random: Random;
  readonly client: GrantClient;
}

/** The grant that is valid, and the messages that change it, one at a time. */
export class GrantSession {
  /** When the keeper wants to be asked again; 0 when it does not say. */
  retryAfterMs = 0;
  /** Validity of the last grant from its request on, in milliseconds. */
  termMs = 0;
  private amount = 0;
  private expiresAtMs = never;
  private grantId = '';
  private sequence = 0n;
  private readonly holder: string;

  private constructor(private readonly options: GrantSessionOptions) {
    // A restarted daemon is another holder: its former grants must lapse.
    const nonce = options.random.nextToken(nonceLength);
    this.holder = `${options.daemon}/${nonce}`;
  }

  /**
   * Creates a session without a grant.
   * @param options - Who talks about what.
   */
  static create(options: GrantSessionOptions): GrantSession {
    return new GrantSession(options);
  }

  /** Gets how much may be used now. */
  getAmount(): number {
    return this.options.clock.nowMs() < this.expiresAtMs ? this.amount : 0;
  }

  /** Gets when the grant ends, on the own clock. */
  getExpiryMs(): number {
    return this.expiresAtMs;
  }

  /**
   * Gives up a part of the grant; the next request tells the keeper.
   * @param amount - What is kept.
   */
  lowerAmount(amount: number): void {
    this.amount = Math.min(this.amount, amount);
  }

  /**
   * Asks for a grant in place of the present one. The grant's term counts from
   * the sending, so that it ends here before it ends at the keeper.
   * @param wanted - How much is wanted in all.
   * @param inUse - How much is in use under former grants.
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
   * Gives up everything that is not in use.
   * @param inUse - How much is in use.
   */
  async giveBack(inUse: number): Promise<void> {
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
    // A confirmation is worth nothing once what it confirms has lapsed.
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
