/** Records of the grants that one limit has outstanding. */
import {create} from '@bufbuild/protobuf';
import type {Clock} from '@marigoldpost/common';
import {
  type GrantReply,
  GrantReplySchema,
  type GrantRequest,
  type GrantReturn,
} from '@marigoldpost/peers';
import type {LimitTerms} from '../names/limit_terms.js';
import {type Demand, divideFairly} from './fair_share.js';

/** Time without a request after which a holder's demand is ignored. */
const demandTtlMs = 15_000;
/** Time that a holder keeps one of too few units while others wait. */
const timeSliceMs = 2000;
/** Retry delay for holders that were granted less than they want. */
const contendedRetryMs = 1000;

const never = Number.NEGATIVE_INFINITY;

/** Grants and demand of one holder. */
interface HolderRecord {
  sequence: bigint;
  requestId: string;
  reply: GrantReply;
  granted: number;
  grantedUntilMs: number;
  /** Upper bound of the amount in use under earlier grants. */
  held: number;
  heldUntilMs: number;
  wanted: number;
  /** Time of the last request. */
  seenAtMs: number;
  /** Time of the last grant that the holder got while it held none. */
  sliceStartedMs: number;
}

/** Decides and records the grants of one limit. */
export class LimitAccount {
  private readonly records = new Map<string, HolderRecord>();

  private constructor(
    private readonly clock: Clock,
    private readonly confirmOnlyUntilMs: number,
  ) {}

  /**
   * Creates an account without outstanding grants.
   * @param clock - Clock of the allocator.
   * @param confirmOnlyUntilMs - Time until which unknown grants of a
   *   predecessor may be valid. Until then holders are confirmed in what they
   *   hold, and get no more.
   */
  static create(clock: Clock, confirmOnlyUntilMs: number): LimitAccount {
    return new LimitAccount(clock, confirmOnlyUntilMs);
  }

  /**
   * Counts a predecessor's grant as outstanding until the holder reports what
   * it holds.
   * @param holder - Name of the holder in its requests.
   * @param amount - Upper bound of the granted amount.
   * @param untilMs - Time by which a predecessor's grants have expired.
   */
  addFormerGrant(holder: string, amount: number, untilMs: number): void {
    this.records.set(holder, {
      sequence: -1n,
      requestId: '',
      reply: create(GrantReplySchema, {}),
      granted: 0,
      grantedUntilMs: never,
      held: amount,
      heldUntilMs: untilMs,
      wanted: 0,
      seenAtMs: this.clock.nowMs(),
      sliceStartedMs: never,
    });
  }

  /**
   * Gets the maximum amount that one holder may have in use.
   * @param holder - Name of the holder in its requests.
   */
  getHolderOutstanding(holder: string): number {
    const record = this.records.get(holder);
    return record === undefined ? 0 : this.getOutstanding(record);
  }

  /**
   * Decides a grant. A repeated request gets the same reply, and an outdated
   * one gets an empty reply.
   * @param request - Holder, wanted amount and amount still held.
   * @param terms - This data centre's share of the limit.
   */
  grant(request: GrantRequest, terms: LimitTerms): GrantReply {
    const former = this.records.get(request.holder);
    if (former !== undefined && request.sequence <= former.sequence) {
      const isRepeated = request.requestId === former.requestId;
      return isRepeated ? former.reply : create(GrantReplySchema, {});
    }
    this.removeIdle();
    const record = this.createRecord(request, former);
    this.records.set(request.holder, record);
    const isConfirmation = this.clock.nowMs() < this.confirmOnlyUntilMs;
    const amount = isConfirmation
      ? Math.min(request.held, request.wanted, terms.amount)
      : this.computeAmount(request.holder, record, terms);
    this.recordGrant(record, amount, terms);
    record.reply = create(GrantReplySchema, {
      grantId: request.requestId,
      amount,
      termMs: terms.termMs,
      retryAfterMs: amount < request.wanted ? contendedRetryMs : 0,
      isConfirmation,
    });
    return record.reply;
  }

