/** Measures the CPU time of complete calls through a daemon without sockets. */
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

/** Number of calls to measure, and their length. */
export interface CallLoad {
  readonly calls: number;
  readonly tokensPerCall: number;
}

/** CPU time of one call, including the stand-in of the engine. */
export interface CallCost extends CallLoad {
  readonly processorUsPerCall: number;
  /** Number of tokens that the callers received. */
  readonly receivedTokens: number;
}

/**
 * Measures calls to one daemon with one engine, after a warm-up.
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
  let remaining = calls;
  const work = async () => {
    while (remaining-- > 0) {
      const call = createCall(`${prefix}-${remaining}`, tokensPerCall);
      const received = await runCall(fleet, call);
      tokens += received;
    }
  };
  const workers = Array.from({length: concurrentCalls}, work);
  await advanceUntilSettled(
    fleet,
    Promise.all(workers),
    (calls + 1) * maxCallMs,
  );
  return tokens;
}

async function advanceUntilSettled(
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
