/** World and helpers of the steps for the service dispatcher. */
import type {World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  isErrorOfKind,
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  type VirtualClock,
} from '@marigoldpost/common';
import {
  type DispatchRequest,
  PermitSource,
  RateLimiter,
  type ScheduledPermits,
  ServiceDispatcher,
  type TargetLease,
  TargetLimits,
  type TargetResult,
} from '@marigoldpost/dispatch';
import type {PromptPart, PromptPartId, TargetEntry} from '@marigoldpost/sites';

/** Time to the deadline of a request. */
export const farFutureMs = 60_000;

/** State that the steps of one scenario share. */
export interface DispatchWorld extends World {
  clock: VirtualClock;
  dispatcher: ServiceDispatcher;
  targetNames: string[];
  slots: number;
  leases: TargetLease[];
  leaseOrder: string[];
  lastLease: TargetLease;
  turnsByTarget: Map<TargetId, number>;
  limits: TargetLimits;
  rejectedCount: number;
  /** Targets that were ejected, in order. */
  ejected: TargetId[];
}

/** Source that is asked for nothing, since no target states a limit. */
class UnusedPermits extends PermitSource {
  override reserve(): Promise<ScheduledPermits> {
    return Promise.reject(new Error('no target states a limit'));
  }
}

/** Creates a dispatcher whose targets state limits and leaving to the world. */
export function createDispatcher(
  world: DispatchWorld,
  localDataCentre: string,
  seed: number,
): ServiceDispatcher {
  const {clock, slots} = world;
  const limits = TargetLimits.create({
    clock,
    onChanged: () => rateLimiter.notify(),
  });
  const source = new UnusedPermits();
  const rateLimiter = RateLimiter.create({clock, limits, source});
  world.limits = limits;
  return ServiceDispatcher.create({
    service: {
      id: toId<ServiceId>('service'),
      maxConnections: 100,
      engine: {slots, cacheTokens: 200_000, tokensPerEvent: 10},
    },
    dataCentre: toId<DataCentreId>(localDataCentre),
    clock,
    random: SeededRandom.create(seed),
    rateLimiter,
    onEjected: ({id: target}) => world.ejected.push(target),
  });
}

/** Creates the registry entry of a start of a target. */
export function createEntry(
  {slots}: DispatchWorld,
  name: string,
  startedAtMs: number,
): TargetEntry {
  return {
    id: toId<TargetId>(name),
    service: toId<ServiceId>('service'),
    address: {host: '10.0.0.1', port: name.charCodeAt(0)},
    dataCentre: toId<DataCentreId>(name),
    slots,
    isDraining: false,
    startedAtMs,
  };
}

/** Creates a request with a deadline in the far future. */
export function createRequest(
  {clock}: DispatchWorld,
  fields: Partial<DispatchRequest>,
): DispatchRequest {
  const nowMs = clock.nowMs();
  return {
    prompt: toPrompt('shared:300,line1:100'),
    priority: 1,
    finishByMs: nowMs + farFutureMs,
    deadlineMs: nowMs + farFutureMs,
    excluded: new Set(),
    previousPrompt: undefined,
    kind: 'turn',
    ...fields,
  };
}

/** Waits for a lease, on one target only if it is named. */
export function acquireLease(
  world: DispatchWorld,
  fields: Partial<DispatchRequest>,
  onlyTarget?: string,
): Promise<TargetLease> {
  const others = world.targetNames.filter((name) => name !== onlyTarget);
  const excluded = new Set(
    onlyTarget === undefined ? [] : others.map((name) => toId<TargetId>(name)),
  );
  const request = createRequest(world, {...fields, excluded});
  const pendingLease = world.dispatcher.acquire(
    request,
    new AbortController().signal,
  );
  // Marks the rejection as handled; steps that expect one await it later.
  pendingLease.catch((error: unknown) => {
    if (isErrorOfKind(error, 'no_target')) world.rejectedCount += 1;
  });
  return pendingLease;
}

/** Sends a request to a target, which ends with a result. */
export async function completeRequest(
  world: DispatchWorld,
  name: string,
  result: TargetResult,
): Promise<void> {
  const lease = await acquireLease(world, {}, name);
  lease.release({result});
}

/** Parses a prompt of `<id>:<tokens>` parts. */
export function toPrompt(text: string): PromptPart[] {
  return text.split(',').map((part) => {
    const [id = '', tokens] = part.split(':');
    return {id: toId<PromptPartId>(id), tokens: Number(tokens)};
  });
}
