/** Processor time of whole calls through a daemon, without sockets. */
import {
  type CallId,
  type ModelId,
  type ServiceId,
  type TeamId,
  toId,
} from '@marigoldpost/common';
import type {ChatCall} from '@marigoldpost/programs';
import {MemoryFleet} from './memory_fleet.js';
import {measureUsage} from '../utils/usage_meter.js';

const microsPerMs = 1000;
const concurrentCalls = 8;
const maxCallMs = 60_000;
const stepMs = 100;
const hugeNumber = 1_000_000_000;

/** Calls to measure. */
export interface CallLoad {
  readonly calls: number;
  readonly tokensPerCall: number;
}

/** Cost of one call, the engine's stand-in included. */
export interface CallCost extends CallLoad {
  readonly processorUsPerCall: number;
  /** Tokens that the callers received. */
  readonly receivedTokens: number;
}

/**
 * Measures calls to one daemon with one engine.
 * @param load - Number of calls and their length.
 */
export async function measureCallCost(load: CallLoad): Promise<CallCost> {
  const fleet = await MemoryFleet.create(1);
  const warmUp = {...load, calls: concurrentCalls};
  await runCalls(fleet, warmUp, 'warm-up');
  let receivedTokens = 0;
  const {processorMs} = await measureUsage(async () => {
    receivedTokens = await runCalls(fleet, load, 'call');
  });
  await fleet.stop();
  const processorUsPerCall = (processorMs * microsPerMs) / load.calls;
  return {...load, processorUsPerCall, receivedTokens};
}

async function runCalls(
  fleet: MemoryFleet,
  {calls, tokensPerCall}: CallLoad,
  prefix: string,
): Promise<number> {
  let tokens = 0;
  let left = calls;
  const work = async () => {
    while (left-- > 0) {
      const call = createCall(`${prefix}-${left}`, tokensPerCall);
      const received = await runCall(fleet, call);
      tokens += received;
    }
  };
  const workers = Array.from({length: concurrentCalls}, work);
  await settle(fleet, Promise.all(workers), (calls + 1) * maxCallMs);
  return tokens;
}

async function settle(
  {clock}: MemoryFleet,
  work: Promise<unknown>,
  maxMs: number,
): Promise<void> {
  let isDone = false;
  const mark = () => {
    isDone = true;
  };
  work.then(mark, mark);
  const endMs = clock.nowMs() + maxMs;
  while (!isDone && clock.nowMs() < endMs) await clock.advance(stepMs);
  await work;
}

async function runCall(
  {daemons}: MemoryFleet,
  call: ChatCall,
): Promise<number> {
  let tokens = 0;
  const {signal} = new AbortController();
  for await (const {kind} of daemons[0]!.gateway.runCall(call, signal)) {
    if (kind === 'token') tokens += 1;
  }
  return tokens;
}

function createCall(name: string, tokensPerCall: number): ChatCall {
  return {
    kind: 'chat',
    callId: toId<CallId>(name),
    team: toId<TeamId>('team-1'),
    service: toId<ServiceId>('llm'),
    model: toId<ModelId>('model-1'),
    callClass: 'normal',
    budget: {
      maxTokens: hugeNumber,
      maxCalls: hugeNumber,
      maxWallMs: hugeNumber,
    },
    timeoutMs: maxCallMs,
    messages: [{role: 'user', content: `plan ${name}`}],
    maxTokens: tokensPerCall,
    offsetTokens: 0,
  };
}
