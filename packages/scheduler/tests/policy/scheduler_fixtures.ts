/** Fixtures for the tests of the policy scheduler. */
import assert from 'node:assert/strict';
import type {World} from '@cucumber/cucumber';
import {
  type CallId,
  type DataCentreId,
  type ModelId,
  type ProgramId,
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  type VirtualClock,
} from '@marigoldpost/common';
import {
  type Dispatch,
  PolicyScheduler,
  type PolicySchedulerOptions,
  type SchedulerTarget,
  type WaitingCall,
} from '@marigoldpost/scheduler';
import type {EngineLoad} from '@marigoldpost/targets';

const model = toId<ModelId>('m');
const dataCentre = toId<DataCentreId>('dc');

export interface SchedulerWorld extends World {
  clock: VirtualClock;
  scheduler: PolicyScheduler;
  dispatches: readonly Dispatch[];
  pausedAtMs: number;
}

export function createScheduler(
  clock: VirtualClock,
  options: Partial<PolicySchedulerOptions> = {},
): PolicyScheduler {
  const random = SeededRandom.create(3);
  return PolicyScheduler.create({
    clock,
    random,
    dataCentre,
    cacheWeight: 0.5,
    ...options,
  });
}

export function createTarget(
  name: string,
  fields: Partial<SchedulerTarget> = {},
): SchedulerTarget {
  return {
    id: toId<TargetId>(name),
    service: toId<ServiceId>('llm'),
    dataCentre,
    models: [model],
    isOpen: true,
    ...fields,
  };
}

export function createCall(
  name: string,
  fields: Partial<WaitingCall> = {},
): WaitingCall {
  const program = fields.program ?? toId<ProgramId>(`dc.0.${name}`);
  return {
    callId: toId<CallId>(name),
    program,
    rootProgram: program,
    service: toId<ServiceId>('llm'),
    model,
    callClass: 'normal',
    promptTokens: 640,
    maxTokens: 100,
    blockHashes: [],
    deadlineMs: Infinity,
    excludedTargets: new Set(),
    isExclusive: false,
    turnIndex: 0,
    ...fields,
  };
}

export function createLoad(fields: Partial<EngineLoad> = {}): EngineLoad {
  const blocks = {usedBlocks: 0, totalBlocks: 1_000};
  return {running: 0, waiting: 0, ...blocks, models: [model], ...fields};
}

export function finishCall(
  scheduler: PolicyScheduler,
  callId: CallId,
  tokens = 10,
): void {
  const usage = {promptTokens: 640, cachedTokens: 0, completionTokens: tokens};
  scheduler.recordFinished(callId, usage);
}

export function createHashes(name: string, count = 10): string[] {
  return Array.from({length: count}, (_unused, index) => `${name}${index}`);
}

export function runCall(world: SchedulerWorld, call: WaitingCall): Dispatch {
  world.scheduler.addCall(call);
  const [dispatch] = world.scheduler.takeDispatches();
  assert.ok(dispatch !== undefined);
  return dispatch;
}
