/** What the keeper of one limit has handed out. */
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

/** A holder silent for this long no longer counts as wanting anything. */
const demandMs = 15_000;
/** How long a holder keeps one of too few units while others wait. */
const sliceMs = 2000;
/** When holders come back while more is wanted than there is. */
const contendedRetryMs = 1000;

const never = Number.NEGATIVE_INFINITY;

/** One holder. */
interface HolderRecord {
  sequence: bigint;
  requestId: string;
  reply: GrantReply;
  granted: number;
  grantedUntilMs: number;
  /** Most that the holder uses under earlier grants. */
  held: number;
  heldUntilMs: number;
  wanted: number;
  seenMs: number;
  /** When the holder last went from nothing to something. */
  turnStartedMs: number;
}

/** Account of one limit. */
export class LimitAccount {
  private readonly records = new Map<string, HolderRecord>();

  private constructor(
    private readonly clock: Clock,
    private readonly confirmsUntilMs: number,
  ) {}

  /**
   * Creates an account with nothing out.
   * @param clock - The keeper's clock.
   * @param confirmsUntilMs - Until then a predecessor's grants may be out:
   *   holders are confirmed in what they hold, and get no more.
   */
  static create(clock: Clock, confirmsUntilMs: number): LimitAccount {
    return new LimitAccount(clock, confirmsUntilMs);
  }

  /**
   * Counts what a predecessor may have granted a holder as out, until the
   * holder says what it has.
   * @param holder - The holder.
   * @param amount - Most that it may have.
   * @param untilMs - When a predecessor's grants have lapsed.
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
      seenMs: this.clock.nowMs(),
      turnStartedMs: never,
    });
  }

  /**
   * Gets how much one holder may have in use.
   * @param holder - The holder.
   */
  getHolderOutstanding(holder: string): number {
    const record = this.records.get(holder);
    return record === undefined ? 0 : this.getOutstanding(record);
  }

  /**
   * Grants what may be granted; the same request gets the same reply.
   * @param request - Who wants how much.
   * @param terms - What the limit allows.
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
    const isConfirmation = this.clock.nowMs() < this.confirmsUntilMs;
    const amount = isConfirmation
      ? Math.min(request.held, request.wanted, terms.amount)
      : this.chooseAmount(request.holder, record, terms);
    this.noteGranted(record, amount, terms);
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
   * Takes back what a holder gives up; a repeated message changes nothing.
   * @param message - Who gives up how much.
   */
  takeBack({holder, amount, sequence}: GrantReturn): void {
    const record = this.records.get(holder);
    if (record === undefined || sequence <= record.sequence) return;
    const rest = Math.max(0, this.getOutstanding(record) - amount);
    record.sequence = sequence;
    record.granted = Math.min(record.granted, rest);
    record.held = Math.min(record.held, rest);
    record.wanted = Math.min(record.wanted, rest);
  }

  /** Gets how much may be in use by all holders together. */
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
        : this.confirmsUntilMs,
      wanted: request.wanted,
      seenMs: this.clock.nowMs(),
      turnStartedMs: former?.turnStartedMs ?? never,
    };
  }

  private chooseAmount(
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
      if (nowMs - record.seenMs > demandMs || record.wanted <= 0) continue;
      const wanted = Math.ceil(record.wanted / quantum);
      demands.push({holder: name, wanted, rank: getRank(record, nowMs)});
    }
    return divideFairly(units, demands).get(holder) ?? 0;
  }

  private noteGranted(
    record: HolderRecord,
    amount: number,
    {termMs}: LimitTerms,
  ): void {
    const nowMs = this.clock.nowMs();
    const startsTurn = amount > 0 && record.held === 0;
    if (startsTurn) record.turnStartedMs = nowMs;
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
      const isSilent = nowMs - record.seenMs > demandMs;
      if (isSilent && this.getOutstanding(record) === 0) {
        this.records.delete(holder);
      }
    }
  }
}

function toUnits(amount: number, quantum: number): number {
  // Ten grants of 1.05 add up to a little more or less than 10.5.
  const roundingError = 1e-6;
  return Math.floor(amount / quantum + roundingError);
}

function getRank(record: HolderRecord, nowMs: number): number {
  const isInTurn = record.held > 0 && nowMs - record.turnStartedMs < sliceMs;
  return isInTurn ? never : record.turnStartedMs;
}
