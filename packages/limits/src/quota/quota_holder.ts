/** Quotas of the tenants whose requests this entry VM counts. */
import type {Clock, DaemonId, TenantId} from '@marigoldpost/common';
import {QuotaBucket, type QuotaTerms} from './quota_bucket.js';

/**
 * Part of the tolerated excess that a holder may grant at once, beyond the
 * burst. The rest is for other holders within the same window.
 */
const burstShare = 0.5;
/**
 * Part of the tolerated requests that a new holder may grant at once. It covers a
 * small tenant until the bucket fills, and is small enough for one new holder in
 * each of four parts of a split network.
 */
const initialShare = 0.2;
const msPerSecond = 1000;
/** A tenant without requests for this long loses its bucket, which is full by then. */
const bucketExpiryMs = 600_000;

/** How far a site's quotas may be exceeded. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Part by which a window may exceed a quota. */
  readonly excess: number;
  /** Further requests beyond a quota that a window may have. */
  readonly slack: number;
}

/** Requests of a tenant that an entry VM asks for. */
export interface QuotaRequest {
  readonly tenant: TenantId;
  readonly ratePerS: number;
  readonly burst: number;
  /** Version of the configuration that states the limit. */
  readonly configVersion: number;
  readonly count: number;
  /** Requests granted earlier that surely have not run. */
  readonly returned: number;
  /** Entry VM that granted requests of the tenant last, within the window. */
  readonly previousHolder: DaemonId | undefined;
}

/** What a holder granted. */
export interface QuotaGrant {
  readonly granted: number;
  /** Time until another request may be granted. */
  readonly nextDelayMs: number;
  /** Requests that were granted within the window. */
  readonly counted: number;
}

interface HeldQuota {
  readonly bucket: QuotaBucket;

  configVersion: number;
  usedAtMs: number;
  drainedAtMs: number;
}

/** Own daemon, clock and tolerance. */
export interface QuotaHolderOptions {
  readonly daemon: DaemonId;
  readonly clock: Clock;
  readonly tolerance: QuotaTolerance;
}

/** Grants requests of tenants within their quotas. */
export class QuotaHolder {
  private readonly quotas = new Map<TenantId, HeldQuota>();
  private expiryCheckedAtMs = 0;

  private constructor(private readonly options: QuotaHolderOptions) {}

  /**
   * Creates a holder that has granted nothing.
   * @param options - Own daemon, clock and tolerance.
   */
  static create(options: QuotaHolderOptions): QuotaHolder {
    return new QuotaHolder(options);
  }

  /** Number of tenants whose requests are counted here. */
  get tenantCount(): number {
    return this.quotas.size;
  }

  /**
   * Grants as many requests as the quota allows.
   * @param request - Tenant, limit and number of requests.
   * @param share - Part of the rate that this holder may grant.
   * @param isStandIn - Whether another entry VM holds the quota when it responds.
   */
  take(request: QuotaRequest, share: number, isStandIn = false): QuotaGrant {
    const {daemon, clock, tolerance} = this.options;
    const nowMs = clock.nowMs();
    this.removeExpired(nowMs);
    if (isStandIn) this.removeUnused(request.tenant, nowMs);
    const quota = this.getOrAdd(request, nowMs, share);
    const {bucket} = quota;
    const {previousHolder, returned, count} = request;
    if (previousHolder === undefined || previousHolder === daemon) {
      bucket.giveBack(returned);
    } else if (nowMs - quota.drainedAtMs > tolerance.windowMs) {
      // Once for all requesters that come from the other holder.
      quota.drainedAtMs = nowMs;
      bucket.drain(nowMs);
    }
    const granted = bucket.take(nowMs, count, share);
    return {
      granted,
      nextDelayMs: bucket.getDelayMs(share),
      counted: bucket.countSince(nowMs - tolerance.windowMs),
    };
  }

  private getOrAdd(
    {tenant, ratePerS, burst, configVersion}: QuotaRequest,
    nowMs: number,
    share: number,
  ): HeldQuota {
    const terms = this.createTerms(ratePerS, burst);
    const known = this.quotas.get(tenant);
    if (known === undefined) {
      const bucket = QuotaBucket.create(nowMs, terms);
      const drainedAtMs = nowMs;
      const added = {bucket, configVersion, usedAtMs: nowMs, drainedAtMs};
      this.quotas.set(tenant, added);
      return added;
    }
    known.usedAtMs = nowMs;
    if (configVersion > known.configVersion) {
      known.configVersion = configVersion;
      known.bucket.setTerms(nowMs, terms, share);
    }
    return known;
  }

  /**
   * Removes what a stand-in saved since it was last asked: the holder has granted
   * requests meanwhile.
   */
  private removeUnused(tenant: TenantId, nowMs: number): void {
    const known = this.quotas.get(tenant);
    if (known === undefined) return;
    const isUnused = nowMs - known.usedAtMs > this.options.tolerance.windowMs;
    if (isUnused) this.quotas.delete(tenant);
  }

  private createTerms(ratePerS: number, burst: number): QuotaTerms {
    const {windowMs, excess, slack} = this.options.tolerance;
    const perWindow = (ratePerS * windowMs) / msPerSecond + burst;
    const tolerated = perWindow * excess + slack;
    return {
      ratePerS,
      capacity: Math.max(1, burst + tolerated * burstShare),
      initial: Math.max(1, Math.floor(slack * initialShare)),
    };
  }

  private removeExpired(nowMs: number): void {
    if (nowMs - this.expiryCheckedAtMs < bucketExpiryMs) return;
    this.expiryCheckedAtMs = nowMs;
    for (const [tenant, {usedAtMs}] of this.quotas) {
      if (nowMs - usedAtMs > bucketExpiryMs) this.quotas.delete(tenant);
    }
  }
}
