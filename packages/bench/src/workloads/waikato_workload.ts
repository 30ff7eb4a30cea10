/** Workload of Waikato: conversations of minutes on pitches for car boot sales. */
import {type Random, type ServiceId, toId} from '@marigoldpost/common';
import {drawCount, drawLogNormal} from './distributions.js';
import {benchEngineOptions} from './engine_sizes.js';
import type {CallPlan, ProgramPlan} from './program_plan.js';
import {type BenchService, Workload} from './workload.js';

const agentLlm = toId<ServiceId>('agent-llm');
const notifiesEndShare = 0.5;
const systemPrompts = 3;
const callTimeoutMs = 45_000;

/** Conversations with pauses of up to minutes and shared system prompts. */
export class WaikatoWorkload extends Workload {
  override readonly name = 'waikato';
  override readonly cacheWeight = 0.85;
  override readonly engine = benchEngineOptions;
  override readonly services: readonly BenchService[] = [
    {id: agentLlm, engines: 10, drawProgram: drawConversation},
  ];

  private constructor() {
    super();
  }

  /** Creates the workload. */
  static create(): WaikatoWorkload {
    return new WaikatoWorkload();
  }
}

function drawConversation(random: Random): ProgramPlan {
  const turns = drawCount(random, 4, 0.7, [1, 20]);
  const calls: CallPlan[] = [];
  for (let turn = 0; turn < turns; turn += 1) {
    calls.push(...drawTurn(random, turn));
  }
  const last = calls.pop() as CallPlan;
  calls.push({...last, pauseMs: 0});
  const version = random.nextInteger(systemPrompts);
  return {
    kind: 'conversation',
    service: agentLlm,
    callClass: 'normal',
    systemPrompt: `clerk-${version}`,
    systemTokens: 1_536,
    calls,
    notifiesEnd: random.next() < notifiesEndShare,
    callTimeoutMs,
  };
}

/** Draws a question: one to three calls with look-ups, then a reading pause. */
function drawTurn(random: Random, turn: number): CallPlan[] {
  const count = 1 + random.nextInteger(3);
  return Array.from({length: count}, (_unused, index) => {
    const isLast = index === count - 1;
    const newTokens = turn === 0 && index === 0 ? 400 : 220;
    return {
      newTokens: drawCount(random, newTokens, 0.6, [16, 4_000]),
      outputTokens: drawCount(random, isLast ? 120 : 50, 0.5, [8, 600]),
      pauseMs: isLast
        ? drawLogNormal(random, 25_000, 0.9)
        : drawLogNormal(random, 500, 0.9),
      subAgents: [],
    };
  });
}
