/**
 * Counts the requests of tenants over all entry VMs. One entry VM holds the quota
 * of a tenant; the others ask it for each request, together for those that
 * arrive while it is being asked. Nothing is granted ahead, so an entry VM that
 * ends holds nothing that others would lack.
 */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  Deferred,
  isErrorOfKind,
  type TenantId,
  toId,
} from '@marigoldpost/common';
import {type QuotaDecision, QuotaSource} from '@marigoldpost/gateway';
import {
  getQuotaShare,
  QuotaHolder,
  type QuotaRequest,
} from '@marigoldpost/limits';
import {
  type PeerReplyBody,
  type PeerRequester,
  type TakenQuota,
  TakenQuotaSchema,
  type TakeQuota,
  TakeQuotaSchema,
} from '@marigoldpost/peers';
import type {QuotaBounds, Tenant} from '@marigoldpost/sites';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import type {EntryDirectory, EntryMember} from './entry_directory.js';
import {
  type ArchiveReach,
  isProcessEnded,
  QuotaContacts,
} from './quota_contacts.js';
import {QuotaMembers} from './quota_members.js';

/** Reply time-out, above the stalls of a busy entry VM. */
const replyTimeoutMs = 300;
/** Reply time-out of a request that is passed on, within that of the first. */
const forwardTimeoutMs = 120;
/** Entry VMs that are asked for one batch. */
const maxAsked = 3;
/** Times that a request is passed on where lists of entry VMs differ. */
const maxHops = 2;
/** Requests of one batch. */
const maxBatch = 256;
/** A refusal stands for later requests for this long at most. */
const maxRefusalMs = 50;
/**
 * Wait for a place that is about to be free, once. A refusal would cost the caller
 * a new connection and more time.
 */
const maxPlaceWaitMs = 100;
/** Time after which returned requests are sent if no other request is. */
const returnDelayMs = 200;
/** Bounds of the small sites, for settings that state none. */
const defaultTolerance = {windowMs: 5000, excess: 0, slack: 0};

/** Entry VMs, transport and bounds of an exchange. */
export interface QuotaExchangeOptions {
  readonly member: EntryMember;
  readonly directory: EntryDirectory;
  readonly transport: PeerRequester;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  readonly bounds: QuotaBounds | undefined;
  readonly getArchiveReach: () => ArchiveReach;
}

/** Call that has not been decided. */
interface WaitingCall {
  readonly decided: Deferred<QuotaDecision>;
  /** Whether it has waited for a place already. */
  hasWaited: boolean;
}

/** Calls of one tenant at this entry VM. */
interface TenantCalls {
  tenant: Tenant;
  configVersion: number;
  readonly waiting: WaitingCall[];
  isAsking: boolean;
  returned: number;
  isReturnPlanned: boolean;
  holder: DaemonId | undefined;
  repliedAtMs: number;
  refusedUntilMs: number;
  lastRefusal: QuotaDecision | undefined;
}

/** Asks other entry VMs for requests of tenants, and grants theirs. */
export class QuotaExchange extends QuotaSource {
  private readonly members: QuotaMembers;
  private readonly contacts: QuotaContacts;
  private readonly holder: QuotaHolder;
  private readonly calls = new Map<TenantId, TenantCalls>();
  private readonly windowMs: number;
  private isDraining = false;

  private constructor(private readonly options: QuotaExchangeOptions) {
    super();
    const {member, directory, clock, logger, getArchiveReach} = options;
    const {daemon, dataCentre} = member;
    const tolerance = options.bounds ?? defaultTolerance;
    this.windowMs = tolerance.windowMs;
    this.members = QuotaMembers.create(directory);
    this.contacts = QuotaContacts.create({
      daemon,
      dataCentre,
      clock,
      logger,
      getMembers: () => directory.getMembers(),
      getArchiveReach,
    });
    this.holder = QuotaHolder.create({daemon, clock, tolerance});
  }

  /**
   * Creates an exchange.
   * @param options - Entry VMs, transport and bounds.
   */
  static create(options: QuotaExchangeOptions): QuotaExchange {
    return new QuotaExchange(options);
  }

  /** Number of tenants whose requests this entry VM counts. */
  get heldCount(): number {
    return this.holder.tenantCount;
  }

  /** Leaves the quotas that this entry VM holds to others. */
  drain(): void {
    this.isDraining = true;
  }

