/**
 * Reserves permits for limited targets among the entry VMs. A hash that all of
 * them compute alike orders the entry VMs for each target: the first one
 * schedules it. While it does not reply, the next one does, with half of the
 * limit: where the network has split, the first one may go on elsewhere.
 */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  getHashNumber,
  type TargetId,
} from '@marigoldpost/common';
import {
  type PermitRequest,
  PermitScheduler,
  PermitSource,
  type ScheduledPermits,
  type TargetInstance,
  type TargetLimits,
} from '@marigoldpost/dispatch';
import {
  fromTargetLimitMessage,
  type PeerReplyBody,
  type PeerRequester,
  type ReservePermits,
  ReservedPermitsSchema,
  ReservePermitsSchema,
  toTargetLimitMessage,
} from '@marigoldpost/peers';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {EntryDirectory, EntryMember} from './entry_directory.js';

/** Reply time-out; far above the latency between data centres. */
const replyTimeoutMs = 120;
/** Time for which an entry VM that did not reply is passed over. */
const passOverMs = 1000;
/** Entry VMs that are asked for one reservation. */
const maxAsked = 3;
/** Delay until permits are requested again if nobody has replied. */
const noReplyRetryMs = 250;
/** An entry VM that does not reply for this long is removed from the list. */
const memberExpiryMs = 300_000;
/** A reply within this time shows that the own links work. */
const recentReplyMs = 10_000;
/** Rank of an entry VM that does not know the others yet. */
const unknownRank = 3;

/** Entry VMs, transport and limits of an exchange. */
export interface PermitExchangeOptions {
  readonly daemon: DaemonId;
  readonly directory: EntryDirectory;
  readonly transport: PeerRequester;
  readonly limits: TargetLimits;
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Called when an entry VM has not replied for minutes. */
  readonly onMemberLost?: (member: EntryMember) => void;
}

/** Since when an entry VM has not replied. */
interface ReplyFailure {
  readonly firstMs: number;
  readonly lastMs: number;
}

