/** Applies the limits of a call's team and of its service. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  type Random,
  type ServiceId,
  type TeamId,
} from '@marigoldpost/common';
import {
  type GrantClient,
  ConcurrencyLimiter,
  getServiceLimit,
  getTeamLimit,
  getLimitTerms,
  type LimitId,
  type LimitMeasure,
  RateLimiter,
} from '@marigoldpost/limits';
import type {Call} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';
import {CallLimiter, type CallPermit} from '../calls/call_limiter.js';

/** Identity, clock, grant client and configuration of a limiter. */
export interface OwnerLimiterOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: Random;
  readonly client: GrantClient;
  /** Gets the operators' configuration; `undefined` until one is active. */
  readonly getConfig: () => OperatorsConfig | undefined;
}

/** Releases the permit of one limit. */
type ReleasePermit = (completionTokens: number) => void;

/** Limits calls by grants; keeps one limiter for each limit in use. */
export class OwnerLimiter extends CallLimiter {
  private readonly inFlight = new Map<LimitId, ConcurrencyLimiter>();
  private readonly rateLimiters = new Map<LimitId, RateLimiter>();

  private constructor(private readonly options: OwnerLimiterOptions) {
    super();
  }

  /**
   * Creates a limiter.
   * @param options - The requesting daemon and the client of the allocators.
   */
  static create(options: OwnerLimiterOptions): OwnerLimiter {
    return new OwnerLimiter(options);
  }

  override async acquire(call: Call, signal: AbortSignal): Promise<CallPermit> {
    const releases: ReleasePermit[] = [];
    const release = (completionTokens: number) => {
      for (const give of releases.splice(0)) give(completionTokens);
    };
    try {
      for (const measure of ['requests', 'tokens', 'in_flight'] as const) {
        for (const limit of getLimits(call.team, call.service, measure)) {
          releases.push(await this.acquireLimit(limit, measure, call, signal));
        }
      }
    } catch (error) {
      release(0);
      throw error;
    }
    return {release};
  }

  /** Returns every grant. */
  async stop(): Promise<void> {
    const limiters = [...this.inFlight.values(), ...this.rateLimiters.values()];
    await Promise.all(limiters.map((limiter) => limiter.stop()));
  }

  private async acquireLimit(
    limit: LimitId,
    measure: LimitMeasure,
    call: Call,
    signal: AbortSignal,
  ): Promise<ReleasePermit> {
    const maxDurationMs = this.getMaxDurationMs(limit);
    if (maxDurationMs === undefined) return () => undefined;
    if (measure === 'in_flight') {
      const limiter = this.getConcurrencyLimiter(limit, maxDurationMs);
      const permit = await limiter.acquire(signal);
      return () => permit.release();
    }
    const cost = getCost(measure, call);
    if (cost === 0) return () => undefined;
    const permit = await this.getRateLimiter(limit).acquire(cost, signal);
    const isTokens = measure === 'tokens';
    return (tokens) => permit.settle(isTokens ? tokens : cost);
  }

  /** Longest request under a limit; `undefined` if the limit is not set. */
  private getMaxDurationMs(limit: LimitId): number | undefined {
    const config = this.options.getConfig();
    if (config === undefined) return undefined;
    const terms = getLimitTerms(config, limit, this.options.dataCentre);
    return terms?.maxDurationMs;
  }

  private getConcurrencyLimiter(
    limit: LimitId,
    maxDurationMs: number,
  ): ConcurrencyLimiter {
    const known = this.inFlight.get(limit);
    if (known !== undefined) return known;
    const limiter = ConcurrencyLimiter.create({
      ...this.options,
      limit,
      maxDurationMs,
    });
    this.inFlight.set(limit, limiter);
    return limiter;
  }

  private getRateLimiter(limit: LimitId): RateLimiter {
    const known = this.rateLimiters.get(limit);
    if (known !== undefined) return known;
    const limiter = RateLimiter.create({...this.options, limit});
    this.rateLimiters.set(limit, limiter);
    return limiter;
  }
}

function getLimits(
  team: TeamId,
  service: ServiceId,
  measure: LimitMeasure,
): LimitId[] {
  return [getTeamLimit(team, measure), getServiceLimit(service, measure)];
}

function getCost(measure: LimitMeasure, call: Call): number {
  if (measure === 'requests') return 1;
  return call.kind === 'chat' ? call.maxTokens : 0;
}