  override take(tenant: Tenant, configVersion: number): Promise<QuotaDecision> {
    const calls = this.getCalls(tenant, configVersion);
    const nowMs = this.options.clock.nowMs();
    if (nowMs < calls.refusedUntilMs && calls.lastRefusal !== undefined) {
      return Promise.resolve({
        ...calls.lastRefusal,
        countAgeMs: nowMs - calls.repliedAtMs,
      });
    }
    const decided = Deferred.create<QuotaDecision>();
    calls.waiting.push({decided, hasWaited: false});
    if (!calls.isAsking) void this.askForWaiting(calls);
    return decided.promise;
  }

  override giveBack({name}: Tenant): void {
    const calls = this.calls.get(name);
    if (calls === undefined) return;
    calls.returned += 1;
    if (calls.isReturnPlanned) return;
    calls.isReturnPlanned = true;
    this.options.clock.setTimer(returnDelayMs, () => {
      calls.isReturnPlanned = false;
      if (calls.returned > 0 && !calls.isAsking) void this.askForWaiting(calls);
    });
  }

  /**
   * Answers the request of another entry VM.
   * @param sender - Entry VM that sent it.
   * @param message - The request.
   */
  async answer(sender: DaemonId, message: TakeQuota): Promise<PeerReplyBody> {
    const found = this.options.directory
      .getMembers()
      .find(({daemon}) => daemon === sender);
    if (found !== undefined) this.contacts.recordMessage(found.dataCentre);
    this.count('answered');
    const {previousHolder} = message;
    const request: QuotaRequest = {
      tenant: toId<TenantId>(message.tenant),
      ratePerS: message.ratePerS,
      burst: message.burst,
      configVersion: Number(message.configVersion),
      count: message.count,
      returned: message.returned,
      previousHolder:
        previousHolder === '' ? undefined : toId<DaemonId>(previousHolder),
    };
    const value = await this.resolve(request, message.hops + 1);
    return {case: 'takenQuota', value};
  }

  private getCalls(tenant: Tenant, configVersion: number): TenantCalls {
    const known = this.calls.get(tenant.name);
    if (known !== undefined) {
      if (configVersion > known.configVersion) {
        known.tenant = tenant;
        known.configVersion = configVersion;
        known.refusedUntilMs = 0;
      }
      return known;
    }
    const added: TenantCalls = {
      tenant,
      configVersion,
      waiting: [],
      isAsking: false,
      returned: 0,
      isReturnPlanned: false,
      holder: undefined,
      repliedAtMs: Number.NEGATIVE_INFINITY,
      refusedUntilMs: 0,
      lastRefusal: undefined,
    };
    this.calls.set(tenant.name, added);
    return added;
  }

  /** Asks for the calls that wait, until none is left. */
  private async askForWaiting(calls: TenantCalls): Promise<void> {
    calls.isAsking = true;
    while (calls.waiting.length > 0 || calls.returned > 0) {
      const batch = calls.waiting.splice(0, maxBatch);
      const request = this.createRequest(calls, batch.length);
      calls.returned = 0;
      const reply = await this.resolve(request, 0);
      this.recordReply(calls, reply);
      this.decide(calls, batch, reply);
      const waitMs = reply.nextDelayMs;
      if (calls.waiting[0]?.hasWaited === true) {
        await this.options.clock.sleep(Math.ceil(waitMs));
      }
    }
    calls.isAsking = false;
  }

  private createRequest(
    {tenant, configVersion, holder, repliedAtMs, returned}: TenantCalls,
    count: number,
  ): QuotaRequest {
    const ageMs = this.options.clock.nowMs() - repliedAtMs;
    return {
      tenant: tenant.name,
      ratePerS: tenant.quota?.ratePerS ?? 0,
      burst: tenant.quota?.burst ?? 0,
      configVersion,
      count,
      returned,
      previousHolder: ageMs < this.windowMs ? holder : undefined,
    };
  }

  private recordReply(
    calls: TenantCalls,
    {isDecided, holder}: TakenQuota,
  ): void {
    if (!isDecided) return;
    calls.holder = toId<DaemonId>(holder);
    calls.repliedAtMs = this.options.clock.nowMs();
  }

