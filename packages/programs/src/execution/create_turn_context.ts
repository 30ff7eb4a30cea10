/** Creation of the context in which a call's runner runs its turn. */
import {getDigest} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {CallState, ProgramState} from '../state/program_state.js';
import type {TurnContext} from './turn_context.js';
import {getRemainingWallMs} from './call_guards.js';

const streamDigestLength = 16;

/** Data that a turn's context is created from. */
export interface TurnContextParts {
  readonly call: Call;
  /** Digest of the call's content. */
  readonly digest: string;
  readonly state: ProgramState;
  /** Program whose budget is used. */
  readonly root: ProgramState;
  /** State of the call if the previous holder dispatched it. */
  readonly running: CallState | undefined;
  readonly reservedTokens: number;
  readonly wallMs: number;
}

/**
 * Creates the context of a call's next turn.
 * @param parts - Call, program state and reservation.
 */
export function createTurnContext(parts: TurnContextParts): TurnContext {
  const {call, reservedTokens, root, running, state, wallMs} = parts;
  const {turnIndex} = state;
  const resumeTarget = call.kind === 'chat' ? call.resumeTarget : undefined;
  return {
    messages: call.kind === 'chat' ? [...state.messages, ...call.messages] : [],
    rootProgram: root.program,
    turnIndex,
    attempt: (running?.attempts ?? 0) + 1,
    streamId: getStreamId(state, parts.digest),
    resumeOffset: 0,
    reservedTokens,
    remainingWallMs: getRemainingWallMs(root, wallMs),
    previousTarget: running?.target ?? resumeTarget,
  };
}

/**
 * The id covers history and call, so that different histories or calls never
 * share a stream and its answer.
 */
function getStreamId(state: ProgramState, digest: string): string {
  const identity = getDigest(state.historyDigest + digest);
  const suffix = identity.slice(0, streamDigestLength);
  return `${state.program}/${state.turnIndex}/${suffix}`;
}
