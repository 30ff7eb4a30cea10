/** Creates what the runner of a call needs to know. */
import {getDigest} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {CallState, ProgramState} from '../state/program_state.js';
import type {TurnContext} from './turn_context.js';
import {getRemainingWallMs} from './call_guards.js';

const streamDigestLength = 16;

/** Parts of a turn's context. */
export interface TurnContextParts {
  readonly call: Call;
  /** Digest of what the call asks for. */
  readonly digest: string;
  readonly state: ProgramState;
  /** Program whose budget is used. */
  readonly root: ProgramState;
  /** The call's dispatch at the previous holder. */
  readonly running: CallState | undefined;
  readonly reservedTokens: number;
  readonly wallMs: number;
}

/**
 * Creates a turn's context.
 * @param parts - The call and its program.
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

/** Different histories or calls never share an id, so never an answer. */
function getStreamId(state: ProgramState, digest: string): string {
  const identity = getDigest(state.historyDigest + digest);
  const suffix = identity.slice(0, streamDigestLength);
  return `${state.program}/${state.turnIndex}/${suffix}`;
}