  private decide(
    calls: TenantCalls,
    batch: readonly WaitingCall[],
    {isDecided, granted, nextDelayMs, holder, counted}: TakenQuota,
  ): void {
    const decision = {
      holder: holder === '' ? undefined : toId<DaemonId>(holder),
      counted,
      countAgeMs: 0,
      retryAfterMs: nextDelayMs,
    };
    const refusal = isDecided ? 'exceeded' : 'unknown';
    const mayWait = isDecided && nextDelayMs <= maxPlaceWaitMs;
    const kept: WaitingCall[] = [];
    for (const [index, call] of batch.entries()) {
      if (index >= granted && mayWait && !call.hasWaited) {
        call.hasWaited = true;
        kept.push(call);
        continue;
      }
      const result = index < granted ? 'granted' : refusal;
      call.decided.resolve({...decision, result});
    }
    calls.waiting.unshift(...kept);
    if (!isDecided || granted + kept.length >= batch.length) return;
    const nowMs = this.options.clock.nowMs();
    calls.lastRefusal = {...decision, result: refusal};
    calls.refusedUntilMs = nowMs + Math.min(maxRefusalMs, nextDelayMs);
  }

  /** Asks the best entry VM that responds, or decides here if it is this one. */
  private async resolve(
    request: QuotaRequest,
    hops: number,
  ): Promise<TakenQuota> {
    const {member: own, directory} = this.options;
    const isForwardable = directory.isLoaded && hops <= maxHops;
    const better: EntryMember[] = [];
    let asked = 0;
    for (const member of this.members.rank(request.tenant)) {
      if (member.daemon === own.daemon) {
        if (this.isDraining || !directory.isLoaded) continue;
        return this.decideHere(request, better);
      }
      better.push(member);
      if (this.contacts.isPassedOver(member)) continue;
      if (!this.contacts.isReached(member.dataCentre)) {
        const reason = 'its data centre is not reached';
        this.contacts.recordAbsence(member, reason, false);
        continue;
      }
      if (!isForwardable || asked >= maxAsked) continue;
      asked += 1;
      const reply = await this.ask(member, request, hops);
      if (reply?.isDecided === true) return reply;
    }
    return create(TakenQuotaSchema);
  }

  private decideHere(
    request: QuotaRequest,
    better: readonly EntryMember[],
  ): TakenQuota {
    const {contacts, holder} = this;
    const share = getQuotaShare(
      contacts.getSiteReach(),
      better.map((member) => contacts.getAbsence(member)),
    );
    const {granted, nextDelayMs, counted} = holder.take(
      request,
      share,
      better.length > 0,
    );
    this.count('decided');
    return create(TakenQuotaSchema, {
      isDecided: share > 0 || granted > 0,
      granted,
      nextDelayMs,
      counted,
      holder: this.options.member.daemon,
    });
  }

  private async ask(
    member: EntryMember,
    request: QuotaRequest,
    hops: number,
  ): Promise<TakenQuota | undefined> {
    const first = await this.tryAsk(member, request, hops);
    // A process that has ended closes its connections first, and then refuses
    // new ones.
    if (first !== 'closed') return first;
    const second = await this.tryAsk(member, request, hops);
    return second === 'closed' ? undefined : second;
  }

  private async tryAsk(
    member: EntryMember,
    request: QuotaRequest,
    hops: number,
  ): Promise<TakenQuota | 'closed' | undefined> {
    const {transport, clock} = this.options;
    const {contacts} = this;
    const value = create(TakeQuotaSchema, {
      ...request,
      configVersion: toWireVersion(request.configVersion),
      previousHolder: request.previousHolder ?? '',
      hops,
    });
    const timeoutMs = hops === 0 ? replyTimeoutMs : forwardTimeoutMs;
    const sentAtMs = clock.nowMs();
    this.count(hops === 0 ? 'asked' : 'forwarded');
    try {
      const body = {case: 'takeQuota', value} as const;
      const reply = await transport.ask(member, body, timeoutMs);
      if (reply.case !== 'takenQuota') return undefined;
      if (reply.value.isDecided) contacts.recordReply(member);
      else contacts.recordAbsence(member, 'it does not count now', true);
      return reply.value;
    } catch (error) {
      const hasEnded =
        isProcessEnded(error) || isErrorOfKind(error, 'invalid_request');
      const reason = error instanceof Error ? error.message : String(error);
      contacts.recordAbsence(member, reason, hasEnded);
      const isTimeout = clock.nowMs() - sentAtMs >= timeoutMs;
      return hasEnded || isTimeout ? undefined : 'closed';
    }
  }

  private count(kind: string): void {
    this.options.metrics.addToCounter('quota_exchanges_total', {kind});
  }
}

/** An operator's version may be any number; a message carries whole ones. */
function toWireVersion(version: number): bigint {
  const whole = Math.trunc(version);
  return BigInt(Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, whole)));
}