/** Requests permits from other entry VMs and answers their requests. */
export class PermitExchange extends PermitSource {
  private readonly scheduler: PermitScheduler;
  private readonly rankings = new Map<TargetId, readonly EntryMember[]>();
  private rankedChangeCount = -1;
  private readonly failures = new Map<DaemonId, ReplyFailure>();
  private lastReplyMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: PermitExchangeOptions) {
    super();
    this.scheduler = PermitScheduler.create(options.clock);
  }

  /**
   * Creates an exchange.
   * @param options - Entry VMs, transport and limits.
   */
  static create(options: PermitExchangeOptions): PermitExchange {
    return new PermitExchange(options);
  }

  override async reserve(request: PermitRequest): Promise<ScheduledPermits> {
    const {daemon} = this.options;
    const candidates = this.rankMembers(request.limit).filter(
      (member) => member.daemon === daemon || !this.isPassedOver(member),
    );
    for (const member of candidates.slice(0, maxAsked)) {
      const isOwn = member.daemon === daemon;
      const reply = isOwn
        ? this.reserveHere(daemon, request)
        : await this.ask(member, request);
      if (reply !== undefined) return reply;
    }
    return {delaysMs: [], nextDelayMs: noReplyRetryMs, requesters: 1};
  }

  /**
   * Answers the request of another entry VM.
   * @param requester - Entry VM that sent the request.
   * @param request - The request.
   */
  answer(
    requester: DaemonId,
    {limit, count, horizonMs}: ReservePermits,
  ): PeerReplyBody {
    const {limits, clock} = this.options;
    if (limit === undefined) {
      return {case: 'reservedPermits', value: create(ReservedPermitsSchema)};
    }
    const stated = fromTargetLimitMessage(limit, clock.nowMs());
    limits.merge(requester, [stated]);
    const known = limits.get(stated) ?? stated;
    const reserved = this.reserveHere(requester, {
      limit: known,
      count,
      horizonMs,
    });
    const value = create(ReservedPermitsSchema, {
      delaysMs: [...reserved.delaysMs],
      nextDelayMs: reserved.nextDelayMs,
      requesters: reserved.requesters,
      limit: toTargetLimitMessage(known, clock.nowMs()),
    });
    return {case: 'reservedPermits', value};
  }

  private reserveHere(
    requester: DaemonId,
    {limit, count, horizonMs}: PermitRequest,
  ): ScheduledPermits {
    const {target, startedAtMs, limitPerS} = limit;
    if (limitPerS === undefined) {
      return {delaysMs: [], nextDelayMs: 0, requesters: 1};
    }
    return this.scheduler.reserve({
      requester,
      target,
      startedAtMs,
      limitPerS: limitPerS / 2 ** this.getOwnRank(limit),
      count,
      horizonMs,
    });
  }

  private async ask(
    member: EntryMember,
    {limit, count, horizonMs}: PermitRequest,
  ): Promise<ScheduledPermits | undefined> {
    const {transport, clock, limits, logger} = this.options;
    const sentAtMs = clock.nowMs();
    const value = create(ReservePermitsSchema, {
      limit: toTargetLimitMessage(limit, sentAtMs),
      count,
      horizonMs,
    });
    try {
      const request = {case: 'reservePermits', value} as const;
      const reply = await transport.ask(member, request, replyTimeoutMs);
      if (reply.case !== 'reservedPermits') return undefined;
      this.lastReplyMs = clock.nowMs();
      if (this.failures.delete(member.daemon)) {
        const fields = {peer: member.daemon, isReachable: true, reason: ''};
        logger.log('permit_holder_reachability', fields);
      }
      const {limit: known} = reply.value;
      if (known !== undefined) {
        limits.merge(member.daemon, [fromTargetLimitMessage(known, sentAtMs)]);
      }
      return reply.value;
    } catch (error) {
      this.recordFailure(member, error);
      return undefined;
    }
  }

  private recordFailure(member: EntryMember, error: unknown): void {
    const {clock, logger, onMemberLost} = this.options;
    const {daemon} = member;
    const nowMs = clock.nowMs();
    const {firstMs} = this.failures.get(daemon) ?? {firstMs: undefined};
    this.failures.set(daemon, {firstMs: firstMs ?? nowMs, lastMs: nowMs});
    if (firstMs === undefined) {
      const reason = error instanceof Error ? error.message : String(error);
      const fields = {peer: daemon, isReachable: false, reason};
      logger.log('permit_holder_reachability', fields);
      return;
    }
    const isLost =
      nowMs - firstMs > memberExpiryMs &&
      nowMs - this.lastReplyMs < recentReplyMs;
    if (isLost) onMemberLost?.(member);
  }

  private isPassedOver({daemon}: EntryMember): boolean {
    const failure = this.failures.get(daemon);
    if (failure === undefined) return false;
    return this.options.clock.nowMs() - failure.lastMs < passOverMs;
  }

  private getOwnRank(instance: TargetInstance): number {
    const {daemon, directory} = this.options;
    if (!directory.isLoaded) return unknownRank;
    return this.rankMembers(instance).findIndex(
      (member) => member.daemon === daemon,
    );
  }

  private rankMembers({target}: TargetInstance): readonly EntryMember[] {
    const {directory} = this.options;
    if (this.rankedChangeCount !== directory.changeCount) {
      this.rankedChangeCount = directory.changeCount;
      this.rankings.clear();
    }
    const known = this.rankings.get(target);
    if (known !== undefined) return known;
    const ranking = rankByHash(target, directory.getMembers());
    this.rankings.set(target, ranking);
    return ranking;
  }
}

/** Orders the entry VMs by rendezvous hashing. */
function rankByHash(
  target: TargetId,
  members: readonly EntryMember[],
): EntryMember[] {
  const scored = members.map((member) => ({
    member,
    score: getHashNumber(`${target} ${member.daemon}`),
  }));
  return scored
    .toSorted((left, right) => right.score - left.score)
    .map(({member}) => member);
}