  /**
   * Releases the units that a holder returns; repeated messages are ignored.
   * @param message - Holder, returned amount and sequence number.
   */
  acceptReturn({holder, amount, sequence}: GrantReturn): void {
    const record = this.records.get(holder);
    if (record === undefined || sequence <= record.sequence) return;
    const rest = Math.max(0, this.getOutstanding(record) - amount);
    record.sequence = sequence;
    record.granted = Math.min(record.granted, rest);
    record.held = Math.min(record.held, rest);
    record.wanted = Math.min(record.wanted, rest);
  }

  /** Gets the maximum amount that all holders may have in use. */
  getTotalOutstanding(): number {
    let total = 0;
    for (const record of this.records.values()) {
      total += this.getOutstanding(record);
    }
    return total;
  }

  private createRecord(
    request: GrantRequest,
    former: HolderRecord | undefined,
  ): HolderRecord {
    return {
      sequence: request.sequence,
      requestId: request.requestId,
      reply: create(GrantReplySchema, {}),
      granted: 0,
      grantedUntilMs: never,
      held: request.held,
      heldUntilMs: former
        ? Math.max(former.grantedUntilMs, former.heldUntilMs)
        : this.confirmOnlyUntilMs,
      wanted: request.wanted,
      seenAtMs: this.clock.nowMs(),
      sliceStartedMs: former?.sliceStartedMs ?? never,
    };
  }

  private computeAmount(
    holder: string,
    record: HolderRecord,
    {amount, quantum}: LimitTerms,
  ): number {
    if (quantum <= 0) return 0;
    const free =
      amount - (this.getTotalOutstanding() - this.getOutstanding(record));
    const freeUnits = Math.max(0, toUnits(free, quantum));
    const fairUnits = this.getFairUnits(
      holder,
      toUnits(amount, quantum),
      quantum,
    );
    return Math.min(freeUnits, fairUnits) * quantum;
  }

  private getFairUnits(holder: string, units: number, quantum: number): number {
    const nowMs = this.clock.nowMs();
    const demands: Demand[] = [];
    for (const [name, record] of this.records) {
      if (nowMs - record.seenAtMs > demandTtlMs || record.wanted <= 0) continue;
      const wanted = Math.ceil(record.wanted / quantum);
      demands.push({
        holder: name,
        wanted,
        rank: getRemainderRank(record, nowMs),
      });
    }
    return divideFairly(units, demands).get(holder) ?? 0;
  }

  private recordGrant(
    record: HolderRecord,
    amount: number,
    {termMs}: LimitTerms,
  ): void {
    const nowMs = this.clock.nowMs();
    const startsSlice = amount > 0 && record.held === 0;
    if (startsSlice) record.sliceStartedMs = nowMs;
    record.granted = amount;
    record.grantedUntilMs = nowMs + termMs;
  }

  private getOutstanding(record: HolderRecord): number {
    const nowMs = this.clock.nowMs();
    const granted = nowMs < record.grantedUntilMs ? record.granted : 0;
    const held = nowMs < record.heldUntilMs ? record.held : 0;
    return Math.max(granted, held);
  }

  private removeIdle(): void {
    const nowMs = this.clock.nowMs();
    for (const [holder, record] of this.records) {
      const isSilent = nowMs - record.seenAtMs > demandTtlMs;
      if (isSilent && this.getOutstanding(record) === 0) {
        this.records.delete(holder);
      }
    }
  }
}

function toUnits(amount: number, quantum: number): number {
  // Rounding: ten grants of 1.05 add up to slightly more or less than 10.5.
  const roundingError = 1e-6;
  return Math.floor(amount / quantum + roundingError);
}

function getRemainderRank(record: HolderRecord, nowMs: number): number {
  const isInSlice =
    record.held > 0 && nowMs - record.sliceStartedMs < timeSliceMs;
  return isInSlice ? never : record.sliceStartedMs;
}
