/** Workload of Trần Gia: berth planning, gate status and crane bookings. */
import {type Random, type ServiceId, toId} from '@marigoldpost/common';
import {drawCount, drawLogNormal} from './distributions.js';
import {benchEngineOptions} from './engine_sizes.js';
import type {CallPlan, ProgramPlan} from './program_plan.js';
import {type BenchService, Workload} from './workload.js';

const planModels = toId<ServiceId>('plan-models');
const quayOps = toId<ServiceId>('quay-ops');
const sequenceShare = 0.7;
const gateShare = 0.75;
const subAgentShare = 0.15;
const rushPeriodMs = 200_000;
const rushStartMs = 80_000;
const rushLengthMs = 40_000;
const rushFactor = 1.6;
const callTimeoutMs = 120_000;
const gateCallTimeoutMs = 20_000;

/** Planning sessions with a load peak when a ship arrives off-window. */
export class TranGiaWorkload extends Workload {
  override readonly name = 'tran-gia';
  override readonly cacheWeight = 0.2;
  override readonly engine = benchEngineOptions;
  override readonly services: readonly BenchService[] = [
    {id: planModels, engines: 8, drawProgram: drawPlanning},
    {id: quayOps, engines: 4, drawProgram: drawQuayWork},
  ];

  private constructor() {
    super();
  }

  /** Creates the workload. */
  static create(): TranGiaWorkload {
    return new TranGiaWorkload();
  }

  override getRateFactor(atMs: number): number {
    const phaseMs = (atMs % rushPeriodMs) - rushStartMs;
    if (phaseMs >= 0 && phaseMs < rushLengthMs) return rushFactor;
    const calmMs = rushPeriodMs - rushLengthMs;
    return (rushPeriodMs - rushFactor * rushLengthMs) / calmMs;
  }
}

function drawPlanning(random: Random): ProgramPlan {
  const isSequence = random.next() < sequenceShare;
  return isSequence ? drawSequence(random) : drawSession(random);
}

/** Draws a full vessel sequence: an agent's calls with solver runs between. */
function drawSequence(random: Random): ProgramPlan {
  const count = drawCount(random, 7, 0.8, [2, 40]);
  const calls = Array.from({length: count}, (_unused, index) =>
    drawCall(random, {
      newTokens: index === 0 ? 2_500 : 500,
      outputTokens: 160,
      pauseMs: 900,
      subAgents: random.next() < subAgentShare ? drawSubAgents(random) : [],
    }),
  );
  return createPlan('sequence', planModels, calls);
}

/** Draws a session in which a planner revises a plan with an assistant. */
function drawSession(random: Random): ProgramPlan {
  const count = drawCount(random, 8, 0.6, [2, 30]);
  const calls = Array.from({length: count}, (_unused, index) =>
    drawCall(random, {
      newTokens: index === 0 ? 3_500 : 300,
      outputTokens: 140,
      pauseMs: 12_000,
      subAgents: [],
    }),
  );
  return createPlan('session', planModels, calls);
}

function drawSubAgents(random: Random): ProgramPlan[] {
  const agents = 1 + random.nextInteger(3);
  return Array.from({length: agents}, () => {
    const count = 1 + random.nextInteger(3);
    const calls = Array.from({length: count}, () =>
      drawCall(random, {
        newTokens: 700,
        outputTokens: 90,
        pauseMs: 600,
        subAgents: [],
      }),
    );
    return createPlan('sub-agent', planModels, calls);
  });
}

function drawQuayWork(random: Random): ProgramPlan {
  if (random.next() < gateShare) {
    const call = drawCall(random, {
      newTokens: 120,
      outputTokens: 40,
      pauseMs: 0,
      subAgents: [],
    });
    const plan = createPlan('gate', quayOps, [call]);
    return {...plan, callClass: 'immediate', callTimeoutMs: gateCallTimeoutMs};
  }
  const count = drawCount(random, 4, 0.5, [2, 12]);
  const calls = Array.from({length: count}, () =>
    drawCall(random, {
      newTokens: 500,
      outputTokens: 110,
      pauseMs: 1_200,
      subAgents: [],
    }),
  );
  return createPlan('booking', quayOps, calls);
}

function drawCall(random: Random, medians: CallPlan): CallPlan {
  return {
    newTokens: drawCount(random, medians.newTokens, 0.5, [16, 12_000]),
    outputTokens: drawCount(random, medians.outputTokens, 0.7, [8, 1_200]),
    pauseMs: drawLogNormal(random, medians.pauseMs, 1),
    subAgents: medians.subAgents,
  };
}

function createPlan(
  kind: string,
  service: ServiceId,
  calls: readonly CallPlan[],
): ProgramPlan {
  return {
    kind,
    service,
    callClass: 'normal',
    systemPrompt: kind,
    systemTokens: 1_024,
    calls: endWithoutPause(calls),
    notifiesEnd: true,
    callTimeoutMs,
  };
}

function endWithoutPause(calls: readonly CallPlan[]): CallPlan[] {
  return calls.map((call, index) =>
    index === calls.length - 1 ? {...call, pauseMs: 0} : call,
  );
}
