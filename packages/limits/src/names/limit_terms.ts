/** One data centre's share of a limit, from the operators' configuration. */
import {
  type DataCentreId,
  type ServiceId,
  type TeamId,
  toId,
} from '@marigoldpost/common';
import type {LimitConfig, OperatorsConfig} from '@marigoldpost/settings';
import {type LimitId, type LimitParts, parseLimitId} from './limit_id.js';

/** Time that a grant remains valid beyond the longest request. */
const inFlightSlackMs = 30_000;
const rateGrantTermMs = 10_000;

/** Amount that an allocator may grant in one data centre, and for how long. */
export interface LimitTerms {
  /** Share of the limit: requests in flight, or units per second. */
  readonly amount: number;
  /** Unit of allocation; each grant is a multiple of it. */
  readonly quantum: number;
  /** Validity of a grant, in milliseconds. */
  readonly termMs: number;
  /** Longest request under a grant, in milliseconds; 0 for rates. */
  readonly maxDurationMs: number;
}

/**
 * Gets the terms of a limit in one data centre; undefined if the configuration
 * sets no such limit.
 * @param config - Operators' configuration.
 * @param limit - Limit id.
 * @param dataCentre - Data centre of the share.
 */
export function getLimitTerms(
  config: OperatorsConfig,
  limit: LimitId,
  dataCentre: DataCentreId,
): LimitTerms | undefined {
  const parts = parseLimitId(limit);
  if (parts === undefined) return undefined;
  const total = getTotal(config, parts);
  if (total === undefined) return undefined;
  const shares = getShares(config, parts);
  if (parts.measure !== 'in_flight') {
    return createRateTerms(total * (shares.get(dataCentre) ?? 0));
  }
  return {
    amount: divideByShares(total, shares).get(dataCentre) ?? 0,
    quantum: 1,
    ...getInFlightTerm(config, parts),
  };
}

/**
 * Divides a whole number by shares, with the largest remainder method.
 * @param total - Number to divide.
 * @param shares - Share of each data centre; the shares add up to 1.
 */
export function divideByShares(
  total: number,
  shares: ReadonlyMap<DataCentreId, number>,
): Map<DataCentreId, number> {
  const parts = [...shares].map(([id, share]) => ({id, exact: total * share}));
  const amounts = new Map(parts.map(({id, exact}) => [id, floor(exact)]));
  let left = Math.floor(total);
  for (const amount of amounts.values()) left -= amount;
  const byRemainder = [...parts].sort(
    (first, second) => getRemainder(second.exact) - getRemainder(first.exact),
  );
  for (const {id} of byRemainder.slice(0, Math.max(0, left))) {
    amounts.set(id, (amounts.get(id) ?? 0) + 1);
  }
  return amounts;
}

function createRateTerms(amount: number): LimitTerms {
  // At least one unit per second, so that no grant is too small to use.
  const quantum = amount < 1 ? amount : amount / Math.floor(amount);
  return {amount, quantum, termMs: rateGrantTermMs, maxDurationMs: 0};
}

function getInFlightTerm(config: OperatorsConfig, parts: LimitParts) {
  const timeouts = [...config.services.values()]
    .filter(({id}) => parts.ownerKind === 'team' || id === parts.owner)
    .map(({timeoutMs}) => timeoutMs);
  const maxDurationMs = Math.max(0, ...timeouts);
  return {maxDurationMs, termMs: maxDurationMs + inFlightSlackMs};
}

function getTotal(
  config: OperatorsConfig,
  {ownerKind, owner, measure}: LimitParts,
): number | undefined {
  const limit: LimitConfig | undefined =
    ownerKind === 'service'
      ? config.services.get(toId<ServiceId>(owner))?.limit
      : config.teams.get(toId<TeamId>(owner))?.limit;
  switch (measure) {
    case 'in_flight':
      return limit?.maxInFlight;
    case 'requests':
      return limit?.requestsPerSecond;
    case 'tokens':
      return limit?.tokensPerSecond;
  }
}

function getShares(
  config: OperatorsConfig,
  {ownerKind, owner}: LimitParts,
): ReadonlyMap<DataCentreId, number> {
  const service = config.services.get(toId<ServiceId>(owner));
  if (ownerKind === 'service' && service && service.limitShares.size > 0) {
    return service.limitShares;
  }
  const open = [...config.dataCentres.values()].filter(({isDown}) => !isDown);
  return new Map(open.map(({id}) => [id, 1 / open.length]));
}

function floor(value: number): number {
  // 0.29 * 100 is 28.999999999999996.
  const roundingError = 1e-9;
  return Math.floor(value + roundingError);
}

function getRemainder(value: number): number {
  return value - floor(value);
}
